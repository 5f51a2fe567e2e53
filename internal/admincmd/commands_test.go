package admincmd

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// recorder is a Handler that records the commands that reach it and succeed.
type recorder chan string

func (r recorder) Status() error { return errors.New("two\r\nlines") }

func (r recorder) TakeOutOfService(id string) (string, error) {
	r <- "out " + id
	return "held by 3 of 5", nil
}

func (r recorder) ReturnToService(id string) (string, error) {
	return "", fmt.Errorf("there is no upstream %q", id)
}

func (r recorder) Standby() error {
	r <- "standby"
	return nil
}

func (r recorder) Active() error {
	r <- "active"
	return nil
}

func TestExecute(t *testing.T) {
	for _, test := range []struct {
		line, answer string
		executed     []string
	}{
		{"standby\n", "+OK", []string{"standby"}},
		{"active\r\n", "+OK", []string{"active"}},
		{"maint-on s-1\n", "+OK held by 3 of 5", []string{"out s-1"}},
		{"maint-off s-9\n", `-ERR there is no upstream "s-9"`, nil},
		{"status\n", "-ERR two lines", nil},
		{"\n", "-ERR no call", nil},
		{"maint-on\n", "-ERR maint-on wants ID", nil},
		{"maint-on a b\n", `-ERR maint-on: "b" is too much`, nil},
		{"status now\n", `-ERR status: "now" is too much`, nil},
		{"STATUS\n", `-ERR there is no call "STATUS"`, nil},
		{"GET / HTTP/1.1\r\n", `-ERR there is no call "GET"`, nil},
	} {
		t.Run(strings.TrimSpace(test.line), func(t *testing.T) {
			handler := make(recorder, 10)
			if got := execute(handler, test.line); got != test.answer {
				t.Errorf("answered %q, want %q", got, test.answer)
			}
			close(handler)
			var executed []string
			for command := range handler {
				executed = append(executed, command)
			}
			if !slices.Equal(executed, test.executed) {
				t.Errorf("executed %q, want %q", executed, test.executed)
			}
		})
	}
}

func FuzzExecute(f *testing.F) {
	f.Add("maint-on s-1\r\n")
	f.Add("status\x00 \xff")
	f.Fuzz(func(t *testing.T, line string) {
		got := execute(make(recorder, 1), line)
		isAnswer := strings.HasPrefix(got, "+OK") || strings.HasPrefix(got, "-ERR ")
		if !isAnswer || strings.ContainsAny(got, "\r\n") {
			t.Errorf("%q: %q", line, got)
		}
	})
}
