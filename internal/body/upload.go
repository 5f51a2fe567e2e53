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

// ErrClientTooSlow is the error of a client that did not send its body in time.
var ErrClientTooSlow = errors.New("the body did not come whole in time")

// ClientError is the error of a transfer that failed because the client did not send its whole body.
type ClientError struct{ error }

// Unwrap returns the cause.
func (e ClientError) Unwrap() error { return e.error }

// Progress is notified of what a transfer waits for.
type Progress interface {
	// AwaitClient is called when the client's next bytes are awaited.
	AwaitClient()
	// ClientSent is called when they have come, or the transfer waits for something else.
	ClientSent()
}

// MinRate is the minimum rate at which a client must send, relative to the time spent waiting for the client.
type MinRate struct {
	BytesPerSecond int           // 0: no minimum
	Grace          time.Duration // waiting time that does not count
}

// Upload is the part of a request body that follows upstream.Message.Body: blocks that were read ahead and, if the body
// is longer, the rest that is still to be read from the client's connection. The client's goroutine creates it and
// reads ahead. Then all attempts of the request share it: each may send the blocks, but only one may read from the
// client.
type Upload struct {
	spool       *Spool
	blocks      [][]byte
	limits      *Limits
	minRate     MinRate
	progress    Progress // nil: nobody is notified
	length      uint64   // of the whole body in bytes, if lengthKnown
	lengthKnown bool

	src     *http1.Body  // reads the rest after the blocks; nil: there is none
	trailer http1.Fields // of a body that was read ahead to its end
	conn    net.Conn     // from which src reads

	holders atomic.Int32 // the client's goroutine, and each attempt that sends the body

	mu           sync.Mutex
	senders      int       // attempts that are sending the blocks
	started      bool      // an attempt reads or has read from the client: the body can't be sent again
	finished     bool      // that attempt has stopped reading
	complete     bool      // that attempt has read and sent the whole body
	clientFailed bool      // the client did not send the whole body
	arrivedAt    time.Time // see ArrivedAt
	stopped      bool      // no attempt may read from the client any more
	done         chan error
}

// NewUpload returns the Upload of a body that is received on conn. The caller holds it until it calls Release.
func NewUpload(spool *Spool, conn net.Conn, f http1.Framing, limits *Limits) *Upload {
	u := &Upload{
		spool:       spool,
		conn:        conn,
		limits:      limits,
		length:      f.Length,
		lengthKnown: !f.Chunked,
		done:        make(chan error, 1),
	}
	u.holders.Store(1)
	return u
}

// SetMinRate sets the minimum rate. It is called before any attempt uses the Upload.
func (u *Upload) SetMinRate(r MinRate) { u.minRate = r }

// SetProgress sets who is notified of the progress. It is called before any attempt uses the Upload.
func (u *Upload) SetProgress(p Progress) { u.progress = p }

