package http1

import (
	"cmp"
	"errors"
	"io"
	"math"
	"net"
	"net/http/httputil"
)

// preallocated is the length in bytes of the longest body that ReadUpTo reserves memory for before it has come.
const preallocated = 4 << 10

// Body reads a message's body to its end and no byte further. Only a body that is certain to be complete ends with
// io.EOF. One goroutine at a time uses it, and nothing else reads its Stream until it has ended.
type Body struct {
	stream    *Stream
	framing   Framing
	remaining uint64    // bytes that may still come
	chunks    io.Reader // decodes a chunked body; nil for the others
	err       error     // what ended it

	trailer Fields
}

// Body returns the reader of a message's body, whose head has been read. One whose length is not known may have up to
// most bytes; a longer one ends with ErrBodyTooLarge.
func (s *Stream) Body(f Framing, most int64) *Body {
	b := &Body{stream: s, framing: f, remaining: f.Length}
	s.bound.N = math.MaxInt64 // bounded by what remains of the body
	switch {
	case f.Chunked:
		b.chunks = httputil.NewChunkedReader(s.in)
		b.remaining = uint64(most)
	case f.UntilClose:
		b.remaining = uint64(most)
	}
	return b
}

// Read implements io.Reader. A body that is cut short ends with io.ErrUnexpectedEOF, one with malformed chunks or a
// forbidden trailer with ErrFraming.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(p)
	b.remaining -= uint64(n)
	b.err = err
	return n, err
}

// read reads what comes next by the body's framing, and no more than may still come.
func (b *Body) read(p []byte) (n int, err error) {
	switch {
	case b.chunked():
		n, err = b.readChunks(p)
	case b.framing.UntilClose:
		n, err = b.stream.in.Read(p)
	case b.remaining == 0:
		return 0, io.EOF
	default:
		n, err = b.stream.in.Read(p[:min(uint64(len(p)), b.remaining)])
		err = cutShort(err)
	}
	if uint64(n) > b.remaining {
		return int(b.remaining), ErrBodyTooLarge
	}
	return n, err
}

// readChunks reads from a chunked body. Its last chunk is followed by the trailer (RFC 9112, section 7.1.2).
func (b *Body) readChunks(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, b.readTrailer()
	case errors.Is(err, io.ErrUnexpectedEOF) || isNetworkError(err):
		return n, err
	default:
		return n, ErrFraming
	}
}

// readTrailer reads the trailer and returns io.EOF: the body is complete.
func (b *Body) readTrailer() (err error) {
	b.stream.bound.N = MaxHead
	if b.trailer, err = b.stream.trailer(); err != nil {
		return cutShort(err)
	}
	return io.EOF
}

// cutShort turns an end of the connection in the middle of a body into io.ErrUnexpectedEOF.
func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isNetworkError(err error) bool {
	var networkErr net.Error
	return errors.As(err, &networkErr)
}

func (b *Body) chunked() bool { return b.chunks != nil }

func (b *Body) hasKnownLength() bool { return !b.chunked() && !b.framing.UntilClose }

// Wait returns when the next byte of a body of known length has come, and takes none; io.EOF: there is none.
func (b *Body) Wait() error {
	if b.remaining == 0 || b.err != nil {
		return cmp.Or(b.err, io.EOF)
	}
	return cutShort(b.stream.Wait())
}

// Forward moves up to most bytes of a body of known length to a connection, from socket to socket where the system can
// (splice(2)). It returns io.EOF once the body has ended. It obeys the deadlines that both connections have.
func (b *Body) Forward(to net.Conn, most int64) (int64, error) {
	if b.err != nil {
		return 0, b.err
	}
	moved, err := b.moveTo(to, min(most, int64(b.remaining)))
	b.remaining -= uint64(moved)
	if err == nil && b.remaining == 0 {
		err = io.EOF
	}
	return moved, err
}

// moveTo moves count bytes: first those in the read buffer, then the rest from the connection itself.
func (b *Body) moveTo(to net.Conn, count int64) (moved int64, err error) {
	if ready := int64(b.stream.Buffered()); ready > 0 {
		buffered, _ := b.stream.in.Peek(int(min(ready, count))) // can't fail: they are in the buffer
		written, err := to.Write(buffered)
		_, _ = b.stream.in.Discard(written) // can't fail either
		moved = int64(written)
		if err != nil || moved == count {
			return moved, err
		}
	}
	copied, err := io.Copy(Under(to), io.LimitReader(Under(b.stream.Conn), count-moved))
	moved += copied
	if err == nil && moved < count {
		err = io.ErrUnexpectedEOF
	}
	return moved, err
}

// Ended tells whether the whole body has been read. One of unknown length has ended once Read has returned io.EOF.
func (b *Body) Ended() bool {
	return errors.Is(b.err, io.EOF) || (b.hasKnownLength() && b.remaining == 0)
}

// Trailer returns the fields behind the last chunk, once the body has ended.
func (b *Body) Trailer() Fields { return b.trailer }

// ReadUpTo reads limit bytes, or fewer if the body ends there. Memory grows with what comes, not with what was claimed.
func (b *Body) ReadUpTo(limit int) ([]byte, error) {
	size := b.remaining
	if b.hasKnownLength() && size <= preallocated && size <= uint64(limit) {
		content := make([]byte, size)
		_, err := io.ReadFull(b, content)
		return content, err
	}
	return io.ReadAll(io.LimitReader(b, int64(limit)))
}
