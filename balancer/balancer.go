// The decisions of the balancer: every rule and every constant is in this file and in slowstart.go. Its
// interface (types, events, actions) is in api.go, what it keeps in state.go; docs/design gives the reasons.

package balancer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants. Those without a unit are ratios.
const (
	bandWindow            = 8           // N: readings in an upstream's moving window
	muteLeast             = 64          // answers in a row without a report: then utilisation is estimated
	bandAlpha             = 2.0         // α: half the band gap in standard deviations, as usual for these bands
	bandPeriod            = time.Second // the band gap is integrated over it, then shares move
	areaFloor             = 0.4         // areas below it are noise: a deviation of a tenth of full use
	areaRatio             = 1.25        // saturated: an area over this multiple of the fleet's median
	areaSpread            = 4.0         // and so many times as far over it as the lowest quarter is under it
	fullUse               = 0.8         // mean use over which more attempts out bring no more
	levelFloor            = 0.5         // use below it never counts as excess level
	cutMost               = 0.8         // the deepest cut in one period: reports lag, so steps are small
	restoreStep           = 1.04        // shares come back more slowly than they go
	shareFloor            = 0.1         // a share is never cut below this part of its start
	debtRounds            = 1.0         // turns missed beyond this many rounds are forgotten
	smoothing             = 0.1         // weight of a new sample in running means
	sharers               = 4.0         // balancers that share an upstream, where there are enough
	sharersMost           = 10.0        // and at most, for evenness
	evenTurns             = 4.0         // for it one uses the root of this multiple of its requests a second
	subsetLeast           = 2           // upstreams that a balancer uses at least
	sliceLeast            = 0.125       // part of an upstream that one uses at least, if any
	rateWeight            = 0.25        // weight of a period's requests in the rate that a balancer has
	rateNoise             = 1.5         // changes of the rate within it move nothing
	boundStart            = 3           // attempts out at one upstream, over all balancers, at first
	boundLeast            = 0.25        // over all balancers: with pauses, so that a crowded server can rest
	boundCut              = 0.8         // on a crowded answer; twice on a full queue or a time-out
	boundGrowth           = 0.02        // on an answer while turns are short, times the square of its spare aims
	easy                  = 1.5         // latency for the work, in multiples of its least: no queue
	crowded               = 1.6         // over this multiple: the upstream is crowded or sick
	crowdedShare          = 0.5         // and it takes this part of the aim: far under it crowding hurts nobody
	idleShare             = 0.0625      // under it a bound may grow without waiting for readings
	leastDrift            = 0.005       // how fast the least latency is unlearnt
	patienceDevs          = 5.0         // deviations over its usual latency before an upstream is silent
	errorWeight           = 0.125       // weight of an answer in the share of errors among them
	sickOver              = 0.5         // more errors than the fleet by this share of answers: trials only
	errorNoise            = 0.25        // under it an excess of errors is chance and costs no share
	sickFloor             = 0.015625    // a share is never cut below this part by errors
	tipMargin             = 0.6         // part of the cold budget that is used
	turnsUnder            = 2.0         // a part of it under so many calls is used in turns
	sendSpare             = 2.33        // latencies left to the aim of a held request sent, less its late worth
	budgetNoise           = 16          // a budget shorter by one in this many is a client's later try
	turnWeight            = 0.0625      // weight of a new sample in the mean time between turns of what is held
	ticksPerAim           = 16          // housekeeping runs this often in the shortest aim
	waitGrowth            = 2           // trials, failed connects and discovery calls are spaced by this growth
	logEvery              = 5 * time.Second
	watchWaitMost         = 1500 * time.Millisecond // after failed calls: changes count as told after 6 s
	tickToken, watchToken = 1, 2
)

