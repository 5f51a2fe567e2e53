package body

import (
	"errors"
	"net"
	"os"
	"time"

	"olivearch/internal/http1"
)

const (
	// maxPart and partTimeout bound a part of a body of known length: it has as many bytes as come within partTimeout,
	// up to maxPart.
	maxPart     = 512 << 10
	partTimeout = 50 * time.Millisecond
)

// expired is a deadline in the past: it ends reads and writes that wait, and those to come.
var expired = time.Unix(0, 1)

// errStopped says that one side has ended a body that the other may still have wanted.
var errStopped = errors.New("the body is not wanted any more")

// forwardPart moves what comes of a body of known length before the source's read deadline, and up to maxPart. It
// returns io.EOF at the body's end. Bytes that a write has timed out on are lost in the system's pipe, so only a read
// that times out is no error.
func forwardPart(src *http1.Body, to net.Conn, writeTimeout time.Duration) (moved int64, err error) {
	writeDeadline := time.Now().Add(writeTimeout)
	_ = to.SetWriteDeadline(writeDeadline) // fails on a closed connection, as the write does then
	moved, err = src.Forward(to, maxPart)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(writeDeadline) {
		err = nil
	}
	return moved, err
}
