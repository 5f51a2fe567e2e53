package admincmd

import (
	"fmt"
	"strings"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenAnswers pins the answers of the line protocol.
func TestGoldenAnswers(t *testing.T) {
	var text strings.Builder
	for _, line := range []string{
		"status", "maint-on s-1", "maint-off s-9", "standby", "active", "", "maint-on", "maint-off", "maint-on a b",
		"status now", "standby now", "STATUS", "GET / HTTP/1.1", "drain", "maint-on \x00\xff",
	} {
		fmt.Fprintf(&text, "%q: %q\n", line, execute(make(recorder, 10), line+"\r\n"))
	}
	golden.Compare(t, "answers.txt", text.String())
}
