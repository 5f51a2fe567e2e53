// Package body carries long bodies and answers between two connections: what was read ahead of an attempt, what goes on as it
// comes, and who may end it.
package body

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/http1"
)

const (
	// uploadStall is how long a client may send nothing of a body that goes on as it comes.
	uploadStall = 5 * time.Second
	// A part of a body of known length that is moved at once has partMost bytes, or as many as come within partWait.
	partMost = 512 << 10
	partWait = 50 * time.Millisecond
	// slowNode is how long a node may take no byte of it.
	slowNode = 5 * time.Second
	// Block is what is copied at once, in bytes.
	Block = 32 << 10
)

var blocks = sync.Pool{New: func() any { return new([Block]byte) }}

// Spool is the memory that clients' bodies may take beyond what each may have for itself, in bytes.
type Spool struct{ size, free atomic.Int64 }

// Set gives the spool so many bytes. If more than that are taken, nobody takes any until enough have been given back.
func (s *Spool) Set(bytes int64) { s.free.Add(bytes - s.size.Swap(bytes)) }

// Free tells how many bytes are not taken.
func (s *Spool) Free() int64 { return s.free.Load() }

func (s *Spool) take(n int64) bool {
	if s.free.Add(-n) >= 0 {
		return true
	}
	s.free.Add(n)
	return false
}

// Upload is what a request's body has beyond the part that stands in its message: blocks that were read ahead, and, if it
// is larger, the client's connection.
type Upload struct {
	room   *Spool
	blocks [][]byte
	limits *Limits
	floor  Floor
	length uint64 // of the whole body, if known
	known  bool

	src     *http1.Body  // nil: the blocks are the rest
	trailer http1.Fields // of a body that is whole
	conn    net.Conn     // that src reads

	users atomic.Int32 // the client's side, and each attempt that sends it

	mu      sync.Mutex
	begun   bool // an attempt has read from the client: what it read can't be sent again
	over    bool // and does so no more
	whole   bool // it has read all
	failed  bool // the client did not send it
	stopped bool // no attempt may read any more
	done    chan error
}

// ErrSlow says that a client did not send its body in the time that one may take.
var ErrSlow = errors.New("the body did not come whole in time")

var errStopped = errors.New("the body is not wanted any more")

// NewUpload returns the rest of a body that comes from src, which reads conn. The client's side holds it until it calls Release.
func NewUpload(room *Spool, conn net.Conn, f http1.Framing, limits *Limits) *Upload {
	u := &Upload{room: room, conn: conn, limits: limits, length: f.Length, known: !f.Chunked, done: make(chan error, 1)}
	u.users.Store(1)
	return u
}

// Floor is the least rate at which a client must send. Only the time that is spent waiting for the client counts.
type Floor struct {
	Rate  int           // bytes a second; 0: any
	Grace time.Duration // that it may lose beyond that
}

// Hurry sets the floor. It is called before the body is handed on.
func (u *Upload) Hurry(f Floor) { u.floor = f }

// Settle gives the body the length that it turned out to have, if it is whole: before is how much of it stands elsewhere.
func (u *Upload) Settle(before int) {
	if !u.Live() && !u.known && len(u.trailer) == 0 { // a trailer goes behind chunks
		u.length, u.known = uint64(before)+u.Ahead(), true
	}
}

// Length is that of the whole body, if it is known.
func (u *Upload) Length() (bytes uint64, known bool) { return u.length, u.known }

// Done tells, once, how the one attempt that read from the client has ended: nil if all was read and written.
func (u *Upload) Done() <-chan error { return u.done }

