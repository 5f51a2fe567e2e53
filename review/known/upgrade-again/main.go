//go:build review

// Command upgrade-again: after a new process of an upgrade was killed, the next upgrade forgets an upstream that is out by hand.
package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"olivearch/review/stand"
)

const watched = 6 * time.Second // how long requests are sent once the new process is ready

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	if err := w.StartFleet(3, 20*time.Millisecond); err != nil {
		return 0, err
	}
	config, err := w.Config("n1", w.Listen, w.Discovery.Address, w.Discovery.List())
	if err != nil {
		return 0, err
	}
	old, management, err := w.StartBalancer("old", config)
	if err != nil {
		return 0, err
	}
	client := stand.NewClient(w.Record, "1", w.Listen)
	send(client, time.Second)
	out := w.Upstreams[0]
	answer := stand.Command(management, "maint-on "+out.ID)
	w.Line("operator: maint-on %s: %s", out.ID, answer)
	if !strings.HasPrefix(answer, "+OK") {
		return 0, fmt.Errorf("maint-on: %s", answer)
	}
	taken := time.Now()
	send(client, time.Second)

	if w.Trouble {
		first, _, err := w.StartBalancer("new-1", config)
		if err != nil {
			return 0, err
		}
		time.Sleep(time.Second)
		w.Signal(first, syscall.SIGKILL)
		<-first.Ended()
		time.Sleep(time.Second)
	}
	_, _, err = w.StartBalancer("new-2", config)
	if err != nil {
		return 0, err
	}
	w.Signal(old, syscall.SIGTERM)
	<-old.Ended()
	client.Close()
	send(client, watched)
	late := out.Arrivals(taken.Add(time.Second))
	if len(late) > 0 {
		w.Say("BROKEN: %s was out of service by maint-on (%s), and after the upgrade %d requests were sent there",
			out.ID, answer, len(late))
		return stand.RuleBroken, nil
	}
	w.Say("held: %s was out of service by maint-on (%s), and after the upgrade no request was sent there", out.ID, answer)
	return stand.RuleHeld, nil
}

func send(client *stand.Client, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client.Send(0, time.Second)
	}
}
