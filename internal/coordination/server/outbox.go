package server

import (
	"sync"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The bounds of what waits for one peer. A single message may exceed the bytes: a snapshot.
const (
	outboxMessages = 4096
	outboxBytes    = 64 << 20
)

// outbox is a queue of messages to a peer. What exceeds its bounds is dropped: Raft sends it again. Its methods may be
// called by any goroutine and do not block.
type outbox struct {
	peer   uint64 // its member id
	mu     sync.Mutex
	queue  []*raftpb.Message
	bytes  int           // of the queue
	wake   chan struct{} // capacity 1: the queue is not empty
	closed chan struct{}
	once   sync.Once
}

func newOutbox(peer uint64) *outbox {
	return &outbox{peer: peer, wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (o *outbox) close() { o.once.Do(func() { close(o.closed) }) }

// enqueue adds a message; false: it is dropped.
func (o *outbox) enqueue(message *raftpb.Message) bool {
	size := proto.Size(message)
	o.mu.Lock()
	defer o.mu.Unlock()
	exceedsBytes := o.bytes > 0 && o.bytes+size > outboxBytes
	if len(o.queue) >= outboxMessages || exceedsBytes {
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

// takeAll empties the queue.
func (o *outbox) takeAll() []*raftpb.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	messages := o.queue
	o.queue, o.bytes = nil, 0
	return messages
}
