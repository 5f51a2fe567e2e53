package loglimit

import (
	"testing"
	"time"
)

// TestLimitCountsSuppressedLines: overload logs maxLines of a kind in an interval, and counts the others.
func TestLimitCountsSuppressedLines(t *testing.T) {
	const left = 5
	var limit Limit
	admitted := 0
	for range maxLines + left {
		if _, ok := limit.Admit(time.Millisecond); ok {
			admitted++
		}
	}
	want(t, "lines in the first second", admitted, maxLines)
	suppressed, ok := limit.Admit(time.Millisecond + interval)
	want(t, "a line a second later is admitted", ok, true)
	want(t, "suppressed lines", suppressed, left)
}

// want reports an error if a value differs from the wanted one.
func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
