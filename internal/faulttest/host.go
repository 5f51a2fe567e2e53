package faulttest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"olivearch/internal/faulttest/process"
	"olivearch/internal/faulttest/relay"
)

// host is a machine with one process of the program under its name, and those that follow it there.
type host struct {
	*world
	name    string
	address string // where it listens
	folder  string // its disk
	service *relay.Service
	command func(life int) (*exec.Cmd, error) // makes ready what a process finds on its disk, and says how to start it
	healthy func() bool                       // asks the process itself, not through the relay
	died    func(at int64)
	excused func(failure error) bool // it may end by itself like this
	excuse  func() (end func())      // for what becomes of clients from now on
	hold    func() (end func())      // of what it is told from now on

	mu      sync.Mutex
	process *process.Process
	life    int  // how many processes have been started
	wanted  bool // it should run
	started bool // it has been ready

	starting sync.Mutex // held while a process is being started
}

// readyIn bounds how long a process may take until it is ready; hundreds that start at once on few cores take long.
const readyIn = 60 * time.Second

// newHost gives a machine its address, as that of a caller of the relay, and its service there.
func (w *world) newHost(name string, caller int) (*host, error) {
	h := &host{
		world: w, name: name, folder: filepath.Join(w.folder, name), died: func(int64) {}, excused: func(error) bool { return false },
		excuse: func() func() { return func() {} }, hold: func() func() { return func() {} },
	}
	if err := os.RemoveAll(h.folder); err != nil { // of an earlier play
		return nil, err
	}
	at, release, err := relay.Reserve(caller)
	if err != nil {
		return nil, err
	}
	w.atEnd(release)
	h.address = at.String()
	h.service, err = w.relay.Serve(name)
	return h, err
}

// start starts a process and returns once it is ready, or has ended, or the ground does.
func (h *host) start(ctx context.Context) error {
	h.starting.Lock()
	defer h.starting.Unlock()
	if h.running() != nil { // two faults have ended at once
		return nil
	}
	h.mu.Lock()
	h.life++
	life := h.life
	h.wanted, h.started = true, false
	h.mu.Unlock()
	cmd, err := h.command(life)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.world.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close() // the process has it by then
	cmd.Stdout, cmd.Stderr = log, log
	p, err := h.group.Start(cmd)
	if err != nil {
		return fmt.Errorf("%s: %w", h.name, err)
	}
	h.mu.Lock()
	h.process = p
	h.mu.Unlock()
	go h.watch(p)
	for end := time.Now().Add(readyIn); ; {
		if h.healthy() {
			h.mu.Lock()
			h.started = true
			h.mu.Unlock()
			return h.service.Point(h.address)
		}
		select {
		case <-p.Ended():
			if p.Failure() == nil || h.excused(p.Failure()) { // a fault has ended it
				return nil
			}
			return fmt.Errorf("%s ended before it was ready: %v; %s", h.name, p.Failure(), h.lastWords())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(askHealth):
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready after %v; %s", h.name, readyIn, h.lastWords())
		}
	}
}

// environment is what a process is told beside its files.
func (h *host) environment(temporary string) []string {
	return []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + temporary, clockVariable + "=" + h.folder + clockFile, diskVariable + "=" + h.folder + diskFile}
}

// askHealth is how often a process that starts is asked whether it is ready.
const askHealth = 10 * time.Millisecond

// watch notes the end of a process.
func (h *host) watch(p *process.Process) {
	<-p.Ended()
	h.mu.Lock()
	current := h.process == p
	h.mu.Unlock()
	if current {
		h.service.Point("") // from now on connections to it are refused
		h.died(p.EndedAt())
	}
	if failure := p.Failure(); failure != nil && !h.excused(failure) {
		h.crashed(fmt.Sprintf("%s ended by itself: %v; %s", h.name, failure, h.lastWords()))
	}
}

// running is the process, if there is one that should run.
func (h *host) running() *process.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.wanted || h.process == nil || h.process.EndedAt() > 0 {
		return nil
	}
	return h.process
}

// ready tells whether its process is up and serves.
func (h *host) ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started && h.process != nil && h.process.EndedAt() == 0
}

// kill ends the process at once, and returns once nothing of it is left.
func (h *host) kill() bool {
	p := h.running()
	if p == nil {
		return false
	}
	h.mu.Lock()
	h.wanted = false
	h.mu.Unlock()
	p.Kill()
	<-p.Ended()
	return true
}

// lastWordsMost bounds how much of a log is told.
const lastWordsMost = 600

// lastWords is the end of its log.
func (h *host) lastWords() string {
	text, err := os.ReadFile(filepath.Join(h.world.folder, h.name+".log"))
	if err != nil {
		return err.Error()
	}
	return "its log ends: " + string(text[max(0, len(text)-lastWordsMost):])
}
