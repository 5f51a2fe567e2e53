package body

import (
	"errors"
	"io"
	"sync"
	"time"

	"olivearch/internal/http1"
)

const (
	// MaxBuffered bounds, in bytes, a body that is buffered to its end before anything of it is forwarded.
	MaxBuffered = 64 << 10
	// bufferingTime is how long the body of a response is buffered before what there is of it is forwarded. One that is
	// complete in that time, and no longer than Whole, can be judged first: cut or malformed, another attempt may take its
	// place where its class allows.
	bufferingTime = 20 * time.Millisecond
)

// part is a piece of a response that is streamed. The last one has an error, which is io.EOF if the response is
// complete.
type part struct {
	block *[BlockSize]byte
	n     int // bytes of the block that are used
	err   error
}

// Download is a response that may be streamed to the client as it comes. The attempt's goroutine calls Receive, the
// client's calls Copy; either may end it.
type Download struct {
	source    Source
	framing   http1.Framing
	limits    *Limits
	body      *http1.Body // read by the attempt's goroutine, or by the client's if the length is known
	forwarded chan error  // how the client's goroutine has ended reading it
	parts     chan part
	abandoned chan struct{} // closed once nobody wants the rest
	abandon   func()        // closes it, once
	begun     chan struct{} // closed once Receive's begin has returned

	mu       sync.Mutex
	buffered []byte // what had come before streaming; not written after that
	state    downloadState
}

// downloadState only grows.
type downloadState uint8

const (
	buffering downloadState = iota // nothing has been forwarded
	streaming                      // it is forwarded as it comes
	finished                       // no more is read for it
)

// Source is a connection to an upstream that a download is read from. *http1.Stream is one.
type Source interface {
	Body(f http1.Framing, most int64) *http1.Body
	SetReadDeadline(time.Time) error
}

// NewDownload returns the response that comes from c, whose head has been read.
func NewDownload(c Source, f http1.Framing, limits *Limits) *Download {
	d := &Download{
		source:    c,
		framing:   f,
		limits:    limits,
		body:      c.Body(f, limits.Answer),
		forwarded: make(chan error, 1),
		parts:     make(chan part, 1),
		abandoned: make(chan struct{}),
		begun:     make(chan struct{}),
	}
	d.abandon = sync.OnceFunc(d.stopReading)
	return d
}

func (d *Download) stopReading() {
	close(d.abandoned)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != finished { // else the connection may serve another request by now
		_ = d.source.SetReadDeadline(expired) // fails on a closed connection, as reads do then
	}
}

// Length is the body's in bytes, where Framed is false.
func (d *Download) Length() uint64 { return d.framing.Length }

// Framed tells whether the client gets chunks: the length is not known.
func (d *Download) Framed() bool { return d.framing.Chunked || d.framing.UntilClose }

// Trailer returns the trailer of a response that Receive has returned complete.
func (d *Download) Trailer() http1.Fields { return d.limits.Trailer(d.body) }

// advance changes the state, if it is from.
func (d *Download) advance(from, to downloadState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != from {
		return false
	}
	d.state = to
	return true
}

// Abandon ends what nobody reads. A nil download has nothing to end.
func (d *Download) Abandon() {
	if d != nil {
		d.abandon()
	}
}

// Receive reads the body. It calls begin, from any goroutine, once there is something to forward that is not the whole;
// if it has not, it returns the whole. It returns after begin has: were the end reported before the beginning, the end
// of a short response would pass for an empty one.
func (d *Download) Receive(begin func()) (whole []byte, err error) {
	start := func() {
		if d.advance(buffering, streaming) {
			begin()
			close(d.begun)
		}
	}
	if !d.Framed() { // it is known to be long
		start()
		err := d.waitForwarded()
		d.advance(streaming, finished)
		return nil, err
	}
	timer := time.AfterFunc(bufferingTime, start)
	defer timer.Stop()
	for {
		next := d.readPart()
		switch {
		case !d.buffer(next):
			if err := d.streamPart(next); err != nil {
				return nil, d.finishStreaming(err)
			}
		case errors.Is(next.err, io.EOF):
			return d.buffered, nil
		case next.err != nil:
			return nil, next.err
		case len(d.buffered) > MaxBuffered:
			start()
		}
	}
}

// waitForwarded waits until the client's goroutine has forwarded the body or given it up.
func (d *Download) waitForwarded() error {
	select {
	case err := <-d.forwarded:
		return err
	case <-d.abandoned:
	}
	select { // both may be ready
	case err := <-d.forwarded:
		return err
	default:
		return errStopped
	}
}

func (d *Download) readPart() part {
	block := blocks.Get().(*[BlockSize]byte)
	n, err := d.body.Read(block[:])
	return part{block, n, err}
}

// buffer adds a part to what is buffered. It returns false, and leaves the part alone, if streaming has begun.
func (d *Download) buffer(next part) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	mayBuffer := d.state == buffering
	if mayBuffer {
		d.buffered = append(d.buffered, next.block[:next.n]...)
		blocks.Put(next.block)
	}
	if next.err != nil {
		d.state = finished
	}
	return mayBuffer
}

// streamPart gives a part to the client's goroutine. It returns the part's error, or errStopped if nobody wants more.
func (d *Download) streamPart(next part) error {
	select {
	case d.parts <- next:
	case <-d.abandoned:
		blocks.Put(next.block)
		return errStopped
	}
	if next.err != nil {
		return next.err
	}
	return d.setReadTimeout(d.limits.Quiet)
}

// finishStreaming returns what Receive reports of a streamed response: nil if it is complete.
func (d *Download) finishStreaming(err error) error {
	d.advance(streaming, finished)
	<-d.begun
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// setReadTimeout bounds the next read from the upstream, unless nobody wants the rest any more.
func (d *Download) setReadTimeout(timeout time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.abandoned: // the expired deadline stays
		d.state = finished
		return errStopped
	default:
		_ = d.source.SetReadDeadline(time.Now().Add(timeout)) // if it fails so does the read
		return nil
	}
}