// New returns a Balancer, or an error that names the setting that is wrong.
func New(s Settings, seed uint64, now time.Duration, host Host) (*Balancer, error) {
	if host == nil {
		return nil, bad("Host is nil")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	b := &Balancer{
		host: host, source: source, rng: rand.New(source), requests: map[RequestID]*request{},
		byID: map[UpstreamID]*upstream{}, senders: map[string]*sender{}, logged: map[string]time.Duration{},
		stepAt: now, tightAt: now, bornAt: now,
	}
	shortest := b.adopt(s, now)
	b.gather(now)
	b.lat = float64(shortest) / 4 // until answers tell
	b.nextTick(now)
	if s.OnRequest {
		host.Watch(true)
	}
	return b, nil
}

// Configure puts other settings in the place of those that hold, or changes nothing and names the one that is
// wrong. What was learnt of upstreams stays: windows, shares, bounds. Open requests keep their class.
func (b *Balancer) Configure(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	b.catchUp(now)
	follows := b.s.OnRequest
	b.adopt(s, now)
	if s.OnRequest != follows {
		b.host.Watch(s.OnRequest)
	}
	b.gather(now)
	b.dispatch(now)
	b.rouse(now)
	return nil
}

// --- Request ledger ---

// maySend alone decides whether r may be sent (again), and whether u may take it.
func (b *Balancer) maySend(r *request, u *upstream, now time.Duration) bool {
	if r.done || now >= r.deadline || u.State != Active ||
		len(r.attempts) >= b.s.Limits.MaxAttempts || (r.out > 0 && !b.s.Limits.SecondCopies) {
		return false
	}
	for _, a := range r.attempts {
		if !a.neverRan && (r.class.Repeat == Unsafe || (r.class.Repeat == Keyed &&
			(now-a.sentAt >= r.class.Memory-b.tick || (r.class.Group == GroupZone && a.up.Zone != u.Zone) ||
				(r.class.Group == GroupCell && a.up.Cell != u.Cell)))) {
			return false
		}
	}
	return true
}

// Until tells when upstreams that may have run a keyed request forget it: its newest attempt must be written
// before then, however long its connection takes. 0: there is no such time.
func (b *Balancer) Until(id RequestID) (until time.Duration) {
	r := b.requests[id]
	if r == nil || r.class.Repeat != Keyed {
		return 0
	}
	for _, a := range r.attempts[:max(0, len(r.attempts)-1)] {
		if end := a.sentAt + r.class.Memory - b.tick; !a.neverRan && (until == 0 || end < until) {
			until = end
		}
	}
	return until
}

// mayRefuse alone decides whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Repeat == Safe || (r.class.Repeat == Keyed && r.class.Group == GroupAll) || b.never(r)
}

// never reports whether no attempt of r can have run: it stands as if it had just come.
func (b *Balancer) never(r *request) bool {
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// Request takes a client's request.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.catchUp(now)
	c := b.classes[q.Class]
	if c == nil { // a class that the settings lack; never sent, so a retry is harmless
		b.host.Refuse(q.ID, 0) // and it helps as little later
		return
	}
	b.asked++
	r := &request{Request: q, class: c, units: cmp.Or(c.lat/b.lat, 1), deadline: now + q.Budget, worth: c.Worth}
	if q.Cost > 0 {
		follow(&b.cost, float64(q.Cost), smoothing*smoothing)
		r.units = max(float64(q.Cost)/b.cost, smoothing)
	}
	if !b.s.WorthByWork {
		r.worth /= r.units
	}
	if b.overQuota(q.Tenant, now) {
		r.worth *= b.s.OverShareWorth
	}
	// A later try shows its age by a short budget. Past the aim such once took the turns of those in time.
	spare := time.Duration((sendSpare - c.LateWorth) * cmp.Or(c.lat, b.lat))
	c.budget = max(c.budget, q.Budget)
	if q.Budget < c.budget-c.budget/budgetNoise && c.Aim-(c.Deadline-q.Budget) < spare {
		r.worth *= c.LateWorth
	}
	// Held requests are looked at once a tick: without one in hand a short budget ran out unseen.
	r.sendBy = now + min(c.Aim, q.Budget) - max(spare, b.tick) - b.tick
	b.requests[r.ID] = r
	if r.worth == 0 && now-b.tightAt < time.Duration(b.lat) { // turns are short
		b.giveUp(r, now)
	} else {
		b.place(r, now)
	}
	b.rouse(now)
}

// place sends r if a turn allows it, holds it if one may come free in time, and otherwise ends it.
func (b *Balancer) place(r *request, now time.Duration) {
	switch u, legal := b.pick(r, now); {
	case u != nil:
		b.send(r, u, now)
	case (legal || (b.never(r) && len(r.attempts) < b.s.Limits.MaxAttempts)) && now < r.sendBy:
		if len(b.held) == 0 {
			b.turnAt, b.short = now, false
		} else {
			follow(&b.spell, float64(now-b.tightAt), turnWeight)
		}
		r.held, r.heldAt, b.tightAt = true, now, now
		at, _ := slices.BinarySearchFunc(b.held, r, b.order)
		b.held = slices.Insert(b.held, at, r)
	default:
		b.giveUp(r, now)
	}
}

