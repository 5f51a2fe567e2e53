//go:build review

// Command upgrade-slow-clients upgrades a balancer while some clients write their requests slowly, and looks whether a request that
// the old process had taken and that has run gets its answer.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"olivearch/review/stand"
)

const (
	slowClients  = 24
	swiftClients = 4
	work         = 150 * time.Millisecond
	firstPause   = 700 * time.Millisecond // of the first slow client, between its last two writes
	pauseStep    = 30 * time.Millisecond
	patience     = 1300 * time.Millisecond // 750 ms of the class, 0.5 s in which an answer is only worth nothing, 50 ms
)

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	if err := w.StartFleet(3, work); err != nil {
		return 0, err
	}
	config, err := w.Config("n1", w.Listen, w.Discovery.Address, w.Discovery.List())
	if err != nil {
		return 0, err
	}
	old, _, err := w.StartBalancer("old", config)
	if err != nil {
		return 0, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []stand.Answer
	note := func(answer stand.Answer) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, answer)
	}
	end := time.Now().Add(12 * time.Second)
	for i := range swiftClients {
		client := stand.NewClient(w.Record, fmt.Sprintf("swift-%d", i), w.Listen)
		group.Go(func() {
			for time.Now().Before(end) {
				note(client.Send(0, patience))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	var slow []*stand.Client // each has a connection from an earlier request, as clients keep theirs
	for i := range slowClients {
		client := stand.NewClient(w.Record, fmt.Sprintf("slow-%d", i), w.Listen)
		note(client.Send(0, patience))
		slow = append(slow, client)
	}
	if _, _, err := w.StartBalancer("new", config); err != nil {
		return 0, err
	}
	for i, client := range slow {
		pause := time.Duration(0)
		if w.Trouble { // a slow client pauses once, for under the 2.3 s that the pages allow, and writes the rest
			pause = firstPause + time.Duration(i)*pauseStep
		}
		group.Go(func() { note(client.Send(pause, patience)) })
	}
	time.Sleep(50 * time.Millisecond)
	w.Signal(old, syscall.SIGTERM)
	group.Wait()
	return judge(w, answers), nil
}

// judge counts the requests that ran at an upstream and got no answer at all.
func judge(w *stand.World, answers []stand.Answer) int {
	lost, cut, answered := 0, 0, 0
	for _, answer := range answers {
		ran := false
		for _, upstream := range w.Upstreams {
			ran = ran || upstream.Has(answer.ID)
		}
		switch {
		case answer.Status != 0:
			answered++
		case ran:
			lost++
			w.Say("LOST: request %s was read, forwarded and run, and its connection ended with no answer after %v: %v",
				answer.ID, answer.Took.Round(time.Millisecond), answer.Err)
		default:
			cut++
			w.Line("not counted: request %s never came to an upstream: %v", answer.ID, answer.Err)
		}
	}
	w.Say("%d requests answered, %d lost, %d closed before they were whole (not counted)", answered, lost, cut)
	if lost > 0 {
		return stand.RuleBroken
	}
	return stand.RuleHeld
}
