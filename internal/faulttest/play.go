package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"olivearch/internal/faulttest/checker"
	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/history"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/loadspread"
)

// Options are how a script is played.
type Options struct {
	Program  string   // the program under test, built with the tag "ground" if the script has faults of clock or disk
	Ledger   string   // the ledger's voter, built with the same tag; for scripts with voters
	Self     []string // the command that becomes a process of stand-ins (crowd.Run)
	SelfEnv  []string // and what is added to its environment
	Folder   string   // where processes have their disks and logs; empty: one that is removed at the end
	Progress io.Writer
}

// Play plays a script. An error says that the ground itself failed; what the program did wrong is in the Result.
func Play(ctx context.Context, f *script.File, o Options) (r *Result, err error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if f.Voters.Count > 0 && o.Ledger == "" {
		return nil, errors.New("the script has voters, and no program of theirs is given")
	}
	w := &world{
		f: f, program: o.Program, ledger: o.Ledger, self: o.Self, selfEnv: o.SelfEnv, folder: o.Folder, over: make(chan struct{}), booted: map[int]func(){}, done: map[doneKey]int64{},
		cutsShort: map[int]func(int){}, tallies: map[[2]int]*eventPeers{}, out: map[int]bool{}, counts: counts{faults: map[string]int{}},
	}
	if w.folder == "" {
		if w.folder, err = os.MkdirTemp("", "ground-"); err != nil {
			return nil, err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(w.folder)) }()
	}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	defer w.cancel(nil)
	defer w.close()
	began := time.Now()
	if err := w.build(); err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Progress, "%s: starting %d balancers, %d nodes\n", f.Name, f.Balancers.Count, f.Nodes.Count)
	starting := time.Now()
	if err := w.start(); err != nil {
		return nil, err
	}
	m := &measure{started: time.Since(starting)}
	fmt.Fprintf(o.Progress, "%s: all ready after %.2f s, load begins\n", f.Name, m.started.Seconds())
	if err := w.load(); err != nil {
		return nil, err
	}
	asking, err := w.ask()
	if err != nil {
		return nil, err
	}
	m.began = event.Now()
	m.use(w)
	if err := w.timeline(o.Progress, m); err != nil {
		return nil, err
	}
	m.used(w)
	var told history.Verdict
	if asking != nil {
		told = asking.finish()
	}
	v, inFlight, even := w.settle(m.began)
	r = w.result(v, m)
	if asking != nil {
		asking.add(told, r)
	}
	r.Figures["deaths_in_flight"] = float64(inFlight)
	r.Spread = even
	evenness(even, time.Duration(f.Length), r.Figures)
	r.round()
	r.Seconds = time.Since(began).Seconds()
	r.judgeBounds(f.Bounds)
	return r, nil
}

// timeline lays and lifts the faults at their times and returns once all that was asked is answered, and all faults are lifted.
func (w *world) timeline(progress io.Writer, m *measure) error {
	laid := map[int]*fault{}
	begin := time.Now()
	await := func(at time.Duration) error {
		select {
		case <-time.After(at - time.Since(begin)):
			return nil
		case <-w.ctx.Done():
			return context.Cause(w.ctx)
		}
	}
	for _, s := range steps(w.f) {
		if err := await(s.at); err != nil {
			return err
		}
		what := "begins"
		if s.heal {
			what = "ends"
			laid[s.fault].heal()
		} else {
			x, err := w.lay(s.fault)
			if err != nil {
				return err
			}
			laid[s.fault] = x
		}
		if len(w.f.Faults) <= progressMost {
			fmt.Fprintf(progress, "%6.2f s: %s %s\n", time.Since(begin).Seconds(), w.f.Faults[s.fault].Kind, what)
		}
	}
	limit := time.Duration(w.f.Length) + time.Duration(w.f.Load.Deadline)*time.Duration(w.f.Load.Retries+2) + answersIn
	select {
	case <-w.over:
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	case <-time.After(limit - time.Since(begin)):
		return errors.New("clients are not done in time")
	}
	m.ended = event.Now()
	for _, x := range laid {
		x.heal()
	}
	return nil
}

const (
	// progressMost is up to how many faults each is told of as it comes.
	progressMost = 50
	// answersIn is how much longer than the load, its deadlines and retries the clients may take.
	answersIn = 30 * time.Second
)

// settle waits for what is still on its way, ends the processes and asks the judge.
func (w *world) settle(began int64) (checker.Verdict, int, *loadspread.Counts) {
	time.Sleep(settling + time.Duration(w.f.Load.Deadline)) // what comes to a node after its request's end would come by now
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.clients.dismiss()
	var all sync.WaitGroup
	for _, h := range w.hosts() {
		all.Go(func() { h.kill() })
	}
	all.Wait()
	w.nodes.dismiss()
	return w.verdict(began)
}