func (b *Balancer) send(r *request, u *upstream, now time.Duration) {
	timeout := time.Duration(0) // until the client quits: work half done is worth more than work begun anew
	if u.silent {
		u.trialAt = now + u.wait
		u.wait *= waitGrowth
		if r.class.Repeat != Unsafe { // a trial leaves time for another attempt
			timeout = b.patience(u, r.units)
		}
	}
	a := &attempt{r: r, up: u, sentAt: now}
	r.attempts, r.out, r.held, b.out = append(r.attempts, a), r.out+1, false, b.out+1
	u.sentAt = now
	u.outs, u.carried, u.spent = append(u.outs, a), u.carried+r.units, u.spent+max(1, r.units)
	b.host.Send(r.ID, u.ID, timeout)
}

// giveUp gives the final answer to a request that is not served.
func (b *Balancer) giveUp(r *request, now time.Duration) {
	if b.finish(r, -1); b.mayRefuse(r) {
		b.host.Refuse(r.ID, b.advice(now))
	} else {
		b.host.Fail(r.ID)
	}
}

// advice is when a client that is refused should come back: by then what is held has had its turns and some
// upstream may be asked.
func (b *Balancer) advice(now time.Duration) time.Duration {
	if !b.s.Limits.RetryAfter {
		return 0
	}
	soonest, room := b.s.Limits.MaxRetry, 0.0
	for _, u := range b.near {
		if u.member && u.State == Active {
			at := u.freeAt
			if u.silent {
				at = u.trialAt
			}
			soonest, room = min(soonest, max(0, at-now)), room+max(1, u.bound)
		}
	}
	turns := time.Duration(b.lat * float64(len(b.held)+1) / max(1, room))
	return min(max(soonest, turns), b.s.Limits.MaxRetry)
}

// finish notes that r has its answer, or its stream from attempt n, and stops what else is out.
func (b *Balancer) finish(r *request, n int) {
	for i, a := range r.attempts {
		if i != n && !a.ended && !r.done && b.s.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
	if r.done = true; r.out == 0 {
		delete(b.requests, r.ID)
	}
}

// Gone drops a request whose client has left.
func (b *Balancer) Gone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.done {
		b.finish(r, -1)
	}
}

// Started marks a request as served by a stream that has begun.
func (b *Balancer) Started(now time.Duration, id RequestID, n int) {
	if r := b.requests[id]; r != nil && !r.done && n >= 0 && n < len(r.attempts) {
		b.answered(r.attempts[n].up, now)
		b.finish(r, n)
	}
}