// Fill reads ahead. It returns once the body is whole, or there is no more room.
func (u *Upload) Fill(src *http1.Body) error {
	for range u.limits.Ahead / Block {
		if !u.room.take(Block) {
			break
		}
		b := blocks.Get().(*[Block]byte)
		n, err := io.ReadFull(src, b[:])
		u.blocks = append(u.blocks, b[:n])
		if err != nil && !errors.Is(err, io.EOF) && !(errors.Is(err, io.ErrUnexpectedEOF) && src.Ended()) {
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

// Ahead is how much has been read ahead, in bytes.
func (u *Upload) Ahead() (n uint64) {
	for _, b := range u.blocks {
		n += uint64(len(b))
	}
	return n
}

// Hold keeps the blocks for an attempt. It fails if they have been given back.
func (u *Upload) Hold() bool {
	for {
		n := u.users.Load()
		if n == 0 {
			return false
		}
		if u.users.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives the blocks back once nobody holds them.
func (u *Upload) Release() {
	if u.users.Add(-1) > 0 {
		return
	}
	for _, b := range u.blocks {
		blocks.Put((*[Block]byte)(b[:Block]))
		u.room.free.Add(Block)
	}
	u.blocks = nil
}

// Live tells whether a part of the body is still with the client.
func (u *Upload) Live() bool { return u != nil && u.src != nil }

// Unread tells whether the client has still something of the body to send.
func (u *Upload) Unread() bool {
	if !u.Live() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.whole
}

// Failed tells whether the client has not sent the body that it began.
func (u *Upload) Failed() bool {
	if !u.Live() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failed
}

// Spent tells whether the body can't be sent once more.
func (u *Upload) Spent() bool {
	if !u.Live() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.begun
}

// begin lets one attempt read from the client, or none if the body is not wanted any more.
func (u *Upload) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.begun || u.stopped {
		return false
	}
	u.begun = true
	return true
}

// Stop keeps attempts from reading on, and returns once none does.
func (u *Upload) Stop() {
	u.mu.Lock()
	u.stopped = true
	reads := u.begun && !u.over
	u.conn.SetReadDeadline(time.Unix(0, 1))
	u.mu.Unlock()
	if reads {
		<-u.done
	}
}

// patient bounds the next read from the client, unless no more is to be read.
func (u *Upload) patient(within time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return ClientFailed{errStopped}
	}
	u.conn.SetReadDeadline(time.Now().Add(within))
	return nil
}

// ClientFailed says that a body did not come whole from its client.
type ClientFailed struct{ error }

func (e ClientFailed) Unwrap() error { return e.error }

// Trailer is what stood behind a body that is whole.
func (u *Upload) Trailer() http1.Fields { return u.trailer }

// Send writes the rest of a body to an upstream. The last byte is written only if it returns nil.
func (u *Upload) Send(c net.Conn) (err error) {
	for _, b := range u.blocks {
		if err := http1.Chunk(c, b, !u.known, slowNode); err != nil {
			return err
		}
	}
	if !u.Live() {
		if !u.known {
			return http1.End(c, u.trailer, slowNode)
		}
		return nil
	}
	if !u.begin() {
		return ClientFailed{errStopped}
	}
	defer func() {
		u.mu.Lock()
		u.over, u.whole, u.failed = true, err == nil, errors.As(err, new(ClientFailed))
		u.mu.Unlock()
		u.done <- err
	}()
	began := time.Now()
	var sent int64
	var waited time.Duration // for the client
	for err == nil {
		if time.Since(began) > u.limits.Within || u.tooSlow(sent, waited) {
			return ClientFailed{ErrSlow}
		}
		var n int64
		var wait time.Duration
		if u.known {
			n, wait, err = u.forward(c)
		} else {
			n, wait, err = u.copy(c)
		}
		sent, waited = sent+n, waited+wait
	}
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case u.known:
		return nil
	default:
		return http1.End(c, u.limits.Trailer(u.src), slowNode)
	}
}

// tooSlow tells whether a client that has sent so much may not be waited for any longer.
func (u *Upload) tooSlow(sent int64, waited time.Duration) bool {
	return u.floor.Rate > 0 && waited > u.floor.Grace && float64(sent) < float64(u.floor.Rate)*(waited-u.floor.Grace).Seconds()
}

// forward moves a part of a body whose length is known, once something of it has come.
func (u *Upload) forward(c net.Conn) (n int64, wait time.Duration, err error) {
	if err := u.patient(uploadStall); err != nil {
		return 0, 0, err
	}
	began := time.Now()
	if err := u.src.Wait(); err != nil && !errors.Is(err, io.EOF) {
		return 0, 0, ClientFailed{err}
	}
	wait = time.Since(began)
	if err := u.patient(partWait); err != nil {
		return 0, wait, err
	}
	began = time.Now()
	if n, err = move(u.src, c, slowNode); err == nil && n < partMost { // what is missing has not come within partWait
		wait += time.Since(began)
	}
	if err != nil && !errors.Is(err, io.EOF) && (errors.Is(err, io.ErrUnexpectedEOF) || http1.Ended(u.conn)) {
		err = ClientFailed{err}
	}
	return n, wait, err
}

// move moves what comes of a part within the limit of reading that stands, and bounds the writing. Bytes that a write has timed out
// on are lost in the system's pipe, so only a read may time out and be no error.
func move(src *http1.Body, to net.Conn, within time.Duration) (n int64, err error) {
	limit := time.Now().Add(within)
	to.SetWriteDeadline(limit)
	n, err = src.Forward(to, partMost)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(limit) {
		err = nil
	}
	return n, err
}

// copy moves a part of a body whose length is not known.
func (u *Upload) copy(c net.Conn) (sent int64, wait time.Duration, err error) {
	if err := u.patient(uploadStall); err != nil {
		return 0, 0, err
	}
	b := blocks.Get().(*[Block]byte)
	defer blocks.Put(b)
	began := time.Now()
	n, err := u.src.Read(b[:])
	wait = time.Since(began)
	if werr := http1.Chunk(c, b[:n], true, slowNode); werr != nil {
		return 0, wait, werr
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = ClientFailed{err}
	}
	return int64(n), wait, err
}
