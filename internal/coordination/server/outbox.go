package server

import (
	"sync"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The bounds of the queue for one peer. A single message, such as a snapshot, may exceed maxOutboxBytes.
const (
	maxOutboxMessages = 4096
	maxOutboxBytes    = 64 << 20
)

// outbox is a queue of messages to a peer. Messages beyond its bounds are dropped, and Raft sends them again. It is
// safe for concurrent use, and its methods do not block.
type outbox struct {
	peer   uint64 // member id
	mu     sync.Mutex
	queue  []*raftpb.Message
	bytes  int           // of the queue
	wake   chan struct{} // capacity 1; signals that the queue is not empty
	closed chan struct{}
	once   sync.Once
}

func newOutbox(peer uint64) *outbox {
	return &outbox{peer: peer, wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (o *outbox) close() { o.once.Do(func() { close(o.closed) }) }

// enqueue queues a message. It returns false if the message was dropped.
func (o *outbox) enqueue(message *raftpb.Message) bool {
	size := proto.Size(message)
	o.mu.Lock()
	defer o.mu.Unlock()
	exceedsBytes := o.bytes > 0 && o.bytes+size > maxOutboxBytes
	if len(o.queue) >= maxOutboxMessages || exceedsBytes {
		return false
	}
	o.queue = append(o.queue, message)
	o.bytes += size
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return true
}

// takeAll returns all queued messages and empties the queue.
func (o *outbox) takeAll() []*raftpb.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages := o.queue
	o.queue, o.bytes = nil, 0
	return messages
}
