package faulttest

import (
	"encoding/gob"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/process"
	"olivearch/internal/standin/fleetsim"
)

// standin is a process of stand-ins with its pipes.
type standin struct {
	process *process.Process
	mu      sync.Mutex
	in      io.WriteCloser
	orders  *gob.Encoder
	read    chan struct{} // closed when all that it told has been read
}

// summon starts a process of stand-ins.
func (w *world) summon(name string, s fleetsim.Spec, each func(event.Event)) (*standin, error) {
	cmd := exec.Command(w.self[0], w.self[1:]...)
	cmd.Env = append(os.Environ(), w.selfEnv...)
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stderr = log
	in, toIt, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer in.Close()
	fromIt, out, err := os.Pipe()
	if err != nil {
		toIt.Close()
		return nil, err
	}
	defer out.Close()
	cmd.Stdin, cmd.Stdout = in, out
	p, err := w.group.Start(cmd)
	if err != nil {
		toIt.Close()
		fromIt.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	x := &standin{process: p, in: toIt, orders: gob.NewEncoder(toIt), read: make(chan struct{})}
	go func() {
		defer close(x.read)
		defer fromIt.Close()
		if err := event.Read(fromIt, each); err != nil && !w.ending() {
			w.fail(fmt.Errorf("%s: %w", name, err))
		}
	}()
	if err := x.orders.Encode(s); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return x, nil
}

// order tells the stand-ins what to do.
func (x *standin) order(c fleetsim.Command) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.orders.Encode(c)
}

// dismiss lets the process end and waits until all that it told has been read.
func (x *standin) dismiss() {
	x.in.Close()
	<-x.process.Ended()
	<-x.read
}
