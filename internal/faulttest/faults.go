package faulttest

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"olivearch/internal/faulttest/checker"
	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/relay"
	"olivearch/internal/faulttest/script"
	"olivearch/internal/standin/fleetsim"
)

// step is something that a script says is done at a time.
type step struct {
	at    time.Duration
	fault int
	heal  bool
}

// steps are a script's, in order.
func steps(f *script.File) []step {
	var all []step
	for i, x := range f.Faults {
		all = append(all, step{time.Duration(x.At), i, false})
		if x.For > 0 {
			all = append(all, step{time.Duration(x.At + x.For), i, true})
		}
	}
	slices.SortStableFunc(all, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return all
}

// fault is one that has been laid, and how it is lifted.
type fault struct {
	*world
	index int
	script.Fault
	once sync.Once
	lift func()
}

// lay does what a fault says.
func (w *world) lay(i int) (*fault, error) {
	x := &fault{world: w, index: i, Fault: w.f.Faults[i], lift: func() {}}
	w.mu.Lock()
	w.counts.faults[x.Kind]++
	w.mu.Unlock()
	do, ok := map[string]func() error{
		"cut": x.onLinks, "slow": x.onLinks, "throttle": x.onLinks, "reset": x.onLinks, "half-close": x.onLinks, "lossy": x.onLinks,
		"break": x.breakAll, "kill": x.kill, "kill-on-send": x.killOnSend, "stop": x.stop, "terminate": x.terminate, "lose": x.lose,
		"clock": x.clock, "disk": x.disk, "word": x.word, "flip": x.flip, "power": x.power, "twin": x.twin, "crash": x.crash, "drain": x.drain, "stall": x.stall, "slow-node": x.slowNode,
		"second-answer": x.secondAnswer,
		"list-old":      x.listOld, "list-down": x.listDown, "list-answers": x.listAnswers, "list-split": x.listSplit, "list-silent": x.onList(x.list.silence), "list-reset": x.onList(x.list.reset),
	}[x.Kind]
	if !ok {
		return nil, fmt.Errorf("fault %d: nothing is known of %q", i, x.Kind)
	}
	if err := do(); err != nil {
		return nil, fmt.Errorf("fault %d (%s): %w", i, x.Kind, err)
	}
	return x, nil
}

// heal lifts it, once.
func (x *fault) heal() { x.once.Do(x.lift) }

// excuse says of a balancer that answers may be late or lost from now until the returned function is called, and then for as long as
// clients wait.
func (w *world) excuse(balancer int) (end func()) {
	from := event.Now()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.judge.Excuse(checker.Window{Balancer: balancer, From: from, To: event.Now()})
	}
}

// hold says of a balancer that what is told to it from now on comes to it once the returned function is called.
func (w *world) hold(balancer int) (end func()) {
	from := event.Now()
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.judge.Hold(checker.Window{Balancer: balancer, From: from, To: event.Now()})
	}
}

// ends joins what is to be done at the end.
func ends(all []func()) func() {
	return func() {
		for _, f := range all {
			f()
		}
	}
}

// pairs are the links that a fault lies on.
func (x *fault) pairs() (all []link, from, to []script.Process) {
	from, to = x.led(x.f.Choose(x.From, x.index)), x.led(x.f.Choose(x.To, x.index+1<<16))
	for _, a := range from {
		for _, b := range to {
			if a != b {
				if s := x.service(b); s != nil {
					all = append(all, link{caller(a), s})
				}
			}
		}
	}
	return all, from, to
}

func caller(p script.Process) int {
	switch p.Kind {
	case script.Clients:
		return clientCaller
	case script.Peer:
		return fleetsim.FirstPeer + p.Index
	case script.Voter:
		return firstVoter + p.Index
	}
	return p.Index
}

func (w *world) service(p script.Process) *relay.Service {
	switch p.Kind {
	case script.Node:
		return w.services[p.Index]
	case script.Peer:
		return w.peerService[p.Index]
	case script.ListService:
		return w.listService
	case script.Voter:
		return w.voters[p.Index].service
	}
	return w.balancers[p.Index].service
}

