package body

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/http1"
)

// ErrClientTooSlow says that a client did not send its body in the time that one may take.
var ErrClientTooSlow = errors.New("the body did not come whole in time")

// ClientFailed says that a body did not come whole from its client.
type ClientFailed struct{ error }

// Unwrap returns the cause.
func (e ClientFailed) Unwrap() error { return e.error }

// Floor is the least rate at which a client must send. Only the time that is spent waiting for the client counts.
type Floor struct {
	Rate  int           // bytes a second; 0: any
	Grace time.Duration // that it may lose beyond that
}

// Upload is what a request's body has beyond the part that stands in its message: blocks that were read ahead, and, if
// it is larger, the client's connection. The client's goroutine makes and fills it; then the attempts that send it
// share it. All of them may send the blocks, but only one may read from the client.
type Upload struct {
	spool  *Spool
	blocks [][]byte
	limits *Limits
	floor  Floor
	length uint64 // of the whole body, if known
	known  bool

	src     *http1.Body  // nil: the blocks are the rest
	trailer http1.Fields // of a body that was read ahead to its end
	conn    net.Conn     // that src reads

	users atomic.Int32 // the client's side, and each attempt that sends it

	mu           sync.Mutex
	started      bool // an attempt has read from the client: what it read can't be sent again
	finished     bool // that attempt reads no more
	complete     bool // it has read and sent all
	clientFailed bool // the client did not send all
	stopped      bool // no attempt may read any more
	done         chan error
}

// NewUpload returns the rest of a body, which conn brings. The client's side holds it until it calls Release.
func NewUpload(spool *Spool, conn net.Conn, f http1.Framing, limits *Limits) *Upload {
	u := &Upload{
		spool:  spool,
		conn:   conn,
		limits: limits,
		length: f.Length,
		known:  !f.Chunked,
		done:   make(chan error, 1),
	}
	u.users.Store(1)
	return u
}

// Hurry sets the floor. It is called before the body is handed on.
func (u *Upload) Hurry(f Floor) { u.floor = f }

// Fill reads ahead. It returns once the body is complete, or there is no more memory for it.
func (u *Upload) Fill(src *http1.Body) error {
	for range u.limits.Ahead / BlockSize {
		if !u.spool.take(BlockSize) {
			break
		}
		block := blocks.Get().(*[BlockSize]byte)
		n, err := io.ReadFull(src, block[:])
		u.blocks = append(u.blocks, block[:n])
		endsInBlock := errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && src.Ended())
		if err != nil && !endsInBlock {
			return err
		}
		if src.Ended() {
			u.trailer = u.limits.Trailer(src)
			return nil
		}
	}
	u.src = src
	return nil
}

// FixLength gives a chunked body that was read to its end the length that it turned out to have: before is how many
// bytes of it stand elsewhere.
func (u *Upload) FixLength(before int) {
	if !u.Streaming() && !u.known && len(u.trailer) == 0 { // a trailer needs chunks
		u.length = uint64(before) + u.Ahead()
		u.known = true
	}
}

// Length is that of the whole body, if it is known.
func (u *Upload) Length() (bytes uint64, known bool) { return u.length, u.known }

// Ahead is how much has been read ahead, in bytes.
func (u *Upload) Ahead() (bytes uint64) {
	for _, block := range u.blocks {
		bytes += uint64(len(block))
	}
	return bytes
}

// Trailer returns the trailer of a body that was read ahead to its end.
func (u *Upload) Trailer() http1.Fields { return u.trailer }

// Hold keeps the blocks for an attempt. It fails if they have been given back.
func (u *Upload) Hold() bool {
	for {
		users := u.users.Load()
		if users == 0 {
			return false
		}
		if u.users.CompareAndSwap(users, users+1) {
			return true
		}
	}
}

// Release gives the blocks back once nobody holds them.
func (u *Upload) Release() {
	if u.users.Add(-1) > 0 {
		return
	}
	for _, block := range u.blocks {
		blocks.Put((*[BlockSize]byte)(block[:BlockSize]))
		u.spool.giveBack(BlockSize)
	}
	u.blocks = nil
}

// Streaming tells whether a part of the body is still with the client. A nil Upload has none.
func (u *Upload) Streaming() bool { return u != nil && u.src != nil }

// Unread tells whether the client has still something of the body to send.
func (u *Upload) Unread() bool {
	if !u.Streaming() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.complete
}

// Failed tells whether the client has not sent the body that it began.
func (u *Upload) Failed() bool {
	if !u.Streaming() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clientFailed
}

// Consumed tells whether the body can't be sent once more.
func (u *Upload) Consumed() bool {
	if !u.Streaming() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started
}

// Done tells, once, how the one attempt that read from the client has ended: nil if all was read and written.
func (u *Upload) Done() <-chan error { return u.done }

// Stop keeps attempts from reading on, and returns once none does.
func (u *Upload) Stop() {
	u.mu.Lock()
	u.stopped = true
	reading := u.started && !u.finished
	_ = u.conn.SetReadDeadline(expired) // fails on a closed connection, as reads do then
	u.mu.Unlock()
	if reading {
		_ = u.wait() // the body is not wanted, however the attempt ended
	}
}

// wait returns how the attempt that reads from the client has ended.
func (u *Upload) wait() error { return <-u.done }
