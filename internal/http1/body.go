package http1

import (
	"cmp"
	"errors"
	"io"
	"math"
	"net"
	"net/http/httputil"
)

// maxPreallocated is the length in bytes of the longest body for which ReadUpTo allocates memory before it is received.
const maxPreallocated = 4 << 10

// Body reads the body of a message and no byte beyond its end. It returns io.EOF only if the body is certain to be
// complete. It is used by one goroutine at a time, and nothing else reads its Stream until the body has ended.
type Body struct {
	stream    *Stream
	framing   Framing
	remaining uint64    // bytes that may still be read
	chunks    io.Reader // decodes a chunked body; nil for other framings
	err       error     // that ended the body

	trailer Fields
}

// Body returns the reader of the body of a message whose head has been read. A body of unknown length may have up to
// maxBytes bytes; reading a longer one fails with ErrBodyTooLarge.
func (s *Stream) Body(f Framing, maxBytes int64) *Body {
	b := &Body{stream: s, framing: f, remaining: f.Length}
	s.limited.N = math.MaxInt64 // Body.remaining is the limit
	switch {
	case f.Chunked:
		b.chunks = httputil.NewChunkedReader(s.reader)
		b.remaining = uint64(maxBytes)
	case f.UntilClose:
		b.remaining = uint64(maxBytes)
	}
	return b
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF for a truncated body, and ErrFraming for malformed chunks
// or a forbidden trailer field.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(p)
	b.remaining -= uint64(n)
	b.err = err
	return n, err
}

// read reads from the body according to its framing, at most the remaining bytes.
func (b *Body) read(p []byte) (n int, err error) {
	switch {
	case b.chunked():
		n, err = b.readChunks(p)
	case b.framing.UntilClose:
		n, err = b.stream.reader.Read(p)
	case b.remaining == 0:
		return 0, io.EOF
	default:
		n, err = b.stream.reader.Read(p[:min(uint64(len(p)), b.remaining)])
		err = unexpectedEOF(err)
	}
	if uint64(n) > b.remaining {
		return int(b.remaining), ErrBodyTooLarge
	}
	return n, err
}

// readChunks reads from a chunked body, and its trailer after the last chunk (RFC 9112, section 7.1.2).
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

// readTrailer reads the trailer. It returns io.EOF if the body is complete.
func (b *Body) readTrailer() (err error) {
	b.stream.limited.N = MaxHead
	if b.trailer, err = b.stream.trailer(); err != nil {
		return unexpectedEOF(err)
	}
	return io.EOF
}

// unexpectedEOF replaces io.EOF, the end of the connection in the middle of a body, with io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
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

// Wait waits for the next byte of a body of known length without consuming it. It returns io.EOF at the body's end.
func (b *Body) Wait() error {
	if b.remaining == 0 || b.err != nil {
		return cmp.Or(b.err, io.EOF)
	}
	return unexpectedEOF(b.stream.Wait())
}

// HasArrived reports whether a byte of a body of known length has arrived that was not read. It does not wait.
func (b *Body) HasArrived() bool {
	if b.remaining == 0 || b.err != nil {
		return false
	}
	return b.stream.Buffered() > 0 || Peek(b.stream).HasUnread()
}

// BytesToArrive returns how many bytes of a body of known length neither were read nor are in the Stream's buffer.
func (b *Body) BytesToArrive() uint64 {
	return b.remaining - min(b.remaining, uint64(b.stream.Buffered()))
}

// Forward moves up to maxBytes bytes of a body of known length to a connection, from socket to socket where the system
// supports it (splice(2)). It returns io.EOF once the body has ended. The deadlines of both connections apply.
func (b *Body) Forward(to net.Conn, maxBytes int64) (int64, error) {
	if b.err != nil {
		return 0, b.err
	}
	moved, err := b.moveTo(to, min(maxBytes, int64(b.remaining)))
	b.remaining -= uint64(moved)
	if err == nil && b.remaining == 0 {
		err = io.EOF
	}
	return moved, err
}

// moveTo moves count bytes, first those in the read buffer, then the others directly from the connection.
func (b *Body) moveTo(to net.Conn, count int64) (moved int64, err error) {
	if ready := int64(b.stream.Buffered()); ready > 0 {
		buffered, _ := b.stream.reader.Peek(int(min(ready, count))) // can't fail: the bytes are in the buffer
		written, err := to.Write(buffered)
		_, _ = b.stream.reader.Discard(written) // can't fail either
		moved = int64(written)
		if err != nil || moved == count {
			return moved, err
		}
	}
	copied, err := io.Copy(Innermost(to), io.LimitReader(Innermost(b.stream.Conn), count-moved))
	moved += copied
	if err == nil && moved < count {
		err = io.ErrUnexpectedEOF
	}
	return moved, err
}

// Ended reports whether the whole body has been read. A body of unknown length has ended once Read has returned io.EOF.
func (b *Body) Ended() bool {
	return errors.Is(b.err, io.EOF) || (b.hasKnownLength() && b.remaining == 0)
}

// Trailer returns the trailer fields of a chunked body that has ended.
func (b *Body) Trailer() Fields { return b.trailer }

// ReadUpTo reads up to limit bytes, fewer only if the body ends before. Above maxPreallocated, its memory grows with
// the bytes received and not with the announced length.
func (b *Body) ReadUpTo(limit int) ([]byte, error) {
	size := b.remaining
	if b.hasKnownLength() && size <= maxPreallocated && size <= uint64(limit) {
		content := make([]byte, size)
		_, err := io.ReadFull(b, content)
		return content, err
	}
	return io.ReadAll(io.LimitReader(b, int64(limit)))
}
