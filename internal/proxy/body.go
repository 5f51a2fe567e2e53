package proxy

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http/httputil"
	"net/textproto"
	"strings"
	"sync"
)

const (
	// maxStream bounds bodies and answers that go on as they come, in bytes.
	maxStream = 48 << 20
	block     = 32 << 10 // what is copied at once
)

var blocks = sync.Pool{New: func() any { return new([block]byte) }}

// framing says where a body ends (RFC 9112, section 6.3).
type framing struct {
	length  uint64
	chunked bool
	toClose bool // by the end of the connection, for answers only
}

// framingOf reads a message's framing. Two of them, or one that is not known, are errors: others might read another end.
func framingOf(h textproto.MIMEHeader) (f framing, some bool, err error) {
	te, cl := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(te) > 0 && len(cl) > 0, len(te) > 1, len(cl) > 1:
		return f, true, errFrame
	case len(te) == 1:
		if !strings.EqualFold(strings.TrimSpace(te[0]), "chunked") {
			return f, true, errFrame
		}
		return framing{chunked: true}, true, nil
	case len(cl) == 1:
		n, ok := digits(cl[0])
		switch {
		case !ok && (cl[0] == "" || strings.Trim(cl[0], "0123456789") != ""):
			return f, true, errFrame
		case !ok || n > maxStream:
			return f, true, errLarge
		}
		return framing{length: n}, true, nil
	}
	return f, false, nil
}

// bodyReader reads a message's body to its end and no byte further. Only a body that is certain to be complete ends with io.EOF.
type bodyReader struct {
	s      *stream
	f      framing
	left   uint64 // that may still come
	chunks io.Reader
	err    error
}

func (s *stream) reader(f framing) *bodyReader {
	b := &bodyReader{s: s, f: f, left: f.length}
	s.bound.N = math.MaxInt64 // bounded by what is left
	if f.chunked {
		b.chunks, b.left = httputil.NewChunkedReader(s.in), maxStream
	} else if f.toClose {
		b.left = maxStream
	}
	return b
}

func (b *bodyReader) Read(p []byte) (n int, err error) {
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
			b.s.bound.N = maxHead
			if err = b.s.trailer(); err == nil {
				err = io.EOF
			} else if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
		} else if broken := net.Error(nil); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &broken) {
			err = errFrame
		}
	case b.f.toClose:
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
		return int(b.left), errLarge
	}
	return n, err
}

func (b *bodyReader) chunked() bool { return b.chunks != nil }

// ended tells whether the whole body has been read. It may wait for the end that a frame has.
func (b *bodyReader) ended() bool {
	return b.err == io.EOF || (b.chunks == nil && !b.f.toClose && b.left == 0)
}

// upTo reads so many bytes, or fewer if the body ends there. Memory grows with what comes, not with what was claimed.
func (b *bodyReader) upTo(n int) ([]byte, error) { return io.ReadAll(io.LimitReader(b, int64(n))) }
