// Package ledger is how processes talk to the ledger's voters: the frames and messages on a connection, a Caller that asks for promises
// and readings, and a Copy that follows what is held, for those who serve by it. It decides nothing and keeps nothing but the copy.
package client

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// MaxFrame bounds a frame's body, in bytes: a snapshot of all that a ledger may hold, with room.
const MaxFrame = 32 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrFrame is wrapped by errors about bytes that are no frame: whoever sends them is no voter and no client of one.
var ErrFrame = errors.New("not a frame of the ledger's")

// WriteFrame writes a body with its head: length and CRC-32C (RFC 9260, appendix A), four bytes each, the highest first. It is one Write.
func WriteFrame(w io.Writer, body []byte) error {
	if len(body) > MaxFrame {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrFrame, len(body), MaxFrame)
	}
	b := make([]byte, 8, 8+len(body))
	binary.BigEndian.PutUint32(b, uint32(len(body)))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(body, castagnoli))
	_, err := w.Write(append(b, body...))
	return err
}

// ReadFrame reads a body of at most so many bytes.
func ReadFrame(r io.Reader, most int) ([]byte, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if int64(n) > int64(most) {
		return nil, fmt.Errorf("%w: it says that %d bytes follow, at most %d may", ErrFrame, n, most)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n))) // grows as bytes come: a head alone must not cost memory
	if err == nil && len(body) < int(n) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, fmt.Errorf("%w: its checksum differs", ErrFrame)
	}
	return body, nil
}
