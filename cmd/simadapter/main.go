// Command simadapter hosts instances of the decision module on the simulator's
// wire, on standard input and output. It translates and decides nothing.
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

// run answers batches until the end of input.
func run(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), wire.NewWriter(out)
	instances := map[int]*balancer.Balancer{}
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
			deliver(instances, writer, batch.At, &batch.Events[i])
		}
		if err := writer.Done(batch.Serial); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// deliver hands one event to its instance; a panic ends the day with its text.
func deliver(instances map[int]*balancer.Balancer, w *wire.Writer, now time.Duration, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			wire.NewPort(w, e.Instance).Crash(fmt.Sprint(p))
			delete(instances, e.Instance)
		}
	}()
	if e.Kind == wire.InstanceStarted {
		port := wire.NewPort(w, e.Instance)
		b, err := balancer.New(e.Settings, e.Seed, now, port)
		if err != nil {
			port.Crash(err.Error())
			return
		}
		instances[e.Instance] = b
		return
	}
	b := instances[e.Instance]
	if b == nil {
		return
	}
	switch e.Kind {
	case wire.InstanceStopped:
		delete(instances, e.Instance)
	case wire.EndpointsUpdated:
		b.EndpointsUpdated(now, e.ListMode, e.Endpoints)
	case wire.RequestArrived:
		b.RequestArrived(now, e.Request)
	case wire.ResponseStarted:
		b.ResponseStarted(now, e.Attempt.ID, e.Attempt.Attempt)
	case wire.AttemptFinished:
		b.AttemptFinished(now, e.Attempt)
	case wire.ClientLeft:
		b.ClientLeft(now, e.Request.ID)
	case wire.TimerFired:
		b.TimerFired(now, e.TimerToken)
	case wire.HealthCheckFinished:
		b.HealthCheckFinished(now, e.HealthCheck)
	}
}