// Sent tells that the last byte of a body has gone out in attempt n: its upstream owes an answer from now on.
func (b *Balancer) Sent(now time.Duration, id RequestID, n int) {
	if r := b.requests[id]; r != nil && r.Sending && n >= 0 && n < len(r.attempts) {
		r.Sending, r.attempts[n].sentAt = false, now
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.neverRan = true, o.Status == Full || o.Status == ConnectFailed || o.Status == Moot
	if r.class.Repeat == Keyed && !a.neverRan {
		r.class.ranAt = now
	}
	r.out, b.out = r.out-1, b.out-1
	a.up.outs = slices.DeleteFunc(a.up.outs, func(x *attempt) bool { return x == a })
	b.learn(a, o.clean(), now)
	switch {
	case r.done || o.Closed || o.Status == OK:
		b.finish(r, o.Attempt)
	case r.out == 0 && !r.held: // else another copy may still answer, or a turn may come free
		b.place(r, now)
	}
	b.dispatch(now)
}

// --- Bands and shares ---

// learn draws from an outcome what it tells about its upstream.
func (b *Balancer) learn(a *attempt, o Outcome, now time.Duration) {
	u, r := a.up, a.r
	if o.Status == OK || o.Status == Error {
		b.judge(u, o.Status == Error, now)
	} else if o.Status == Full {
		b.answered(u, now)
	}
	switch o.Status {
	case OK:
		w := max(smoothing, 1-u.bound)                           // the rarer its answers, the more each one tells
		follow(&u.latDev, math.Abs(float64(o.Latency)-u.lat), w) // at first as large as the mean
		follow(&u.lat, float64(o.Latency), w)
		follow(&u.units, max(r.units, 0.5), w) // small ones have a fixed part too
		follow(&b.lat, float64(o.Latency), smoothing)
		follow(&r.class.lat, float64(o.Latency), smoothing)
		per, aim := u.lat/u.units, float64(r.class.Aim)
		follow(&u.slow, per, smoothing)
		follow(&u.least, per, leastDrift)
		follow(&u.calm, u.slow, leastDrift)
		u.least, u.calm = min(u.least, per), min(u.calm, u.slow)
		// One met crowded knows no better of itself. Cuts go by the least of a slow mean, since single answers
		// once counted as crowding. Growth goes by the least, or by readings where one answer outweighs the mean.
		least, calm := min(u.least, cmp.Or(b.least, u.least)), min(u.calm, cmp.Or(b.calm, u.calm))
		thin := w > 0.5 && u.readings > 0
		if per > max(crowded*calm, crowdedShare*aim) && !(thin && u.mean < fullUse) {
			b.shrink(u, now, boundCut)
		} else if u.bound < b.start { // it has had its rest
			u.bound = b.start
		} else if idle := float64(o.Latency) < idleShare*aim; (thin || idle || per < easy*least) &&
			2*float64(len(u.outs)+1) > u.bound && // or it grew without end where a cap lay under it
			u.mean < fullUse && now-b.tightAt < max(time.Duration(b.lat), b.tick) {
			spare, most := aim/float64(o.Latency)-1, u.most
			if idle { // many short ones pass before a reading tells of full use: their latency tells first
				most = math.Inf(1)
			}
			if u.Most > 0 {
				most = min(most, float64(u.Most))
			}
			u.bound = max(u.bound, min(u.bound+b.pace*min(1, boundGrowth*spare*spare), most))
		}
	case Full, Timeout:
		b.shrink(u, now, boundCut*boundCut)
	case ConnectFailed, Reset: // down, or its connection table is full: ask less often
		u.freeAt = now + u.wait
		u.wait = min(u.wait*waitGrowth, b.s.Rules.RampTime)
	}
	p := b.pause(u) // one left idle has an attempt in hand: requests come by chance
	u.freeAt = max(u.freeAt, min(now, max(u.freeAt, a.sentAt-p)+now-a.sentAt)+p)
	if b.s.Reports != ReportProbes {
		b.read(u, o.Load, o.Status == OK, float64(o.Latency)/float64(r.class.Aim), now)
	}
	if o.Load.Fields != 0 {
		u.mute = 0
	} else if o.Status == OK {
		u.mute++
	}
	if b.estimated(u) && now-u.readAt >= bandPeriod/bandWindow {
		b.note(u, b.estimate(u), now)
	}
}

// judge counts an answer. An upstream that fails fast always has a turn free, and two of fifteen once drew
// an eighth of all requests: with many more errors than the fleet it gets trials only, as one that is
// silent, and its share is cut by what is lost there.
func (b *Balancer) judge(u *upstream, failed bool, now time.Duration) {
	x := 0.0
	if failed {
		x = 1
	}
	u.failing, u.answers = u.failing+errorWeight*(x-u.failing), u.answers+1
	if failed && u.failing > sickOver { // all may have begun to fail since the last step
		b.failing = b.usual()
	}
	if !failed || b.excess(u) <= sickOver {
		b.answered(u, now)
		return
	}
	if !u.silent {
		u.silent, u.wait, u.trialAt = true, bandWindow*b.tick, now+bandWindow*b.tick
		b.log(now, "sick", "upstream %d answers with errors, more than others do: trials only", u.ID)
	}
	u.wait = min(u.wait, b.s.Rules.RampTime)
}

// excess is the share of errors among u's answers over what a good part of the fleet has: errors that all
// make are of the requests, not of a server.
func (b *Balancer) excess(u *upstream) float64 { return max(0, u.failing-b.failing) }

// health is the part of its share that u keeps for its errors.
func (b *Balancer) health(u *upstream) float64 {
	good := 1 - max(0, b.excess(u)-errorNoise)/(1-errorNoise)
	return max(sickFloor, good*good*good*good)
}

// usual is the share of errors among the answers of a good part of the fleet.
func (b *Balancer) usual() float64 {
	xs := make([]float64, 0, len(b.near)+1)
	for _, u := range b.near {
		if u.member && u.answers > 0 {
			xs = append(xs, u.failing)
		}
	}
	slices.Sort(xs)
	return append(xs, 0)[len(xs)/4]
}

// pause is the wait between attempts at u when its bound is under one.
func (b *Balancer) pause(u *upstream) time.Duration {
	return time.Duration(max(0, 1/u.bound-1) * cmp.Or(u.lat, b.lat))
}

// shrink lowers the bound, once for what was out together.
func (b *Balancer) shrink(u *upstream, now time.Duration, by float64) {
	if now-u.cutAt >= time.Duration(u.lat) {
		u.bound, u.cutAt = max(b.start*boundLeast/boundStart, min(u.bound, float64(len(u.outs)+1))*by), now
	}
}

// read takes a load report as a reading of utilisation. Stand-ins: what is held or waits, and at sites
// without reports the latency as a part of the aim.
func (b *Balancer) read(u *upstream, l Load, ok bool, late float64, now time.Duration) {
	x := l.Util
	switch {
	case l.Fields&HasUtil != 0:
	case l.Fields&(HasInflight|HasQueue) != 0:
		x = 1 - 1/(1+l.Inflight+l.Queue)
	case b.s.Reports == ReportNone && ok:
		x = min(1, late)
	}
	if (l.Fields != 0 && l == u.last) || (l.Fields == 0 && x == 0) { // not refreshed: no new reading
		return
	}
	u.last = l
	b.note(u, x, now)
}

// estimated tells whether u answers and reports nothing. Reports may also be rare, or not read for a while.
func (b *Balancer) estimated(u *upstream) bool {
	return b.s.Reports == ReportAnswers && u.mute >= muteLeast
}

// estimate is the utilisation of such an upstream, by its latency: where half of it is spent in a queue, half
// is used (so the mean has it in M/M/1). The floor is its own least, or that of a good part of the fleet.
func (b *Balancer) estimate(u *upstream) float64 {
	return max(0, 1-min(u.calm, cmp.Or(b.calm, u.calm))/u.slow)
}

// note takes a reading of utilisation into the band.
func (b *Balancer) note(u *upstream, x float64, now time.Duration) {
	b.integrate(u, now)
	u.window[u.readings%bandWindow] = x
	u.readings++
	u.mean, u.dev = bands(u.window[:min(u.readings, bandWindow)])
	if max(x, u.mean) < fullUse/2 { // if all who share it doubled what they send, there would be room
		u.most = max(u.most, 2*u.bound)
	}
}

// bands returns the moving average and the population standard deviation.
func bands(xs []float64) (mean, dev float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		dev += (x - mean) * (x - mean) / float64(len(xs))
	}
	return mean, math.Sqrt(dev)
}

