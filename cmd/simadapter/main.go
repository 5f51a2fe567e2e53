// Command simadapter runs instances of the decision module for the simulator. It reads events from standard input,
// passes them to the instances, and writes their actions to standard output. It makes no balancing decisions.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"olivearch/balancer"
	"olivearch/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run reads batches and replies to each, until the end of input.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	sim := &adapter{writer: wire.NewWriter(out), instances: map[int]*balancer.Balancer{}}
	var batch wire.Batch
	for {
		err := reader.Next(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			sim.deliver(batch.At, &batch.Events[i])
		}
		if err := sim.writer.EndReply(batch.Serial); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// adapter runs the instances that the simulator has started.
type adapter struct {
	writer    *wire.Writer
	instances map[int]*balancer.Balancer
}

// deliver passes an event to its instance. If the instance panics, the simulator is told and the instance removed.
func (a *adapter) deliver(now time.Duration, event *wire.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			wire.NewInstanceWriter(a.writer, event.Instance).Crash(fmt.Sprint(cause))
			delete(a.instances, event.Instance)
		}
	}()
	if event.Kind == wire.InstanceStarted {
		a.start(now, event)
		return
	}
	if instance := a.instances[event.Instance]; instance != nil {
		a.dispatch(now, instance, event)
	}
}

// start starts an instance, which replaces any running one of the same number.
func (a *adapter) start(now time.Duration, event *wire.Event) {
	host := wire.NewInstanceWriter(a.writer, event.Instance)
	instance, err := balancer.New(event.Settings, event.Seed, now, host)
	if err != nil {
		host.Crash(err.Error())
		return
	}
	a.instances[event.Instance] = instance
}

// dispatch calls the method of a running instance that handles the event.
func (a *adapter) dispatch(now time.Duration, instance *balancer.Balancer, event *wire.Event) {
	switch event.Kind {
	case wire.InstanceStopped:
		delete(a.instances, event.Instance)
	case wire.EndpointsUpdated:
		instance.EndpointsUpdated(now, event.ListMode, event.Endpoints)
	case wire.RequestArrived:
		instance.RequestArrived(now, event.Request)
	case wire.ResponseStarted:
		instance.ResponseStarted(now, event.Attempt.ID, event.Attempt.Attempt)
	case wire.AttemptFinished:
		instance.AttemptFinished(now, event.Attempt)
	case wire.ClientLeft:
		instance.ClientLeft(now, event.Request.ID)
	case wire.TimerFired:
		instance.TimerFired(now, event.TimerToken)
	case wire.HealthCheckFinished:
		instance.HealthCheckFinished(now, event.HealthCheck)
	}
}