func (x *fault) onLinks() error {
	var f twoWay
	one := relay.Faults{
		Cut: x.Kind == "cut", Delay: time.Duration(x.Delay), Jitter: time.Duration(x.Jitter), Rate: x.Fault.Rate, Deliver: x.Deliver,
		Loss: x.Loss, Twice: x.Twice, Reorder: x.Reorder,
	}
	switch x.Kind {
	case "reset":
		one.Reset = x.Share
	case "half-close":
		one.HalfClose = x.Share
	}
	if x.Way != "back" {
		f.there = one
	}
	if x.Way != "there" {
		f.back = one
	}
	pairs, from, to := x.pairs()
	var after []func()
	for _, b := range to {
		if b.Kind == script.Balancer && slices.ContainsFunc(from, func(p script.Process) bool { return p.Kind == script.Clients }) {
			after = append(after, x.excuse(b.Index))
		}
	}
	for _, a := range from {
		if a.Kind == script.Balancer && slices.ContainsFunc(to, func(p script.Process) bool { return p.Kind == script.ListService || p.Kind == script.Voter }) {
			after = append(after, x.hold(a.Index))
		}
	}
	// Those that are in use first: what comes up before its link's cut has taken hold is reset, and is counted as a leak.
	slices.SortStableFunc(pairs, func(a, b link) int {
		return cmp.Compare(x.relay.Open(b.caller, b.service), x.relay.Open(a.caller, a.service))
	})
	x.links.put(pairs, x.index, f)
	x.lift = func() {
		x.links.lift(pairs, x.index)
		ends(after)()
	}
	return nil
}

func (x *fault) breakAll() error {
	pairs, _, to := x.pairs()
	var after []func()
	for _, b := range to {
		if b.Kind == script.Balancer {
			after = append(after, x.excuse(b.Index))
		}
	}
	for _, l := range pairs {
		x.relay.Reset(l.caller, l.service)
	}
	ends(after)()
	return nil
}

// hosts are the machines that the fault happens to.
func (x *fault) hosts() (all []*host) {
	for _, p := range x.f.Choose(x.Of, x.index) {
		switch p.Kind {
		case script.Balancer:
			all = append(all, x.balancers[p.Index].host)
		case script.Voter:
			all = append(all, x.voters[x.voterIndex(p)].host)
		}
	}
	return all
}

// together calls f for each of the fault's machines at once, and returns when all calls have: the system may take long to end a process.
func (x *fault) together(f func(h *host) (lift func())) func() {
	var mu sync.Mutex
	var all sync.WaitGroup
	var lifts []func()
	for _, h := range x.hosts() {
		all.Go(func() {
			lift := f(h)
			mu.Lock()
			defer mu.Unlock()
			lifts = append(lifts, lift)
		})
	}
	all.Wait()
	return ends(lifts)
}

// down ends a machine's process and returns what starts it again.
func (x *fault) down(h *host, after func()) func() {
	end := h.excuse()
	if !h.kill() && !h.fallen() {
		end()
		return func() {}
	}
	after()
	return func() { x.restart(h, end) }
}

func (x *fault) kill() error {
	x.lift = x.together(func(h *host) func() { return x.down(h, func() {}) })
	for _, p := range x.f.Choose(x.Of, x.index) {
		if p.Kind == script.Peer {
			x.peers[p.Index].process.Kill()
		}
	}
	return nil
}

// lose kills and takes the disk away.
func (x *fault) lose() error {
	x.lift = x.together(func(h *host) func() { return x.down(h, func() { x.removeDisk(h) }) })
	return nil
}

func (x *fault) removeDisk(h *host) {
	if err := os.RemoveAll(h.folder); err != nil {
		x.fail(err)
	}
}

func (x *fault) stop() error {
	var on []func()
	for _, h := range x.hosts() {
		p := h.running()
		if p == nil {
			continue
		}
		excused, held := h.excuse(), h.hold()
		p.Stop() // fails only if it has ended
		on = append(on, func() {
			p.Continue()
			held()
			excused()
		})
	}
	for _, p := range x.f.Choose(x.Of, x.index) {
		if p.Kind == script.Peer {
			process := x.peers[p.Index].process
			process.Stop()
			on = append(on, func() { process.Continue() })
		}
	}
	x.lift = ends(on)
	return nil
}

