package admincmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// log is an Operator that notes what it is asked.
type log chan string

func (l log) Status() error { return errors.New("two\r\nlines") }
func (l log) TakeOutOfService(id string) (string, error) {
	l <- "out " + id
	return "held by 3 of 5", nil
}

func (l log) ReturnToService(id string) (string, error) {
	return "", fmt.Errorf("there is no upstream %q", id)
}
func (l log) Standby() error { l <- "standby"; return nil }
func (l log) Active() error  { l <- "active"; return nil }

func TestCarry(t *testing.T) {
	l := make(log, 10)
	for line, want := range map[string]string{
		"standby\n":          "+OK",
		"active\r\n":         "+OK",
		"maint-on s-1\n":     "+OK held by 3 of 5",
		"maint-off s-9\n":    `-ERR there is no upstream "s-9"`,
		"status\n":           "-ERR two lines",
		"\n":                 "-ERR no call",
		"maint-on\n":         "-ERR maint-on wants ID",
		"maint-on a b\n":     `-ERR maint-on: "b" is too much`,
		"status now\n":       `-ERR status: "now" is too much`,
		"STATUS\n":           `-ERR there is no call "STATUS"`,
		"GET / HTTP/1.1\r\n": `-ERR there is no call "GET"`,
	} {
		if got := Execute(l, line); got != want {
			t.Errorf("%q: %q, want %q", line, got, want)
		}
	}
	if len(l) != 3 {
		t.Errorf("%d calls carried out, want 3", len(l))
	}
}

func FuzzCarry(f *testing.F) {
	f.Add("maint-on s-1\r\n")
	f.Add("status\x00 \xff")
	f.Fuzz(func(t *testing.T, line string) {
		got := Execute(make(log, 1), line)
		if (!strings.HasPrefix(got, "+OK") && !strings.HasPrefix(got, "-ERR ")) || strings.ContainsAny(got, "\r\n") {
			t.Errorf("%q: %q", line, got)
		}
	})
}

// TestSilentCallersMakeRoom: callers that say nothing, or half a call, fill all places; one that speaks is answered at once.
func TestSilentCallersMakeRoom(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- Serve(ctx, l, make(log, 10)) }()
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		return c
	}
	var first net.Conn
	for i := range maxCallers {
		c := dial([]string{"", "stand"}[i%2])
		if i == 0 {
			first = c
		}
	}
	start := time.Now()
	for range 3 {
		c := dial("standby\r\n")
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if text, err := io.ReadAll(c); string(text) != "+OK\r\n" || err != nil {
			t.Errorf("%q, %v", text, err)
		}
	}
	if took := time.Since(start); took > callWithin/2 {
		t.Errorf("answered after %v: it waited for the silent ones", took)
	}
	first.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := first.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the one that was silent for longest: %v, want it closed", err)
	}
	long := dial(strings.Repeat("x", maxLine))
	if text, _ := io.ReadAll(long); string(text) != "-ERR the call is too long\r\n" {
		t.Errorf("a long line: %q", text)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