// integrate adds the band gap. A server pinned at full load reads flat, so its level over the fleet's counts.
func (b *Balancer) integrate(u *upstream, now time.Duration) {
	gap := 2 * bandAlpha * (u.dev + max(0, u.mean-max(levelFloor, b.ceiling)))
	u.area, u.readAt = u.area+gap*(now-u.readAt).Seconds()/bandPeriod.Seconds(), now
}

// rank is the value over one in n of the upstreams that have readings: the median for n = 2.
func (b *Balancer) rank(n int, of func(*upstream) float64) float64 {
	xs := make([]float64, 0, len(b.near)+1)
	for _, u := range b.near {
		if u.member && u.readings > 0 {
			xs = append(xs, of(u))
		}
	}
	slices.Sort(xs)
	return append(xs, 0)[len(xs)/n]
}

// step closes the period: saturated upstreams lose share by degrees, the others regain it. The threshold
// follows the fleet's median, so a rise on all servers cuts nobody.
func (b *Balancer) step(now time.Duration) {
	var work, size float64
	for _, u := range b.near {
		b.integrate(u, now)
		u.work, u.carried = carrying(u.work, u.carried), 0
		if u.carries() {
			work, size = work+u.work/u.use(), size+u.weight*u.slice
		}
	}
	b.carry = cmp.Or(work/max(size, math.SmallestNonzeroFloat32), b.carry) // with nobody to judge by, as before
	threshold := b.threshold()
	for _, u := range b.near {
		u.factor = u.cut(u.factor, threshold)
		u.area, u.most = 0, max(2*u.bound, boundStart) // or it grew tenfold before a reading told of full use
	}
	follow(&b.rate, b.asked/max(now-b.stepAt, bandPeriod).Seconds(), rateWeight)
	b.asked = 0
	b.stepAt, b.ceiling = now, b.rank(2, func(u *upstream) float64 { return u.mean })
	b.failing = b.usual()
	b.least = b.rank(4, func(u *upstream) float64 { return u.least })
	b.calm = b.rank(4, func(u *upstream) float64 { return u.calm })
	b.ups = slices.DeleteFunc(b.ups, func(u *upstream) bool { // forget what is gone and owes nothing
		gone := u.State == Gone && len(u.outs) == 0
		if gone {
			delete(b.byID, u.ID)
		}
		return gone
	})
	b.gather(now)
}