// frontNotices is how long new connections go on coming to a balancer that was told to end (0.2 to 0.4 s on the platform).
const frontNotices = 300 * time.Millisecond

// terminate asks balancers to end, and starts each again as soon as it has.
func (x *fault) terminate() error {
	for _, h := range x.hosts() {
		p := h.running()
		if p == nil {
			continue
		}
		h.mu.Lock()
		h.wanted = false
		h.mu.Unlock()
		p.Terminate()
		go func() {
			select {
			case <-p.Ended():
			case <-time.After(frontNotices):
				h.service.Point("")
			}
			select {
			case <-p.Ended():
				if x.ctx.Err() == nil && !x.ending() {
					x.restart(h, func() {})
				}
			case <-x.ctx.Done():
			}
		}()
	}
	return nil
}

// killOnSend kills a balancer as soon as a request of its has come to a node, again and again, and starts it again.
func (x *fault) killOnSend() error {
	chosen := map[int]bool{}
	for _, p := range x.f.Choose(x.Of, x.index) {
		chosen[p.Index] = true
	}
	var mu sync.Mutex
	busy, left := map[int]bool{}, x.Count
	cut := func(i int) {
		mu.Lock()
		defer mu.Unlock()
		if !chosen[i] || busy[i] || left == 0 {
			return
		}
		busy[i] = true
		left--
		b := x.balancers[i]
		go func() {
			up := x.down(b.host, func() {})
			time.Sleep(time.Duration(x.For))
			up()
			for !b.ready() && x.ctx.Err() == nil && !x.ending() {
				time.Sleep(askHealth)
			}
			mu.Lock()
			busy[i] = false
			mu.Unlock()
		}()
	}
	x.mu.Lock()
	x.cutsShort[x.index] = cut
	x.mu.Unlock()
	return nil
}

// eachNode calls f for each of the fault's nodes.
func (x *fault) eachNode(f func(node int) error) error {
	for _, p := range x.f.Choose(x.Of, x.index) {
		if err := f(p.Index); err != nil {
			return err
		}
	}
	return nil
}

// crash ends nodes; the list tells of it late. At the end they come back cold.
func (x *fault) crash() error {
	var back []func()
	err := x.eachNode(func(node int) error {
		back = append(back, func() { x.comeBack(node) })
		return x.fell(node)
	})
	x.lift = ends(back)
	return err
}

// fell ends a node's process.
func (w *world) fell(node int) error {
	err := w.services[node].Point("")
	w.later(func(all []member) { all[node].phase = "removed" })
	return cmp.Or(err, w.nodes.order(fleetsim.Command{Verb: fleetsim.Crash, Node: int32(node)}))
}

// later changes the list once its notice has come.
func (w *world) later(f func([]member)) {
	time.AfterFunc(time.Duration(w.f.List.Notice), func() { w.list.change(f) })
}

// comeBack starts a node cold, and lets the list tell of it.
func (w *world) comeBack(node int) {
	err := w.boot(node, true, func() {
		since := time.Now().UnixMilli()
		w.record(checker.Record{Kind: checker.Started, At: event.Now(), Node: node})
		w.later(func(all []member) { all[node].phase, all[node].since = "up", since })
	})
	if err != nil && !w.ending() {
		w.fail(err)
	}
}

// drain lets the list say that nodes drain, at once; at the end they are started anew.
func (x *fault) drain() error {
	var back []func()
	err := x.eachNode(func(node int) error {
		x.list.change(func(all []member) { all[node].phase = "draining" })
		back = append(back, func() {
			if err := x.fell(node); err != nil && !x.ending() {
				x.fail(err)
			}
			x.comeBack(node)
		})
		return nil
	})
	x.lift = ends(back)
	return err
}

