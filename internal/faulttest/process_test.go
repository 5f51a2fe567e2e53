package faulttest

import (
	"bytes"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

// child is a process that a test has started.
type child struct {
	cmd   *exec.Cmd
	out   *locked
	ended chan struct{}
}

// locked is what a process has written.
type locked struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *locked) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// started starts a program, which ends with the test at the latest.
func started(t *testing.T, program string, args ...string) *child {
	t.Helper()
	x := &child{cmd: exec.Command(program, args...), out: &locked{}, ended: make(chan struct{})}
	x.cmd.Stdout, x.cmd.Stderr = x.out, x.out
	if err := x.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { x.cmd.Wait(); close(x.ended) }()
	t.Cleanup(x.kill)
	return x
}

func (x *child) kill() {
	x.cmd.Process.Kill()
	<-x.ended
}

// endsWith waits for the process to end by itself, and tells whether it has said something.
func (x *child) endsWith(t *testing.T, said string) bool {
	t.Helper()
	select {
	case <-x.ended:
	case <-time.After(20 * time.Second):
		t.Errorf("it has not ended: %s", x.out)
		return false
	}
	if !strings.Contains(x.out.String(), said) {
		t.Errorf("it has said %s, and not %q", x.out, said)
		return false
	}
	return true
}
