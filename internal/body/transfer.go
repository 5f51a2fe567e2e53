package body

import (
	"errors"
	"net"
	"os"
	"time"

	"olivearch/internal/http1"
)

const (
	// maxPartBytes and partTimeout limit a part of a body of known length: a part has the bytes that arrive within
	// partTimeout, at most maxPartBytes.
	maxPartBytes = 512 << 10
	partTimeout  = 50 * time.Millisecond
)

// expiredDeadline is a deadline in the past. It ends pending and future reads and writes.
var expiredDeadline = time.Unix(0, 1)

// errStopped is the error of a transfer that this process has ended before the end of the body.
var errStopped = errors.New("transfer of the body stopped before its end")

// forwardPart moves the bytes of a body of known length that arrive before the read deadline of the source, at most
// maxPartBytes. It returns io.EOF at the end of the body. A read that times out is not an error. A write that times out
// is one, since splice(2) loses the bytes that are then in its pipe.
func forwardPart(src *http1.Body, to net.Conn, limit http1.WriteLimit) (moved int64, err error) {
	writeDeadline := limit.StartPart(to)
	moved, err = src.Forward(to, maxPartBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(writeDeadline) {
		err = nil
	}
	return moved, err
}
