// Package proc starts processes and does to them what a ground's faults say: kill, stop, resume. It touches none that it has not
// started, and none outlives it: a process that it starts is ended by the system when the ground's own ends, however that does.
package process

import (
	"errors"
	"fmt"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"olivearch/internal/faulttest/event"
)

// Group starts processes and ends all of them.
type Group struct {
	starts chan start
	mu     sync.Mutex
	all    map[*Process]bool
	closed bool
}

type start struct {
	cmd  *exec.Cmd
	done chan error
}

// NewGroup returns a Group without processes.
func NewGroup() *Group {
	g := &Group{starts: make(chan start), all: map[*Process]bool{}}
	go func() {
		// The system ends a child when the thread ends that started it (PR_SET_PDEATHSIG, prctl(2)): this one lives as long as
		// the process.
		runtime.LockOSThread()
		for s := range g.starts {
			s.done <- s.cmd.Start()
		}
	}()
	return g
}

// Process is one that runs or has run.
type Process struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	err     error // of Wait
	mu      sync.Mutex
	endedAt int64
	killed  bool // by Kill
	asked   bool // to end, by Terminate
}

// Start starts a command. Its standard streams are the caller's to set.
func (g *Group) Start(cmd *exec.Cmd) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, errors.New("the ground has ended")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s := start{cmd, make(chan error)}
	g.starts <- s
	if err := <-s.done; err != nil {
		return nil, fmt.Errorf("starting %s: %w", cmd.Path, err)
	}
	p := &Process{cmd: cmd, ended: make(chan struct{})}
	g.all[p] = true
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err, p.endedAt = err, event.Now()
		p.mu.Unlock()
		g.mu.Lock()
		delete(g.all, p)
		g.mu.Unlock()
		close(p.ended)
	}()
	return p, nil
}

// Close kills what still runs and waits for it.
func (g *Group) Close() {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.closed = true
	close(g.starts)
	var all []*Process
	for p := range g.all {
		all = append(all, p)
	}
	g.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
	for _, p := range all {
		<-p.ended
	}
}

// ID is the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Ended is closed once the process has ended and nothing of it is left.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// EndedAt is when the end was seen, on the monotonic clock; 0: it runs.
func (p *Process) EndedAt() int64 { p.mu.Lock(); defer p.mu.Unlock(); return p.endedAt }

// Failure says how it ended by itself: without being told to by Kill or Terminate, or told by Terminate with another exit status
// than 0; nil: it did not.
func (p *Process) Failure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.killed || p.endedAt == 0:
		return nil
	case p.err == nil && !p.asked:
		return errors.New("it ended although nobody told it to")
	}
	return p.err
}

// signal reaches the process itself and never another one of the same number: it is sent before the process is waited for.
func (p *Process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends it at once (SIGKILL), also if it is stopped.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = p.killed || p.endedAt == 0
	p.mu.Unlock()
	p.signal(syscall.SIGKILL) // fails only if it has ended
}

// Terminate asks it to end in good order (SIGTERM).
func (p *Process) Terminate() error {
	p.mu.Lock()
	p.asked = true
	p.mu.Unlock()
	return p.signal(syscall.SIGTERM)
}

// Stop makes it stand still (SIGSTOP) until Continue.
func (p *Process) Stop() error { return p.signal(syscall.SIGSTOP) }

// Continue lets it go on (SIGCONT).
func (p *Process) Continue() error { return p.signal(syscall.SIGCONT) }

// Await waits for the end, and tells whether it came in time.
func (p *Process) Await(most time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(most):
		return false
	}
}
