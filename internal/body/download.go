package body

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"olivearch/internal/http1"
)

const (
	// MaxBuffered is the size in bytes up to which a body is buffered to its end before any part is forwarded.
	MaxBuffered = 64 << 10
	// bufferingTime is how long the body of a response is buffered before it is streamed. A body that ends within
	// that time and is at most MaxBuffered long is checked before it is forwarded: if it is truncated or malformed,
	// the request may be retried where its class allows that.
	bufferingTime = 20 * time.Millisecond
)

// part is a part of a streamed response. The last part has an error, which is io.EOF if the response is complete.
type part struct {
	block []byte // from getBlock
	size  int    // bytes of the block that are used
	err   error
}

// content returns the bytes of a part.
func (p part) content() []byte { return p.block[:p.size] }

// Download is the body of a response that is buffered to its end or streamed to the client while it is received. The
// goroutine of the attempt calls Receive, that of the client calls Copy. Either may end the download.
type Download struct {
	source        Source
	framing       http1.Framing
	limits        *Limits
	body          *http1.Body // read by the attempt's goroutine, or by the client's if the length is known
	forwarded     chan error  // result of the client's goroutine, if that reads the body
	parts         chan part
	abandoned     chan struct{} // closed once the rest of the body is no longer needed
	abandon       func()        // closes abandoned, once
	beginReturned chan struct{} // closed once the callback of Receive has returned

	hold func(received []byte) bool // see HoldWhile; nil: never

	origin Origin  // see SetOrigin
	memory Reserve // see Within; nil: no account

	mu       sync.Mutex
	buffered []byte // received before streaming; not changed afterwards until it is sent

	bufferMemory int64  // taken from the account for buffered
	blockMemory  int64  // taken from the account for blocks
	blockSize    int    // once the body is streamed
	unsent       []byte // read into the buffer when streaming had begun
	unsentErr    error  // that follows unsent

	received int64 // bytes of the body, from the upstream
	state    downloadState
	isDue    bool // bufferingTime has passed
	stall    stallRule
}

// downloadState is the state of a download. It only changes to a later one.
type downloadState uint8

const (
	buffering downloadState = iota // nothing has been forwarded
	streaming                      // the body is forwarded while it is received
	finished                       // no more is read from the upstream
)

// Source is a connection from which a download is read. *http1.Stream implements it.
type Source interface {
	Body(f http1.Framing, maxBytes int64) *http1.Body
	SetReadDeadline(time.Time) error
}

// NewDownload returns the download of a response from c whose head has been read.
func NewDownload(c Source, f http1.Framing, limits *Limits) *Download {
	d := &Download{
		source:        c,
		framing:       f,
		limits:        limits,
		body:          c.Body(f, limits.MaxResponseBytes),
		stall:         newStallRule(limits.StallTimeout),
		forwarded:     make(chan error, 1),
		parts:         make(chan part),
		abandoned:     make(chan struct{}),
		beginReturned: make(chan struct{}),
	}
	d.abandon = sync.OnceFunc(d.stopReading)
	return d
}

// HoldWhile keeps a body of unknown length from being streamed while hold returns true for the bytes that have been
// received, and while they are at most MaxBuffered. It is called before Receive.
func (d *Download) HoldWhile(hold func(received []byte) bool) { d.hold = hold }

// Origin says in logs which response a Download is.
type Origin struct {
	Request  string // id that the client gave to the request
	Endpoint string
}

// SetOrigin sets the origin. It is called before Copy.
func (d *Download) SetOrigin(origin Origin) { d.origin = origin }

// noteReceived records bytes that the upstream has sent.
func (d *Download) noteReceived(bytes int64) {
	if bytes <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.received += bytes
	d.stall.lastByte = time.Now()
}

// SetDue sets the time by which the client wants the whole body. The body goes on after it as long as it moves; one
// that has stopped ends sooner than at Limits.StallTimeout. It is called before Copy.
func (d *Download) SetDue(due time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stall.due = due
	if d.state == streaming && d.HasUnknownLength() { // a read is waiting
		d.limitRead(d.stall.end())
	}
}

// End returns the time by which a body whose streaming starts now must have been written to the client. It is longest
// from now if nothing limits that.
func (d *Download) End(longest time.Duration) time.Time {
	limit := d.writeLimit()
	if limit.End.IsZero() {
		return time.Now().Add(longest)
	}
	return limit.End
}

func (d *Download) stopReading() {
	close(d.abandoned)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseMemory(&d.bufferMemory)
	if d.state != finished { // a finished download's connection may already serve another request
		_ = d.source.SetReadDeadline(expiredDeadline) // fails on a closed connection, as reads do then
	}
}

// Length returns the length of the body in bytes. It is meaningless if HasUnknownLength returns true.
func (d *Download) Length() uint64 { return d.framing.Length }

// HasUnknownLength reports whether the length of the body is not known before its end.
func (d *Download) HasUnknownLength() bool { return d.framing.Chunked || d.framing.UntilClose }

