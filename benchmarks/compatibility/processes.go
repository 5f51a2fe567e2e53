package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"olivearch/internal/standin/scripted"
)

const (
	// pollInterval is the pause between two looks at something that is waited for.
	pollInterval = 20 * time.Millisecond
	// stepTimeout bounds each wait for something that a process does.
	stepTimeout = 20 * time.Second
	// stopTimeout is how long a process may take to end after SIGTERM, before it is killed.
	stopTimeout = 10 * time.Second
	// logTail is how many bytes of a process's log go into an error.
	logTail = 600
)

// errStillRunning is how a process ended that did not end in time and was killed.
var errStillRunning = errors.New("it did not end after SIGTERM and was killed")

// process is a started program.
type process struct {
	started *exec.Cmd
	logPath string
	ended   chan struct{} // closed once it has ended
	err     error         // how it ended; to be read once it has
	once    sync.Once
}

// start starts a program in a folder, with variables besides those of this process's environment. What it prints goes
// to a file there.
func start(folder string, variables []string, program string, arguments ...string) (*process, error) {
	log, err := os.CreateTemp(folder, filepath.Base(program)+"-*.log")
	if err != nil {
		return nil, fmt.Errorf("making a log: %w", err)
	}
	defer log.Close() // the process has a descriptor of its own
	running := &process{started: exec.Command(program, arguments...), logPath: log.Name(), ended: make(chan struct{})}
	running.started.Dir, running.started.Env = folder, append(os.Environ(), variables...)
	running.started.Stdout, running.started.Stderr = log, log
	if err := running.started.Start(); err != nil {
		return nil, fmt.Errorf("starting a process: %w", err)
	}
	go func() {
		running.err = running.started.Wait()
		close(running.ended)
	}()
	return running, nil
}

// stop ends the process by SIGTERM, or kills it if that takes too long, and waits for its end. The error is how it
// ended. A second call returns the same.
func (p *process) stop() error {
	p.once.Do(func() {
		_ = p.started.Process.Signal(syscall.SIGTERM) // fails if it has ended already: then err says how
		select {
		case <-p.ended:
		case <-time.After(stopTimeout):
			_ = p.started.Process.Kill() // as above
			<-p.ended
			p.err = errStillRunning
		}
	})
	if p.err != nil {
		return fmt.Errorf("stopping a process: %w; its log ends with: %s", p.err, p.tail())
	}
	return nil
}

// tail is the end of what the process has printed.
func (p *process) tail() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(text[max(0, len(text)-logTail):]))
}

// poll calls attempt until it returns no error. When the time is over it returns the last error that attempt gave
// before: one of an attempt that was cut short says nothing.
func poll(ctx context.Context, what string, attempt func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var last error
	for {
		err := attempt(ctx)
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not in time: %w", what, last)
		case <-time.After(pollInterval):
		}
	}
}

// freeAddress returns a loopback address with a port from the system, on which nothing listens.
func freeAddress() (string, error) {
	address, _, err := scripted.Reserve() // for as long as this process lives
	return address, err
}
