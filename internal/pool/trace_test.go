package pool

import (
	"testing"
	"time"
)

// TestTraceLimitCountsSuppressedLines: overload logs maxTraceLines of a kind in a second, and counts the others.
func TestTraceLimitCountsSuppressedLines(t *testing.T) {
	const left = 7
	var limit traceLimit
	admitted := 0
	for range maxTraceLines + left {
		if _, ok := limit.admit(time.Millisecond); ok {
			admitted++
		}
	}
	want(t, "lines in the first second", admitted, maxTraceLines)
	suppressed, ok := limit.admit(time.Millisecond + traceInterval)
	want(t, "a line in the next second", ok, true)
	want(t, "suppressed", suppressed, left)
}