// ReadAhead reads the body into blocks until it is complete, its limit is reached or the spool has no free memory.
func (u *Upload) ReadAhead(src *http1.Body) error {
	for range u.limits.ReadAheadBytes / BlockSize {
		if !u.spool.reserve(BlockSize) {
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

// ResolveLength sets the length of a chunked body that was read ahead to its end, so that it is sent with a
// Content-Length. before is the number of bytes in front of the blocks.
func (u *Upload) ResolveLength(before int) {
	if !u.Streaming() && !u.lengthKnown && len(u.trailer) == 0 { // a trailer needs chunks
		u.length = uint64(before) + u.BytesReadAhead()
		u.lengthKnown = true
	}
}

// Length returns the length of the whole body, if it is known.
func (u *Upload) Length() (bytes uint64, known bool) { return u.length, u.lengthKnown }

// BytesReadAhead returns the number of bytes in the blocks.
func (u *Upload) BytesReadAhead() (bytes uint64) {
	for _, block := range u.blocks {
		bytes += uint64(len(block))
	}
	return bytes
}

// Trailer returns the trailer of a body that was read ahead to its end, if trailers are forwarded.
func (u *Upload) Trailer() http1.Fields { return u.trailer }

// Retain keeps the blocks for an attempt until it calls Release. It returns false if they have been released already.
func (u *Upload) Retain() bool {
	for {
		users := u.holders.Load()
		if users == 0 {
			return false
		}
		if u.holders.CompareAndSwap(users, users+1) {
			return true
		}
	}
}

// Release ends the use of the blocks by one holder. The last one returns their memory to the spool.
func (u *Upload) Release() {
	if u.holders.Add(-1) > 0 {
		return
	}
	for _, block := range u.blocks {
		blocks.Put((*[BlockSize]byte)(block[:BlockSize]))
		u.spool.release(BlockSize)
	}
	u.blocks = nil
}

// Streaming reports whether a part of the body follows the blocks and is read from the client while the body is sent.
// It returns false for a nil Upload.
func (u *Upload) Streaming() bool { return u != nil && u.src != nil }

// Unread reports whether a part of the body has not been read from the client and sent.
func (u *Upload) Unread() bool {
	if !u.Streaming() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.complete
}

// Failed reports whether the client failed to send the whole body.
func (u *Upload) Failed() bool {
	if !u.Streaming() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.clientFailed
}

// Consumed reports whether the body can't be sent again, since an attempt has begun to read it from the client.
func (u *Upload) Consumed() bool {
	if !u.Streaming() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.started
}

// Done returns a channel that yields one value: the result of the attempt that read from the client, nil if the whole
// body was read and written, or a ClientError if no attempt has begun to read and Cancel was called.
func (u *Upload) Done() <-chan error { return u.done }

// ReadArrived reads what has arrived of a body of known length into further blocks, at most about maxBytes and as far
// as the spool has memory. It does not wait. It reports whether it has read anything, and does nothing while an
// attempt sends the body. The end of a client's connection arrives only when there is room for all bytes before it.
func (u *Upload) ReadArrived(maxBytes int) bool {
	if !u.Streaming() || !u.lengthKnown || !u.Retain() {
		return false
	}
	defer u.Release()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.started || u.stopped || u.senders > 0 {
		return false
	}
	_ = u.conn.SetReadDeadline(time.Now().Add(uploadReadTimeout)) // if it fails, so does the read
	read := 0
	for read < maxBytes && u.src.HasArrived() && u.spool.reserve(BlockSize) {
		block := blocks.Get().(*[BlockSize]byte)
		size, err := u.src.Read(block[:]) // does not wait, since a byte has arrived
		u.blocks = append(u.blocks, block[:size])
		read += size
		if err != nil { // the attempt that reads on gets it, too
			break
		}
	}
	return read > 0
}

// beginSending returns the blocks for an attempt, which calls endSending. No blocks are added in between.
func (u *Upload) beginSending() [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.senders++
	return u.blocks
}

func (u *Upload) endSending() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.senders--
}

// Cancel ends an upload whose request is over, because its client has left. It does nothing if an attempt has begun to
// read from the client, and if the whole body was read ahead.
func (u *Upload) Cancel() {
	if !u.Streaming() {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.started || u.stopped {
		return
	}
	u.stopped = true
	u.done <- ClientError{errStopped} // does not block: nothing else is sent unless an attempt has begun
}

// Stop ends the reading of the body and returns once no attempt reads from the client.
func (u *Upload) Stop() {
	u.mu.Lock()
	u.stopped = true
	reading := u.started && !u.finished
	_ = u.conn.SetReadDeadline(expiredDeadline) // if it fails, so do the reads
	u.mu.Unlock()
	if reading {
		_ = u.wait() // the body is not needed, whatever the result of the attempt
	}
}

// wait waits for the end of the attempt that reads from the client and returns its result.
func (u *Upload) wait() error { return <-u.done }
