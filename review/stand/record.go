//go:build review

// Package stand has the stand-ins of the review's cases: upstreams, discovery, clients and the platform that starts the
// project's own programs. They keep to PROTOCOL and DEPLOY and use the standard library alone.
package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file record.txt of a case: one line for each thing that was sent, answered or run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Line writes a line with the seconds since the start before it.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the file and to standard output.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Line(format, args...)
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }
