package faulttest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/history"
)

// askers are the clients of the ledger's voters.
type askers struct {
	*world
	history *history.History
	all     sync.WaitGroup
	watched []*client.Follower

	mu       sync.Mutex
	yes      *hdrhistogram.Histogram // us
	nobody   int
	gap      time.Duration // the longest without a yes
	lastYes  time.Time
	notReady error
}

const (
	askWithin   = time.Second
	finalWithin = 20 * time.Second
	sharedOnes  = 4 // subjects that all write
	leaseBound  = "lease"
	leaseLimit  = 3
	leaseFor    = time.Second
	slotBound   = "slots"
	slotLimit   = 4
	watchers    = 2
	lookEvery   = 50 * time.Millisecond
)

// voterAddresses are where a caller reaches the voters.
func (w *world) voterAddresses(caller int) map[string]string {
	all := map[string]string{}
	for _, v := range w.voters {
		all[v.name] = v.service.At(caller)
	}
	return all
}

func (w *world) newAsker(i int) *client.Client {
	return client.New(fmt.Sprintf("asker-%d", i), w.voterAddresses(firstAsker+i))
}

// ask lets the clients begin; nil: there are no voters.
func (w *world) ask() (*askers, error) {
	if len(w.voters) == 0 {
		return nil, nil
	}
	x := &askers{world: w, history: history.New(event.Now()), yes: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), lastYes: time.Now()}
	setup := w.newAsker(0)
	defer setup.Close()
	ctx, cancel := context.WithTimeout(w.ctx, finalWithin)
	defer cancel()
	for _, c := range []state.Command{&state.SetResource{Name: leaseBound, Limit: leaseLimit}, &state.SetResource{Name: slotBound, PerSecond: true, Limit: slotLimit}} {
		if _, err := setup.Propose(ctx, c); err != nil {
			return nil, fmt.Errorf("the first promises: %w", err)
		}
	}
	f := w.f.Voters
	end := time.Now().Add(time.Duration(w.f.Length))
	for i := range f.Clients {
		x.all.Go(func() { x.client(i, end) })
	}
	for i := range f.Flood {
		x.all.Go(func() { x.flood(i, end) })
	}
	for i := range watchers {
		name := fmt.Sprintf("watcher-%d", i)
		c := client.StartFollower(name, w.voterAddresses(firstAsker+300+i), "", func([]state.Override) {})
		x.watched = append(x.watched, c)
		x.all.Go(func() { x.watch(name, c, end) })
	}
	return x, nil
}

func capOf(subject string) state.Subject {
	return state.Subject{Kind: state.ConcurrencyCap, Scope: state.ScopeUpstream, Target: subject}
}

// answered notes how a proposal ended; sure: it is known whether it holds.
func (x *askers) answered(err error, took time.Duration) (held, sure bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case err == nil:
		now := time.Now()
		x.gap, x.lastYes = max(x.gap, now.Sub(x.lastYes)), now
		x.yes.RecordValue(max(1, took.Microseconds()))
		return true, true
	case errors.Is(err, client.ErrUncertain):
		return false, false
	case errors.Is(err, client.ErrNotAttempted):
		x.nobody++
	}
	return false, true
}

// client is one whose calls are all noted.
func (x *askers) client(i int, end time.Time) {
	c := x.newAsker(1 + i)
	defer c.Close()
	rng := rand.New(rand.NewPCG(uint64(x.f.Seed), uint64(1000+i)))
	mine := fmt.Sprintf("c-%d", i)
	var lease *history.Lease
	var held *client.Lease
	drop := func(until int64) {
		if lease != nil {
			lease.Until = min(lease.Until, until)
			x.history.Lease(*lease)
		}
		lease, held = nil, nil
	}
	defer func() { drop(event.Now() + int64(time.Hour)) }()
	for n := int64(1); ; n++ {
		pause := time.Duration(rng.ExpFloat64() / x.f.Voters.Rate * float64(time.Second))
		select {
		case <-time.After(min(pause, time.Second)):
		case <-x.ctx.Done():
			return
		}
		if time.Now().After(end) || n > 900000/int64(x.f.Voters.Clients) {
			return
		}
		ctx, cancel := context.WithTimeout(x.ctx, askWithin)
		shared := fmt.Sprintf("s-%d", rng.IntN(sharedOnes))
		value := n*int64(x.f.Voters.Clients) + int64(i) + 1 // nobody else writes it
		switch d := rng.IntN(20); {
		case d < 6:
			x.write(ctx, c, i, shared, value)
		case d < 7:
			x.write(ctx, c, i, shared, 0)
		case d < 11:
			x.write(ctx, c, i, mine, value)
		case d < 15:
			x.read(ctx, c, i, shared)
		case d < 18: // two clients are two lives of one holder
			if held != nil && !held.Valid(time.Now()) {
				drop(lease.Until)
			}
			asked, before := event.Now(), held
			got, err := c.AcquireLease(ctx, leaseBound, fmt.Sprintf("h-%d", i/2), 1, leaseFor, held)
			switch {
			case err == nil && before != nil && got.FencingToken == before.FencingToken:
				held, lease.Until = got, until(got)
			case err == nil:
				drop(asked)
				held, lease = got, &history.Lease{Bound: leaseBound, Holder: got.Holder, Parts: 1, Fence: got.FencingToken, Asked: asked, From: event.Now(), Until: until(got), Limit: leaseLimit}
			case errors.Is(err, client.ErrRejected) && held != nil: // it has ended there, so it had ended here
				drop(lease.Until)
			}
		case d < 19 && held != nil:
			now := event.Now()
			if _, err := c.Propose(ctx, &state.ReleaseLease{Resource: leaseBound, Holder: held.Holder, FencingToken: held.FencingToken}); !errors.Is(err, client.ErrNotAttempted) {
				drop(now) // whoever gives back does not use it any more, whatever comes of it
			}
		default:
			x.book(ctx, c, i, n)
		}
		cancel()
	}
}

// until is a lease's end on the clock of events.
func until(l *client.Lease) int64 { return event.Now() + int64(time.Until(l.Until)) }

func (x *askers) write(ctx context.Context, c *client.Client, i int, subject string, value int64) {
	from, began := event.Now(), time.Now()
	var command state.Command = &state.SetOverride{Subject: capOf(subject), Value: value, By: "ground"}
	if value == 0 {
		command = &state.ClearOverride{Subject: capOf(subject), By: "ground"}
	}
	_, err := c.Propose(ctx, command)
	held, sure := x.answered(err, time.Since(began))
	if !held && sure {
		return
	}
	x.history.Call(history.Call{Client: i, Subject: subject, Kind: history.Write, Value: value, From: from, To: event.Now(), Unsure: !sure})
	switch {
	case subject[0] != 'c' || value == 0:
	case held:
		x.history.Promised(subject, value)
	case !sure:
		x.history.Unsure(subject, value)
	}
}

func (x *askers) read(ctx context.Context, c *client.Client, i int, subject string) {
	from := event.Now()
	s, _, err := c.Read(ctx)
	if err != nil {
		return
	}
	w, _ := s.Override(capOf(subject))
	x.history.Call(history.Call{Client: i, Subject: subject, Kind: history.Read, Value: w.Value, From: from, To: event.Now()})
}

func (x *askers) book(ctx context.Context, c *client.Client, i int, n int64) {
	began := time.Now()
	a, err := c.Propose(ctx, &state.Reserve{Resource: slotBound, Holder: fmt.Sprintf("c-%d", i), Sequence: uint64(n), Slots: 2, After: 1, Within: 30})
	if held, _ := x.answered(err, time.Since(began)); !held {
		return
	}
	for _, b := range a.Result.Reserved {
		x.history.Slots(history.Slot{Bound: slotBound, Second: b.Second, Places: b.Count, Limit: slotLimit})
	}
}

// flood asks for promises on a subject of its own as fast as they are answered.
func (x *askers) flood(i int, end time.Time) {
	c := x.newAsker(1 + x.f.Voters.Clients + i)
	defer c.Close()
	subject := fmt.Sprintf("f-%d", i)
	for n := int64(1); time.Now().Before(end) && x.ctx.Err() == nil && n < 1e6; n++ {
		ctx, cancel := context.WithTimeout(x.ctx, askWithin)
		began := time.Now()
		_, err := c.Propose(ctx, &state.SetOverride{Subject: capOf(subject), Value: n, By: "ground"})
		cancel()
		switch held, sure := x.answered(err, time.Since(began)); {
		case held:
			x.history.Promised(subject, n)
		case !sure:
			x.history.Unsure(subject, n)
		}
	}
}

// watch looks at a copy.
func (x *askers) watch(name string, c *client.Follower, end time.Time) {
	for time.Now().Before(end) && x.ctx.Err() == nil {
		v := c.View()
		age, at := v.Age(time.Now()), event.Now()
		values := map[string]int64{}
		for _, w := range v.Overrides {
			values[w.Target] = w.Value
		}
		for i := range x.f.Voters.Clients {
			subject := fmt.Sprintf("c-%d", i)
			x.history.Look(history.Look{Who: fmt.Sprintf("%s (revision %d of %s)", name, v.Index, v.Voter), Subject: subject, Value: values[subject], At: at, Age: age})
		}
		select {
		case <-time.After(lookEvery):
		case <-x.ctx.Done():
		}
	}
}

// finish waits for the clients, reads what is held at the end and has the history checked. All faults have been lifted.
func (x *askers) finish() history.Verdict {
	x.all.Wait()
	for _, c := range x.watched {
		c.Close()
	}
	c := x.newAsker(0)
	defer c.Close()
	ctx, cancel := context.WithTimeout(x.ctx, finalWithin)
	defer cancel()
	from := event.Now()
	s, _, err := c.Read(ctx)
	if err != nil {
		x.notReady = err
	} else {
		to := event.Now()
		for i := range sharedOnes {
			subject := fmt.Sprintf("s-%d", i)
			w, _ := s.Override(capOf(subject))
			x.history.Call(history.Call{Client: -1, Subject: subject, Kind: history.Read, Value: w.Value, From: from, To: to})
		}
		for _, subject := range x.history.Subjects() {
			w, _ := s.Override(capOf(subject))
			x.history.Found(subject, w.Value)
		}
	}
	return x.history.Check(historyWithin)
}

// historyWithin bounds how long the history of one subject is checked.
const historyWithin = 20 * time.Second

// add puts what came of it into a result.
func (x *askers) add(v history.Verdict, r *Result) {
	f := r.Figures
	f["promises"], f["promises_s"], f["promises_lost"] = float64(x.yes.TotalCount()), float64(x.yes.TotalCount())/time.Duration(x.f.Length).Seconds(), float64(v.Lost)
	f["history_wrong"], f["history_open"], f["history_calls"] = float64(len(v.Wrong)), float64(len(v.Open)), float64(v.Calls)
	f["yes_p50"], f["yes_p99"] = float64(x.yes.ValueAtQuantile(50))/1000, float64(x.yes.ValueAtQuantile(99))/1000
	f["yes_gap"], f["unsure"], f["nobody"] = x.gap.Seconds()*1000, float64(v.Unsure), float64(x.nobody)
	f["leases"], f["slots"], f["looks"] = float64(v.Leases), float64(v.Slots), float64(v.Looks)
	if x.notReady != nil {
		r.Wrong = append(r.Wrong, "nothing can be read at the end: "+x.notReady.Error())
	}
	r.Wrong = append(r.Wrong, v.Wrong...)
	f["history_wrong"] = float64(len(r.Wrong))
	f["distrusted"] = float64(x.counts.distrusted)
}