func (x *fault) stall() error {
	x.lift = func() {
		x.eachNode(func(node int) error {
			return x.nodes.order(fleetsim.Command{Verb: fleetsim.Stall, Node: int32(node)})
		})
	}
	return x.eachNode(func(node int) error {
		return x.nodes.order(fleetsim.Command{Verb: fleetsim.Stall, Node: int32(node), On: true})
	})
}

func (x *fault) slowNode() error {
	x.lift = func() {
		x.eachNode(func(node int) error {
			return x.nodes.order(fleetsim.Command{Verb: fleetsim.Slow, Node: int32(node), Factor: 1})
		})
	}
	return x.eachNode(func(node int) error {
		return x.nodes.order(fleetsim.Command{Verb: fleetsim.Slow, Node: int32(node), Factor: x.Factor})
	})
}

// secondAnswer makes nodes send some of their responses a second time on the same connection.
func (x *fault) secondAnswer() error {
	order := func(share float64) error {
		return x.eachNode(func(node int) error {
			return x.nodes.order(fleetsim.Command{
				Verb:   fleetsim.Duplicate,
				Node:   int32(node),
				Share:  share,
				Delay:  time.Duration(x.Delay),
				Jitter: time.Duration(x.Jitter),
			})
		})
	}
	x.lift = func() {
		if err := order(0); err != nil && !x.ending() {
			x.fail(err)
		}
	}
	return order(x.Share)
}

func (x *fault) listOld() error {
	x.list.freeze(true)
	x.lift = func() { x.list.freeze(false) }
	return nil
}

func (x *fault) listDown() error { return x.listTo(0) }

func (x *fault) listAnswers() error { return x.listTo(x.Share) }

func (x *fault) listTo(share float64) error {
	x.list.answer(share)
	x.lift = func() { x.list.answer(x.f.List.Answers) }
	return nil
}

// onList does something to the list service at once.
func (x *fault) onList(do func()) func() error {
	return func() error { do(); return nil }
}

// listSplit tells half of the balancers, or those in from, that nodes have gone.
func (x *fault) listSplit() error {
	words := x.From
	if len(words) == 0 {
		words = []string{script.Balancer + " 50%"}
	}
	var callers, nodes []int
	for _, p := range x.f.Choose(words, x.index+1<<16) {
		callers = append(callers, p.Index)
	}
	x.eachNode(func(node int) error { nodes = append(nodes, node); return nil })
	x.list.hide(callers, nodes, true)
	x.lift = func() { x.list.hide(callers, nodes, false) }
	return nil
}

// clock makes machines' clocks wrong. What a process has read of it at its start stays read: one that is meant to start with a wrong
// clock is killed besides.
func (x *fault) clock() error {
	return x.tell(clockFile, time.Duration(x.Offset).String())
}

// disk makes machines' disks fail. A voter ends at the first write that fails; it is started again once the disk is well.
func (x *fault) disk() error {
	text := x.Disk
	if x.Disk == "slow" {
		text += " " + time.Duration(x.Delay).String()
	}
	if err := x.tell(diskFile, text); err != nil {
		return err
	}
	well := x.lift
	x.lift = func() {
		well()
		for _, p := range x.f.Choose(x.Of, x.index) {
			if p.Kind != script.Voter {
				continue
			}
			if h := x.voters[x.voterIndex(p)].host; h.fallen() {
				x.restart(h, func() {})
			}
		}
	}
	return nil
}

// The files, beside a balancer's folder, that tell a test build what is wrong. The variables are those of internal/clock and
// internal/disk there.
const (
	clockVariable, clockFile = "OLIVEARCH_GROUND_CLOCK", ".clock"
	diskVariable, diskFile   = "OLIVEARCH_GROUND_DISK", ".disk"
)

// tell writes a file for each of the fault's balancers, and removes it at the end.
func (x *fault) tell(file, text string) error {
	var errs []error
	var back []func()
	for _, h := range x.hosts() {
		path := h.folder + file
		errs = append(errs, os.WriteFile(path, []byte(text), 0o644))
		back = append(back, func() { os.Remove(path) })
	}
	x.lift = ends(back)
	return errors.Join(errs...)
}