// share is u's part of the traffic, not scaled.
func (b *Balancer) share(u *upstream, now time.Duration) float64 {
	return u.weight * u.slice * u.factor * b.health(u) * b.ramp(u, now)
}

// --- Eligibility ---

// patience is how long u may owe every answer before it counts as silent.
func (b *Balancer) patience(u *upstream, units float64) time.Duration {
	usual := max(u.lat+patienceDevs*u.latDev, (1+patienceDevs/2)*b.lat) // one lucky answer is no measure
	return time.Duration(usual*max(1, units)) + b.tick
}

// quiet looks whether u has fallen silent: attempts are out and nothing has come back for longer than its
// patience. Its turns are skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) quiet(u *upstream, now time.Duration) {
	var first *attempt // that owes an answer
	for _, a := range u.outs {
		if !a.r.Sending && (first == nil || a.sentAt < first.sentAt) {
			first = a
		}
	}
	if u.silent || first == nil {
		return
	}
	since, p := now-max(first.sentAt, u.answeredAt), b.patience(u, first.r.units)
	if since <= p {
		return
	}
	u.silent, u.wait, u.trialAt = true, p, now+p
	b.log(now, "silent", "upstream %d owes every answer for %v: turns skipped, trials only", u.ID, since)
	for _, a := range slices.Clone(u.outs) {
		if r := a.r; r.class.Repeat == Unsafe || r.done || r.out > 1 {
			continue
		} else if v, _ := b.pick(r, now); v != nil {
			b.send(r, v, now) // a second copy
		} else if !b.s.Limits.SecondCopies && b.s.Limits.Cancel {
			b.host.Cancel(r.ID, slices.Index(r.attempts, a))
		}
	}
}

// answered notes a sign of life.
func (b *Balancer) answered(u *upstream, now time.Duration) {
	u.silent, u.answeredAt, u.wait = false, now, b.tick
}

// eligible reports whether u may take r at this turn. The bound is a guard: shares decide below it.
func (b *Balancer) eligible(u *upstream, r *request, now time.Duration) bool {
	ok := now >= u.freeAt && float64(len(u.outs)) < max(1, math.Round(u.bound))
	if u.silent { // the safest class goes first as a trial
		ok = now >= u.trialAt && (r.class.Repeat == b.safest || now >= u.trialAt+u.wait)
	}
	ok = ok && (u.Most == 0 || len(u.outs) < u.Most)
	return ok && (b.ramp(u, now) == 1 || b.coldRoom(u, r, now))
}

// --- The pick ---

// pick gives the turn to the upstream due first, an even interleave by shares; legal: any may ever take r.
func (b *Balancer) pick(r *request, now time.Duration) (best *upstream, legal bool) {
	var total float64
	room := b.s.Limits.Out == 0 || b.out < b.s.Limits.Out
	for _, u := range b.near {
		if !u.member {
			continue
		}
		total += b.share(u, now)
		may := b.maySend(r, u, now)
		legal = legal || may
		if may && room && (best == nil || u.due < best.due) && b.eligible(u, r, now) {
			best = u
		}
	}
	if best != nil {
		b.turn = max(b.turn, best.due)
		length := total / b.share(best, now)
		best.due = max(best.due, b.turn-debtRounds*length) + length
	}
	return best, legal
}

// --- Admission ---

// order is that of what is held. While turns suffice the one due first goes first: any other order makes
// somebody wait for nothing, up to his aim. Once they are short, some are lost whatever the order: most worth
// first, then the newest, whose answers come soonest.
func (b *Balancer) order(x, y *request) int {
	if !b.short {
		return cmp.Compare(x.sendBy, y.sendBy)
	}
	return cmp.Or(cmp.Compare(y.worth, x.worth), cmp.Compare(y.heldAt, x.heldAt))
}

