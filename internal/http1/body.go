package http1

import (
	"cmp"
	"errors"
	"io"
	"math"
	"net"
	"net/http/httputil"
	"strings"
	"syscall"
)

// Framing says where a body ends (RFC 9112, section 6.3).
type Framing struct {
	Length  uint64
	Chunked bool
	ToClose bool // by the end of the connection, for answers only
}

// FramingOf reads a message's framing. Two of them, or one that is not known, are errors: others might read another end.
func FramingOf(h Fields) (f Framing, some bool, err error) {
	te, cl := h.Count("Transfer-Encoding"), h.Count("Content-Length")
	switch {
	case te > 0 && cl > 0, te > 1, cl > 1:
		return f, true, ErrFrame
	case te == 1:
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return f, true, ErrFrame
		}
		return Framing{Chunked: true}, true, nil
	case cl == 1:
		text := h.Get("Content-Length")
		n, ok := Digits(text)
		switch {
		case !ok && (text == "" || strings.Trim(text, "0123456789") != ""):
			return f, true, ErrFrame
		case !ok || n > math.MaxInt64:
			return f, true, ErrLarge
		}
		return Framing{Length: n}, true, nil
	}
	return f, false, nil
}

// Body reads a message's body to its end and no byte further. Only a body that is certain to be complete ends with io.EOF.
type Body struct {
	s      *Stream
	f      Framing
	left   uint64 // that may still come
	chunks io.Reader
	err    error

	trailer Fields
}

// Body returns the reader of a message's body, whose head has been read. One of no known length may have most bytes.
func (s *Stream) Body(f Framing, most int64) *Body {
	b := &Body{s: s, f: f, left: f.Length}
	s.bound.N = math.MaxInt64 // bounded by what is left
	if f.Chunked {
		b.chunks, b.left = httputil.NewChunkedReader(s.in), uint64(most)
	} else if f.ToClose {
		b.left = uint64(most)
	}
	return b
}

func (b *Body) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	defer func() {
		if b.left -= uint64(n); err != nil {
			b.err = err
		}
	}()
	switch {
	case b.chunked():
		n, err = b.chunks.Read(p)
		if err == io.EOF {
			b.s.bound.N = MaxHead
			if b.trailer, err = b.s.trailer(); err == nil {
				err = io.EOF
			} else if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
		} else if broken := net.Error(nil); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &broken) {
			err = ErrFrame
		}
	case b.f.ToClose:
		n, err = b.s.in.Read(p)
	case b.left == 0:
		return 0, io.EOF
	default:
		n, err = b.s.in.Read(p[:min(uint64(len(p)), b.left)])
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	if uint64(n) > b.left {
		return int(b.left), ErrLarge
	}
	return n, err
}

func (b *Body) chunked() bool { return b.chunks != nil }

// Wait returns when the next byte of a body of known length has come, and takes none; io.EOF: there is none.
func (b *Body) Wait() error {
	if b.left == 0 || b.err != nil {
		return cmp.Or(b.err, io.EOF)
	}
	err := b.s.Wait()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// Forward moves up to most bytes of a body of known length to a connection, from socket to socket where the system can (splice(2)).
// It returns io.EOF once the body has ended. What limits of time it meets are those that stand on both connections.
func (b *Body) Forward(to net.Conn, most int64) (n int64, err error) {
	if b.err != nil {
		return 0, b.err
	}
	defer func() {
		if b.left -= uint64(n); err == nil && b.left == 0 {
			err = io.EOF
		}
	}()
	most = min(most, int64(b.left))
	if ready := int64(b.s.Buffered()); ready > 0 {
		p, _ := b.s.in.Peek(int(min(ready, most))) // they are there
		m, err := to.Write(p)
		b.s.in.Discard(m)
		if n = int64(m); err != nil || n == most {
			return n, err
		}
	}
	m, err := io.Copy(Under(to), io.LimitReader(Under(b.s.Conn), most-n))
	n += m
	if err == nil && n < most {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Ended looks, without waiting and without taking anything, whether the other side has closed or broken a connection.
func Ended(c net.Conn) bool {
	x, ok := Under(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := x.SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var failed error
	err = raw.Control(func(fd uintptr) { // no limit of time that has passed matters
		var b [1]byte
		n, _, failed = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n <= 0 && !errors.Is(failed, syscall.EAGAIN)
}

// Under is the connection below c: one that io.Copy finds a way to move bytes from or to without reading them.
func Under(c net.Conn) net.Conn {
	for {
		x, ok := c.(interface{ Under() net.Conn })
		if !ok {
			return c
		}
		c = x.Under()
	}
}

// Ended tells whether the whole body has been read. It may wait for the end that a frame has.
func (b *Body) Ended() bool {
	return b.err == io.EOF || (b.chunks == nil && !b.f.ToClose && b.left == 0)
}

// Trailer is what stood behind the last chunk, once the body has ended.
func (b *Body) Trailer() Fields { return b.trailer }

// UpTo reads so many bytes, or fewer if the body ends there. Memory grows with what comes, not with what was claimed.
func (b *Body) UpTo(n int) ([]byte, error) {
	if size := b.left; !b.chunked() && !b.f.ToClose && size <= small && size <= uint64(n) {
		p := make([]byte, size)
		_, err := io.ReadFull(b, p)
		return p, err
	}
	return io.ReadAll(io.LimitReader(b, int64(n)))
}

// small is up to how many bytes a body's memory is made before it has come.
const small = 4 << 10
