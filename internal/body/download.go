package body

import (
	"cmp"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"olivearch/internal/http1"
)

const (
	// Whole is up to how many bytes an answer's body may be held back to be judged whole.
	Whole = 64 << 10
	// Promptly is how long the body of an answer may come in before what there is of it goes on. One that comes whole in that time, and
	// is no longer than Whole, is judged whole: cut or spoilt, another attempt may take its place where its class allows.
	Promptly = 20 * time.Millisecond
	// slowBlock is how long a client may take for a block of an answer that goes on as it comes.
	slowBlock = 20 * time.Second
)

// part is a piece of an answer that goes on as it comes. The last one has none of it, and an error, io.EOF if the answer is whole.
type part struct {
	block *[Block]byte
	n     int
	err   error
}

// Download is an answer that may go on to the client as it comes. The attempt's goroutine receives it, and the client's passes it
// on; either may end it.
type Download struct {
	conn   Source
	f      http1.Framing
	limits *Limits
	src    *http1.Body // read by the attempt's goroutine, or, where the length is known, by the client's
	ended  chan error  // how the client's side has ended reading it
	parts  chan part
	gone   chan struct{} // closed once nobody wants the rest
	leave  func()
	begun  chan struct{} // closed once it has been told that it goes on

	mu    sync.Mutex
	first []byte // what had come when it began to go on
	state progress
}

// progress is what a download has come to.
type progress uint8

const (
	gathering progress = iota // nothing has gone on
	passing                   // it goes on as it comes
	over                      // no more is read for it
)

// Source is a connection to a node that a download is read from. *http1.Stream is one.
type Source interface {
	Body(f http1.Framing, most int64) *http1.Body
	SetReadDeadline(time.Time) error
}

// NewDownload returns the answer that comes from c.
func NewDownload(c Source, f http1.Framing, limits *Limits) *Download {
	d := &Download{conn: c, f: f, limits: limits, src: c.Body(f, limits.Answer), ended: make(chan error, 1), parts: make(chan part, 1), gone: make(chan struct{}), begun: make(chan struct{})}
	d.leave = sync.OnceFunc(func() {
		close(d.gone)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.state != over { // else the connection may serve another request by now
			d.conn.SetReadDeadline(time.Unix(0, 1))
		}
	})
	return d
}

// Length is the body's, where Framed is false.
func (d *Download) Length() uint64 { return d.f.Length }

// Framed tells whether the client gets chunks: the length is not known.
func (d *Download) Framed() bool { return d.f.Chunked || d.f.ToClose }

// Trailer is what stood behind an answer that Receive has returned whole.
func (d *Download) Trailer() http1.Fields { return d.limits.Trailer(d.src) }

// advance moves on from one state to another, if it is in that.
func (d *Download) advance(from, to progress) bool {
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
		d.leave()
	}
}

// Receive reads the body. It calls begin, from any goroutine, once there is something to go on with that is not the whole; if it
// has not, it returns the whole. It returns after begin has: what is told of the end must not come before what was told of the
// beginning, or the end of a short answer would pass for an empty one.
func (d *Download) Receive(begin func()) (whole []byte, err error) {
	start := func() {
		if d.advance(gathering, passing) {
			begin()
			close(d.begun)
		}
	}
	if !d.Framed() { // it is known to be long
		start()
		select {
		case err = <-d.ended:
		case <-d.gone:
			select { // both may stand
			case err = <-d.ended:
			default:
				err = errStopped
			}
		}
		d.advance(passing, over)
		return nil, err
	}
	timer := time.AfterFunc(Promptly, start)
	defer timer.Stop()
	for {
		b := blocks.Get().(*[Block]byte)
		n, err := d.src.Read(b[:])
		d.mu.Lock()
		if d.state == gathering {
			d.first = append(d.first, b[:n]...)
			blocks.Put(b)
			if err != nil {
				d.state = over
			}
			long := len(d.first) > Whole
			d.mu.Unlock()
			if err == io.EOF {
				return d.first, nil
			} else if err != nil {
				return nil, err
			}
			if long {
				start()
			}
			continue
		}
		if err != nil {
			d.state = over
		}
		d.mu.Unlock()
		gone := d.pass(part{b, n, err})
		if gone == nil && err == nil {
			gone = d.patient(d.limits.Quiet)
		}
		if gone == nil && err == nil {
			continue
		}
		d.advance(passing, over)
		<-d.begun
		if gone == nil && err == io.EOF {
			return nil, nil
		}
		return nil, cmp.Or(gone, err)
	}
}

// patient bounds the next read from the node, unless nobody wants the rest any more.
func (d *Download) patient(within time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.gone: // its limit of time stands
		d.state = over
		return errStopped
	default:
		d.conn.SetReadDeadline(time.Now().Add(within)) // if it fails so does the read, which is told to the client's side
		return nil
	}
}

// pass gives a piece to the client's side, if that is still there.
func (d *Download) pass(p part) error {
	select {
	case d.parts <- p:
		return nil
	case <-d.gone:
		blocks.Put(p.block)
		return errStopped
	}
}

// Copy passes the body on to a client, in chunks if Framed, or else up to the connection's close (framed is false). If the node
// fails the client gets no clean end, as far as that can be told without chunks.
func (d *Download) Copy(to net.Conn, framed bool) (err error) {
	defer d.leave()
	if !d.Framed() {
		err = d.forward(to)
		d.ended <- err
		if err != nil {
			slog.Warn("an answer that was being passed on is cut", "why", err)
		}
		return err
	}
	if err := http1.Chunk(to, d.first, framed, slowBlock); err != nil {
		return err
	}
	for began := time.Now(); ; {
		p := <-d.parts
		err := http1.Chunk(to, p.block[:p.n], framed, slowBlock)
		blocks.Put(p.block)
		switch {
		case err != nil:
			return err
		case d.late(began):
			return errLate
		case p.err == nil:
		case !errors.Is(p.err, io.EOF):
			slog.Warn("an answer that was being passed on is cut", "why", p.err)
			if !framed { // a close would pass for the end
				http1.Abort(to)
			}
			return p.err
		case !framed:
			return nil
		default:
			return http1.End(to, d.Trailer(), slowBlock)
		}
	}
}

var errLate = errors.New("the answer takes longer than its route lets it")

func (d *Download) late(began time.Time) bool {
	return d.limits.Total > 0 && time.Since(began) > d.limits.Total
}

// forward moves a body of known length from the node's connection to the client's.
func (d *Download) forward(to net.Conn) error {
	for began := time.Now(); ; {
		if err := d.patient(d.limits.Quiet); err != nil {
			return err
		}
		if err := d.src.Wait(); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err := d.patient(partWait); err != nil {
			return err
		}
		switch _, err := move(d.src, to, slowBlock); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case d.late(began):
			return errLate
		}
	}
}
