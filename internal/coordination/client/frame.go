package client

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// MaxFrame bounds a frame's body, in bytes. A snapshot of the largest state fits with room to spare.
const MaxFrame = 32 << 20

// A frame's header: the body's length and its CRC-32C, four bytes each.
const (
	headerSize     = 8
	checksumOffset = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrMalformedFrame is wrapped by errors about frames that are too long or have a wrong checksum. The sender of such a
// frame is usually neither a server nor a client of one.
var ErrMalformedFrame = errors.New("not a frame of the ledger's")

// WriteFrame writes a frame with one call of Write: a header with the body's length and CRC-32C (RFC 9260, appendix A),
// both big-endian, and the body. The error wraps ErrMalformedFrame if the body exceeds MaxFrame, and is the writer's
// otherwise.
func WriteFrame(w io.Writer, body []byte) error {
	if len(body) > MaxFrame {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrMalformedFrame, len(body), MaxFrame)
	}
	frame := make([]byte, headerSize, headerSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	binary.BigEndian.PutUint32(frame[checksumOffset:], crc32.Checksum(body, castagnoli))
	_, err := w.Write(append(frame, body...))
	return err
}

// ReadFrame reads a frame and returns its body, of at most limit bytes. The error wraps ErrMalformedFrame if the body
// is longer or the checksum is wrong, and is the reader's otherwise.
func ReadFrame(r io.Reader, limit int) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if int64(length) > int64(limit) {
		return nil, fmt.Errorf("%w: it says that %d bytes follow, at most %d may",
			ErrMalformedFrame, length, limit)
	}
	// ReadAll grows its buffer as bytes arrive, so that a header alone cannot cause a large allocation.
	body, err := io.ReadAll(io.LimitReader(r, int64(length)))
	if err == nil && len(body) < int(length) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[checksumOffset:]) {
		return nil, fmt.Errorf("%w: its checksum differs", ErrMalformedFrame)
	}
	return body, nil
}