// arrange puts what is held into order again: turns are short from the first request that is lost by waiting,
// and suffice again once all that is held starts before the first is due. To foresee the loss by the time
// between turns was worse in bursts; so was to wait until much is lost.
func (b *Balancer) arrange(now time.Duration, lost bool) {
	gap, soonest := max(b.gap, float64(now-b.turnAt)), math.Inf(1)
	lost = lost && max(b.spell, float64(now-b.tightAt)) < gap
	short := b.short || lost
	if short && !lost {
		for _, r := range b.held {
			soonest = min(soonest, float64(r.sendBy-now))
		}
		short = gap*float64(len(b.held)) > soonest
	}
	if short != b.short {
		b.short = short
		slices.SortStableFunc(b.held, b.order)
	}
}

// dispatch sends held requests while turns come free, and ends those that could not be answered in time. A
// first try that fits nowhere shows that no later one fits.
func (b *Balancer) dispatch(now time.Duration) {
	kept, blocked, lost := b.held[:0], false, false
	for _, r := range b.held {
		if !r.done && now >= r.sendBy {
			lost = true
			b.log(now, "shed", "%d held, no turn free within the aim: refusing", len(b.held))
			b.giveUp(r, now)
		} else if !r.done && !blocked {
			if u, _ := b.pick(r, now); u != nil {
				follow(&b.gap, float64(now-b.turnAt), turnWeight)
				b.turnAt = now
				b.send(r, u, now)
				continue
			}
			blocked = len(r.attempts) == 0
		}
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(b.held[len(kept):])
	b.held = kept
	b.arrange(now, lost)
}

// --- Discovery ---

// Members takes what discovery says of the upstreams.
func (b *Balancer) Members(now time.Duration, mode ListMode, list []Upstream) {
	b.catchUp(now)
	if mode == ListFailed { // ask again, later each time and never all instances at once
		b.watchWait = min(max(b.watchWait*waitGrowth, b.s.Rules.AskWithin/32), b.s.Rules.AskWithin/2, watchWaitMost)
		wait := b.watchWait/2 + time.Duration(b.rng.Int64N(int64(b.watchWait)+1))
		b.host.SetTimer(wait, watchToken)
		b.log(now, "discovery", "discovery call failed: asking again in %v", wait)
		return
	}
	b.watchWait = 0
	if len(b.ups) == 0 {
		b.makeRoom(len(list))
	} else if mode != ListDelta {
		named := make(map[UpstreamID]bool, len(list))
		for _, e := range list {
			named[e.ID] = true
		}
		for _, u := range b.ups {
			if !named[u.ID] {
				u.State = Gone
			}
		}
	}
	for _, e := range list {
		b.member(e.clean(), now)
	}
	b.gather(now)
	b.dispatch(now)
}

// Room sets anew how many attempts may be out at an upstream at once; 0: any number.
func (b *Balancer) Room(now time.Duration, id UpstreamID, most int) {
	b.catchUp(now)
	if u := b.byID[id]; u != nil && u.Most != most {
		u.Most = most
		b.dispatch(now)
	}
}

// member applies one list entry.
func (b *Balancer) member(e Upstream, now time.Duration) {
	u := b.byID[e.ID]
	if u == nil && e.State == Gone {
		return
	} else if u == nil {
		u = b.newUpstream()
		*u = upstream{
			weight: e.Weight, factor: 1, most: boundStart, wait: b.tick, spentAt: now, answeredAt: now,
			cutAt: now, freeAt: now, place: mixed(uint64(e.ID)),
		}
		b.byID[e.ID], b.ups = u, append(b.ups, u)
	}
	if e.StartedAt > u.StartedAt { // new, or restarted under the same id
		u.silent, u.freeAt = false, now
		if now-e.StartedAt < b.s.Rules.RampTime {
			b.chill(u, e.StartedAt)
		}
	}
	u.Upstream = e
	if b.s.Weights == WeightLive { // late and the same for all: only its slow mean is safe to follow
		e.Weight = u.weight + smoothing*(e.Weight-u.weight)
	}
	u.weight = max(e.Weight, math.SmallestNonzeroFloat32)
}

// width is how many of n upstreams this balancer uses: few, or connections run out and no balancer sees
// enough of any; more where it has the requests. Over k counts vary by chance as rate/k, and by places of
// turns as k/6: the sum is least at √(6 rate), hardly more with fewer connections.
func (b *Balancer) width(n float64) float64 {
	of := func(sharers float64) float64 { return n * sharers / max(sharers, float64(b.s.Balancers)-sharers) }
	few := min(n, max(subsetLeast, of(sharers)))
	want := min(n, max(few, min(of(sharersMost), math.Sqrt(evenTurns*cmp.Or(b.fair, b.rate)))))
	b.pace = few / max(want, 1) // more that share an upstream cut it by less each: they grow by less too
	// One with several times the traffic of the others filled its few while theirs stood idle: it uses as many
	// times more, with as many turns at first over all of them.
	over := max(1, b.rate/cmp.Or(b.fair, math.Inf(1)))
	if over > max(1, b.wide)*rateNoise || over < b.wide/rateNoise {
		b.wide = over
	}
	return max(1, min(n, want*max(1, b.wide)))
}

// gather chooses the upstreams that this balancer uses. All see the same ring of them, and each one uses a
// stretch from a place of its own, its ends in part: what all use adds up to the same everywhere. Cold and
// silent ones stay in the stretch, which goes on until as many are warm as few sharers have.
func (b *Balancer) gather(now time.Duration) {
	if b.gathered = b.unmoved(); b.gathered { // it would come to the same
		b.skip(b.chosen)
		return
	}
	ring := b.active
	n, total := float64(len(ring)), 0.0
	for _, u := range ring {
		total += b.arc(u)
	}
	want := b.width(n)
	b.went = ringed{len(ring), want, b.pace, b.s.Rank, b.s.Balancers}
	b.start = boundStart * max(n, 1) / want / float64(b.s.Balancers)
	first, at := 0, lattice(b.s.Rank, b.s.Balancers)*total
	for ; first < len(ring)-1 && at >= b.arc(ring[first]); first++ {
		at -= b.arc(ring[first])
	}
	left, least := want*total/max(n, 1), sliceLeast*total/max(n, 1)
	few, good := left*(1-b.pace), left*b.pace // the stretch of few sharers ends there; so much is wanted warm
	chosen, end := make(map[*upstream]float64, int(want)+1), -left
	b.warm = false
	for i := 0; i < len(ring) && left > end && (max(left, good) > least/2 || i < subsetLeast); i++ {
		u := ring[(first+i)%len(ring)]
		part := max(0, min(b.arc(u)-at, max(left, good)))
		at, left = 0, left-part
		if u.cold && left+part <= few { // few learn a cold one, with more of their traffic each, or all crowd it
			continue
		} else if !u.cold && !u.silent {
			good -= part
			b.warm = true
		}
		if u.slice = min(1, max(part, least)/b.arc(u)); want == n {
			u.slice = 1
		}
		if u.cold {
			u.slice /= b.pace
		}
		chosen[u] = (float64(i) + b.rng.Float64()) / want
	}
	b.near, b.chosen = b.near[:0], len(chosen)
	for _, u := range b.ups {
		first, chosen := chosen[u]
		if chosen && !u.member { // first turns go round the stretch, so those of all balancers round the ring
			u.bound, u.readAt, u.due = cmp.Or(u.bound, b.start), now, b.turn+first*want
			late := min(1, math.Floor(first*want)/want) // or all crowd it
			u.freeAt = max(u.freeAt, now+time.Duration(late*float64(b.pause(u))))
			u.spent, u.spentAt = first, now
			u.probedAt = now - time.Duration(first*float64(bandPeriod))
		}
		if u.member = chosen; u.member || len(u.outs) > 0 {
			b.near = append(b.near, u)
		}
	}
}

// arc is the length of u's place on the ring: its size, as listed. Sizes that are told anew all the time are
// none, or the places of all others would move with them.
func (b *Balancer) arc(u *upstream) float64 {
	if b.s.Weights == WeightLive {
		return 1
	}
	return u.weight
}

// Probed takes a probe's result: a reading only, since a shallow probe proves no more than a process.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	b.catchUp(now)
	if u := b.byID[p.Upstream]; u != nil && p.Status == OK {
		b.read(u, p.Load.clean(), false, 0, now)
	}
}

// --- Timers ---

// Timer takes a timer that the Balancer has set.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token != tickToken { // watchToken; a stray one must not start a second row of ticks
		b.host.Watch(true)
		return
	}
	if b.resting { // no tick is owed
		return
	}
	b.nextTick(now)
	if now-b.stepAt >= bandPeriod {
		b.step(now)
	}
	ask := b.s.Reports == ReportProbes && b.s.Limits.Probes
	for _, u := range b.near {
		b.quiet(u, now)
		if ask && u.member && now-u.probedAt >= bandPeriod {
			u.probedAt = now
			b.host.Probe(u.ID)
		}
	}
	b.dispatch(now)
}