// Trailer returns the trailer of a response that Receive has returned complete.
func (d *Download) Trailer() http1.Fields { return d.limits.Trailer(d.body) }

// finish ends the streaming of a body.
func (d *Download) finish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state == streaming {
		d.state = finished
	}
}

// Abandon ends a download whose rest is not needed. It does nothing for a nil Download.
func (d *Download) Abandon() {
	if d != nil {
		d.abandon()
	}
}

// Receive reads the body. If the body ends while it is being buffered, Receive returns all of it. Else it calls begin,
// from any goroutine, when streaming starts, and returns at the end of the body, after begin has returned: if the end
// were reported first, a short streamed response would be taken for an empty one.
func (d *Download) Receive(begin func()) (whole []byte, err error) {
	start := func() {
		if d.beginStreaming() {
			begin()
			close(d.beginReturned)
		}
	}
	if !d.HasUnknownLength() { // a body of known length is only streamed if it is long
		start()
		err := d.waitForwarded()
		d.finish()
		return nil, err
	}
	timer := time.AfterFunc(bufferingTime, func() {
		d.mu.Lock()
		d.isDue = true
		d.mu.Unlock()
		start()
	})
	defer timer.Stop()
	first, ended, err := d.receiveWhole(start)
	if err != nil {
		d.releaseBuffer()
		return nil, err
	}
	if ended {
		d.releaseBuffer()
		return d.buffered, nil
	}
	defer d.releaseBlocks()
	for next := first; ; next = d.readPart() {
		if err := d.streamPart(next); err != nil {
			return nil, d.finishStreaming(err)
		}
	}
}

// beginStreaming begins the streaming of a body that is due to be streamed and is not held, and reports whether it did.
func (d *Download) beginStreaming() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != buffering || !d.mayStream() {
		return false
	}
	d.state = streaming
	if d.HasUnknownLength() {
		d.chooseBlocks()
	}
	// From now on the request's own time limit does not end the wait for the next bytes.
	d.limitNextByte()
	return true
}

// mayStream reports whether a body that is being buffered may be streamed. The caller holds the lock.
func (d *Download) mayStream() bool {
	if !d.HasUnknownLength() || len(d.buffered) > MaxBuffered {
		return true
	}
	return d.isDue && (d.hold == nil || !d.hold(d.buffered))
}

// waitForwarded waits until the client's goroutine has forwarded the body or the download is abandoned.
func (d *Download) waitForwarded() error {
	select {
	case err := <-d.forwarded:
		return err
	case <-d.abandoned:
	}
	select { // a result may have come at the same time
	case err := <-d.forwarded:
		return err
	default:
		return errStopped
	}
}

// readError returns the error of a read, which is errUpstreamSilent if the wait for the next byte has ended it.
func (d *Download) readError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != streaming || d.isAbandoned() {
		return err
	}
	return fmt.Errorf("%w: %w", errUpstreamSilent, err)
}

// streamPart passes a part to the client's goroutine. It returns the part's error, or errStopped if the download is
// abandoned.
func (d *Download) streamPart(next part) error {
	select {
	case d.parts <- next:
	case <-d.abandoned:
		putBlock(next.block)
		return errStopped
	}
	if next.err != nil {
		return next.err
	}
	return d.awaitNextByte(time.Time{})
}

// finishStreaming returns the error that Receive returns for a streamed response: nil if the response is complete.
func (d *Download) finishStreaming(err error) error {
	d.finish()
	<-d.beginReturned
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// awaitNextByte limits the wait for the next byte from the upstream, which begins now and ends no later than total,
// unless that is zero. It returns errStopped if the download is abandoned.
func (d *Download) awaitNextByte(total time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stall.total = total
	if !d.limitNextByte() {
		d.state = finished
		return errStopped
	}
	return nil
}

// limitNextByte limits the wait for the next byte from the upstream, which begins now. It returns false if the download
// is abandoned. The caller holds the lock.
func (d *Download) limitNextByte() bool {
	d.stall.waitingSince = time.Now()
	return d.limitRead(d.stall.end())
}

// setReadTimeout sets the deadline of the next read from the upstream. It returns errStopped if the download is
// abandoned.
func (d *Download) setReadTimeout(timeout time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.limitRead(time.Now().Add(timeout)) {
		d.state = finished
		return errStopped
	}
	return nil
}

// limitRead sets the deadline of the next read from the upstream, or of the one that waits. It returns false if the
// download is abandoned, since the expired deadline must stay then. The caller holds the lock.
func (d *Download) limitRead(deadline time.Time) bool {
	if d.isAbandoned() {
		return false
	}
	_ = d.source.SetReadDeadline(deadline) // if it fails, so does the read
	return true
}

// isAbandoned reports whether the rest of the body is no longer needed.
func (d *Download) isAbandoned() bool {
	select {
	case <-d.abandoned:
		return true
	default:
		return false
	}
}
