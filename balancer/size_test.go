package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// What docs/CAPACITY.md says of the module at 1,500 balancers, 18,000 upstreams, 490 services and 250,000 requests a
// second comes from the benchmarks of this file: go test -run - -bench
// 'Users|AllServices|Held|Thin|ColdAt|Silent|Slow|Parts|Told' -benchtime 1x .

const (
	planBalancers = 1500
	planRate      = 250_000.0 / 18_000 // requests a second of an upstream
)

// planned returns a Balancer of a service with n upstreams.
func planned(b *testing.B, balancers, rank, n int, hook actionHook) *Balancer {
	s := settings()
	s.Balancers, s.Rank, s.Tenants = balancers, rank, nil
	s.Rules.SlowStartFloor = 0.33 // as serve has it
	x, err := New(s, uint64(rank)+1, 0, quietHost{hook})
	if err != nil {
		b.Fatal(err)
	}
	x.EndpointsUpdated(0, ListFull, fleet(n))
	return x
}

// actionHook is told what a Balancer asks its Host to do.
type actionHook func(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64)

// quietHost tells a hook and keeps nothing.
type quietHost struct{ hook actionHook }

func (h quietHost) tell(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64) {
	if h.hook != nil {
		h.hook(kind, id, up, d, n)
	}
}

func (h quietHost) Send(id RequestID, up UpstreamID, d time.Duration) { h.tell("send", id, up, d, 0) }

func (h quietHost) Reject(id RequestID, d time.Duration) { h.tell("refuse", id, 0, d, 0) }

func (h quietHost) Fail(id RequestID)                  { h.tell("fail", id, 0, 0, 0) }
func (h quietHost) Cancel(id RequestID, n int)         {}
func (h quietHost) HealthCheck(up UpstreamID)          {}
func (h quietHost) CloseIdle(up UpstreamID)            {}
func (h quietHost) WatchEndpoints(on bool)             {}
func (h quietHost) SetTimer(d time.Duration, n uint64) { h.tell("timer", 0, 0, d, n) }
func (h quietHost) FetchEndpoints()                    {}
func (h quietHost) Log(string)                         {}

// How many upstreams a balancer uses of services of all sizes, and how many balancers an upstream has.
func BenchmarkUsers(b *testing.B) {
	for _, n := range []int{2, 10, 37, 150, 300, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			users, used := map[UpstreamID]int{}, 0
			for b.Loop() {
				clear(users)
				used = 0
				for rank := range planBalancers {
					for _, u := range planned(b, planBalancers, rank, n, nil).subset.upstreams {
						users[u.ID]++
						used++
					}
				}
			}
			least, most := planBalancers, 0
			for id := 1; id <= n; id++ {
				least, most = min(least, users[UpstreamID(id)]), max(most, users[UpstreamID(id)])
			}
			b.ReportMetric(float64(used)/planBalancers, "upstreams/balancer")
			b.ReportMetric(float64(least), "balancers/upstream-least")
			b.ReportMetric(float64(most), "balancers/upstream-most")
		})
	}
}

// sizes are those of 490 services with 18,000 upstreams, 2 to 2,000 each, by Zipf's law.
func sizes() []int {
	at := func(scale float64) (all []int, sum int) {
		for i := range 490 {
			n := int(min(2000, max(2, scale*math.Pow(float64(i+1), -1.1))))
			all, sum = append(all, n), sum+n
		}
		return all, sum
	}
	low, high := 2000.0, 1e6
	for range 60 {
		if _, sum := at((low + high) / 2); sum <= 18_000 {
			low = (low + high) / 2
		} else {
			high = (low + high) / 2
		}
	}
	all, sum := at(low)
	for i := 100; sum < 18_000; i, sum = i+1, sum+1 { // what rounding has left
		all[i]++
	}
	return all
}

// What one balancer uses of all services: upstreams, connections that stand open and that are opened anew a second
// where one is closed after 55 s without use, and for how much of its requests the upstream has filled a window of
// readings within so many seconds. Requests are even by upstream, or by Zipf's law over services of any size, a tenth
// of which has none. A sixth: each balancer has every sixth service.
func BenchmarkAllServices(b *testing.B) {
	for _, how := range []string{"even", "skewed", "a sixth, even", "a sixth, skewed"} {
		b.Run(how, func(b *testing.B) {
			p := newServicePlan(how)
			var use serviceUse
			for b.Loop() {
				use = serviceUse{within: make([]float64, len(useWindows))}
				for i, n := range p.upstreams {
					for rank := range useRanks {
						use.add(p.balancer(b, i, n, rank), p.parts[i] > 0, p.groups)
					}
				}
			}
			b.ReportMetric(float64(slices.Min(p.upstreams)), "smallest")
			b.ReportMetric(use.used, "used")
			b.ReportMetric(use.open, "open")
			b.ReportMetric(use.opened, "opened/s")
			for k, w := range useWindows {
				b.ReportMetric(use.within[k], fmt.Sprintf("window-in-%vs", w))
			}
		})
	}
}

const (
	useRanks       = 10   // balancers that are looked at of each service
	useIdleSeconds = 55.0 // after them an unused connection is closed
)

var useWindows = [...]float64{8, 30, 60, 300} // seconds

// servicePlan is how many upstreams the services have, and which part of all requests.
type servicePlan struct {
	groups, balancers int // services that share a balancer; balancers of a service
	upstreams         []int
	parts             []float64
	sum               float64 // of the parts
}

func newServicePlan(how string) *servicePlan {
	skewed := strings.HasSuffix(how, "skewed")
	p := &servicePlan{groups: 1, upstreams: sizes()}
	if strings.HasPrefix(how, "a sixth") {
		p.groups = 6
	}
	p.balancers = planBalancers / p.groups
	p.parts = make([]float64, len(p.upstreams))
	places := rand.New(rand.NewPCG(1, 1)).Perm(len(p.upstreams))
	for i, n := range p.upstreams {
		switch {
		case !skewed:
			p.parts[i] = float64(n)
		case places[i] < len(p.upstreams)*9/10:
			p.parts[i] = 1 / float64(places[i]+1)
		}
		p.sum += p.parts[i]
	}
	return p
}

// balancer is one of service i, with n upstreams and its usual rate.
func (p *servicePlan) balancer(b *testing.B, i, n, rank int) *Balancer {
	x := planned(b, p.balancers, (rank*p.balancers/useRanks+i)%p.balancers, n, nil)
	x.arrivals.perSecond = planRate * 18_000 / float64(p.balancers) * p.parts[i] / p.sum
	x.chooseSubset(0)
	return x
}

// serviceUse is what one balancer uses of all services, in the mean.
type serviceUse struct {
	used, open, opened float64
	within             []float64
}

func (use *serviceUse) add(x *Balancer, hasRequests bool, groups int) {
	if !hasRequests {
		return
	}
	parts := 0.0
	for _, u := range x.subset.upstreams {
		parts += u.share.subsetPart
	}
	use.used += float64(len(x.subset.upstreams)) / useRanks / float64(groups)
	for _, u := range x.subset.upstreams {
		rate := x.arrivals.perSecond * u.share.subsetPart / parts
		use.open += (1 - math.Exp(-rate*useIdleSeconds)) / useRanks / float64(groups)
		use.opened += rate * math.Exp(-rate*useIdleSeconds) / useRanks / float64(groups)
		for k, w := range useWindows {
			if bandWindow/rate <= w {
				use.within[k] += rate / useRanks / float64(groups) / (planRate * 18_000 / planBalancers)
			}
		}
	}
}

// What a module holds, in bytes of heap, by its upstreams.
func BenchmarkHeld(b *testing.B) {
	for _, upstreams := range []int{0, 37, 370, 2000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			const modules = 20
			s := settings()
			s.Balancers, s.Tenants = planBalancers, nil
			list := fleet(upstreams)
			bytes := 0.0
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				all := make([]*Balancer, modules)
				for i := range all {
					all[i], _ = New(s, 1, 0, quietHost{})
					if upstreams > 0 {
						all[i].EndpointsUpdated(0, ListFull, list)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				bytes = float64(after.HeapAlloc-before.HeapAlloc) / modules
				runtime.KeepAlive(all)
			}
			b.ReportMetric(bytes, "bytes/module")
			b.ReportMetric(bytes/float64(max(upstreams, 1)), "bytes/entry")
		})
	}
}

// What a warming upstream gets from 1,500 balancers: each has its own even part of the service's requests, by chance in
// time, and a window of readings when the upstream starts anew. Reported are the seconds until its first call, what it
// was sent in its ramp as a part of what a warm one gets in that time, and the most in any window as a part of that
// window's budget; over several starts, the mean and the worst. Of 250 balancers: where one in six has the service.
func BenchmarkColdAt(b *testing.B) {
	const all, sixth = planBalancers, planBalancers / 6
	for _, x := range []struct{ n, balancers int }{
		{2, all}, {10, all}, {37, all}, {150, all}, {300, all}, {2, sixth}, {10, sixth}, {37, sixth},
	} {
		b.Run(fmt.Sprintf("%d of %d", x.n, x.balancers), func(b *testing.B) {
			var first, part, worst []float64
			users, never := 0, 0
			for b.Loop() {
				first, part, worst, never = nil, nil, nil, 0
				for seed := range 5 {
					f, p, w, u := playSlowStart(b, x.balancers, x.n, uint64(seed))
					users, part, worst = u, append(part, p), append(worst, w)
					if math.IsInf(f, 1) {
						never++
					} else {
						first = append(first, f)
					}
				}
			}
			sum := func(xs []float64) (s float64) {
				for _, x := range xs {
					s += x / float64(len(xs))
				}
				return s
			}
			b.ReportMetric(float64(users), "users")
			b.ReportMetric(sum(first), "s-to-first")
			b.ReportMetric(slices.Max(append(first, 0)), "s-to-first-worst")
			b.ReportMetric(sum(part), "of-a-warm-one")
			b.ReportMetric(slices.Max(worst), "of-window-worst")
			b.ReportMetric(float64(never), "never-in-ramp")
		})
	}
}

// balancerAt is one of many balancers of a service, which do not talk: so one plays after the other.
type balancerAt struct {
	*Balancer
	now, ticks, next time.Duration
	owed             []answerAt
	asked            RequestID
	rate             float64 // requests a second
	took             time.Duration
	rng              *rand.Rand
	sent             func(up UpstreamID)
	refused, tries   int // tries: sent to one that is dead
	dead             func(up UpstreamID) bool
	slow             UpstreamID // it takes three times as long, and says that it is full
	came             map[RequestID]time.Duration
	attempts         map[RequestID]int
	waited           time.Duration // of those that were sent, together
}

type answerAt struct {
	at time.Duration
	id RequestID
	up UpstreamID
	n  int // of the request's attempts
	ok bool
}

func newBalancerAt(b *testing.B, balancers, rank, n int, rng *rand.Rand) *balancerAt {
	x := &balancerAt{
		rate: planRate * float64(n) / float64(balancers), took: 50 * ms, rng: rng,
		sent: func(UpstreamID) {}, dead: func(UpstreamID) bool { return false },
		came: map[RequestID]time.Duration{}, attempts: map[RequestID]int{},
	}
	x.Balancer = planned(b, balancers, rank, n, func(kind string, r RequestID, up UpstreamID, d time.Duration, n uint64) {
		switch {
		case kind == "send":
			a := answerAt{x.now + x.took, r, up, x.attempts[r], true}
			if up == x.slow {
				a.at += 2 * x.took
			}
			if x.attempts[r]++; x.dead(up) {
				a.at, a.ok = x.now+500*ms, false
				x.tries++
			}
			at, _ := slices.BinarySearchFunc(x.owed, a, func(p, q answerAt) int { return cmp.Compare(p.at, q.at) })
			x.owed = slices.Insert(x.owed, at, a)
			x.waited += x.now - x.came[r]
			x.sent(up)
		case kind == "refuse" || kind == "fail":
			x.refused++
		case kind == "timer" && n == tickToken:
			x.ticks = x.now + d
		}
	})
	x.ticks, x.next = x.tickInterval, x.gap()
	return x
}

func (x *balancerAt) gap() time.Duration {
	return time.Duration(x.rng.ExpFloat64() / x.rate * float64(time.Second))
}

// load is what an upstream reports: a use about a half, or about all.
func (x *balancerAt) load(up UpstreamID) Load {
	use := 0.5
	if up == x.slow {
		use = 0.95
	}
	return Load{Fields: HasUtil, Util: min(1, use+0.03*x.rng.NormFloat64())}
}

// play goes on to a moment.
func (x *balancerAt) play(until time.Duration) {
	for {
		at := min(x.ticks, x.next)
		if len(x.owed) > 0 {
			at = min(at, x.owed[0].at)
		}
		if at >= until {
			x.now = until
			return
		}
		x.now = at
		switch {
		case len(x.owed) > 0 && x.owed[0].at == at:
			a := x.owed[0]
			x.owed = x.owed[1:]
			o := AttemptResult{
				ID: a.id, Upstream: a.up, Attempt: a.n, Latency: x.took, Status: OK, Closed: true, Load: x.load(a.up),
			}
			if a.up == x.slow {
				o.Latency = 3 * x.took
			}
			if !a.ok {
				o = AttemptResult{ID: a.id, Upstream: a.up, Attempt: a.n, Latency: 500 * ms, Status: ConnectFailed}
			}
			x.AttemptFinished(at, o)
		case x.ticks == at:
			x.ticks = math.MaxInt64
			x.TimerFired(at, tickToken)
		default:
			x.asked++
			x.next = at + x.gap()
			x.came[x.asked] = at
			x.RequestArrived(at, Request{ID: x.asked, Class: "read", Budget: time.Second})
		}
	}
}

// What becomes of the requests of a service while nothing happens, where each balancer sees few of them: the part that
// is rejected in the first two minutes and in the ten after them, and how long one waits in the mean.
func BenchmarkThin(b *testing.B) {
	for _, n := range []int{2, 10, 37, 150, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var asked, refused [2]float64
			waited := 0.0
			for b.Loop() {
				asked, refused, waited = [2]float64{}, [2]float64{}, 0
				rng := rand.New(rand.NewPCG(uint64(n), 9))
				for rank := 0; rank < planBalancers; rank += max(1, n/10) {
					x := newBalancerAt(b, planBalancers, rank, n, rng)
					x.play(2 * time.Minute)
					asked[0], refused[0] = asked[0]+float64(x.asked), refused[0]+float64(x.refused)
					first, before := x.refused, x.asked
					x.play(12 * time.Minute)
					asked[1], refused[1] = asked[1]+float64(x.asked-before), refused[1]+float64(x.refused-first)
					waited += x.waited.Seconds() * 1000
				}
			}
			b.ReportMetric(refused[0]/asked[0], "refused-first-2min")
			b.ReportMetric(refused[1]/asked[1], "refused-then")
			b.ReportMetric(waited/(asked[0]+asked[1]), "ms-waited")
			b.ReportMetric(asked[0]+asked[1], "requests")
		})
	}
}

// playSlowStart plays one start of an upstream of a service with n.
func playSlowStart(b *testing.B, balancers, n int, seed uint64) (first, part, worst float64, users int) {
	const born = 2 * time.Minute // readings come rarely at this size
	id := UpstreamID(1 + seed%uint64(n))
	rng := rand.New(rand.NewPCG(seed, 7))
	var sent []time.Duration
	rules := settings().Rules
	for rank := range balancers {
		x := newBalancerAt(b, balancers, rank, n, rng)
		if n > 10 && !slices.ContainsFunc(x.subset.upstreams, func(u *upstreamState) bool { return u.ID == id }) {
			continue // its stretch lies elsewhere; among few each may come to use it
		}
		users++
		x.sent = func(up UpstreamID) {
			if up == id && x.now >= born {
				sent = append(sent, x.now-born)
			}
		}
		x.play(born)
		list := fleet(n)[id-1 : id]
		list[0].StartedAt = born
		x.EndpointsUpdated(born, ListDelta, list)
		x.play(born + rules.SlowStartDuration)
	}
	slices.Sort(sent)
	first = math.Inf(1)
	if len(sent) > 0 {
		first = sent[0].Seconds()
	}
	capacity := planRate / 0.5 // it stands at half of its use
	ramp := func(at time.Duration) float64 { return 0.33 + (1-0.33)*at.Seconds()/rules.SlowStartDuration.Seconds() }
	for i, j := 0, 0; i < len(sent); i++ {
		for ; sent[j] <= sent[i]-rules.OverloadWindow; j++ {
		}
		worst = max(worst, float64(i-j+1)/(rules.OverloadMultiple*capacity*rules.OverloadWindow.Seconds()*ramp(sent[i])))
	}
	return first, float64(len(sent)) / (planRate * rules.SlowStartDuration.Seconds()), worst, users
}

// How much of what a tenant sends within its quota counts as over it, where each of 1,500 balancers has an even part of
// the quota: by the quota, the part of it that is sent, and over how many balancers that comes.
func BenchmarkParts(b *testing.B) {
	for _, x := range []struct {
		quota, part float64
		over        int
	}{{10, 0.5, 1500}, {10, 0.5, 4}, {1500, 0.5, 1500}, {1500, 0.5, 150}, {15000, 0.5, 1500}, {15000, 0.9, 1500}} {
		b.Run(fmt.Sprintf("quota %v of it %v over %v", x.quota, x.part, x.over), func(b *testing.B) {
			asked, flagged := 0.0, 0.0
			for b.Loop() {
				asked, flagged = 0, 0
				rng := rand.New(rand.NewPCG(1, 2))
				for range 20 { // balancers
					asked += 5000
					flagged += float64(countOver(b, rng, x.quota, x.quota*x.part/float64(x.over), 5000))
				}
			}
			b.ReportMetric(flagged/asked, "counted-over")
		})
	}
}

// countOver is how many of a tenant's requests at one balancer count as over its quota, at a rate.
func countOver(b *testing.B, rng *rand.Rand, quota, rate float64, requests int) (over int) {
	s := settings()
	s.Balancers, s.Tenants = planBalancers, NewTenants([]Tenant{{Name: "one", Quota: quota}})
	balancer, err := New(s, 1, 0, quietHost{})
	if err != nil {
		b.Fatal(err)
	}
	now := 0.0
	for range requests {
		now += rng.ExpFloat64() / rate
		if balancer.overQuota("one", time.Duration(now*float64(time.Second))) {
			over++
		}
	}
	return over
}

// What a module takes to hear of one upstream that drains or is back, of a whole list, and to take one request and its
// answer, by its upstreams.
func BenchmarkTold(b *testing.B) {
	for _, n := range []int{2, 37, 300, 2000, 18_000} {
		x := planned(b, planBalancers, 0, n, nil)
		list, now := fleet(n), time.Duration(0)
		b.Run(fmt.Sprint(n, " one"), func(b *testing.B) {
			for b.Loop() {
				now += ms
				list[0].State ^= Draining
				x.EndpointsUpdated(now, ListDelta, list[:1])
			}
		})
		b.Run(fmt.Sprint(n, " all"), func(b *testing.B) {
			for b.Loop() {
				now += ms
				x.EndpointsUpdated(now, ListFull, list)
			}
		})
		b.Run(fmt.Sprint(n, " step"), func(b *testing.B) { // what a pool's module does each second, whether or not it is used
			for b.Loop() {
				now += time.Second
				x.endPeriod(now)
			}
		})
	}
}

// What becomes of a service's requests when a part of its upstreams falls silent and nobody tells: new connections do
// not come up within the 500 ms that serve gives them. Reported are the part of requests that is sent first to a silent
// one, and that has no answer in time, in the first 6 s, in the minute after them, in the first 10 s after all are
// back, and in the 20 s after these.
func BenchmarkSilent(b *testing.B) {
	for _, n := range []int{10, 37, 300} {
		for _, lost := range []float64{1.0 / 19, 5.0 / 6} {
			b.Run(fmt.Sprintf("%d lost %.2f", n, lost), func(b *testing.B) {
				var count silentCount
				for b.Loop() {
					count = silentCount{}
					rng := rand.New(rand.NewPCG(uint64(n), 11))
					for rank := 0; rank < planBalancers; rank += planBalancers / 300 {
						x := newBalancerAt(b, planBalancers, rank, n, rng)
						x.play(2 * time.Minute)
						count.play(x, func(up UpstreamID) bool { return float64(up-1) < math.Round(lost*float64(n)) })
					}
				}
				for part, name := range []string{"first-6s", "then", "back", "later"} {
					b.ReportMetric(count.tried[part]/count.asked[part], "sent-to-silent-"+name)
					b.ReportMetric(count.late[part]/count.asked[part], "not-served-"+name)
				}
			})
		}
	}
}

// silentCount counts requests by the part of the course in which they came.
type silentCount struct{ asked, tried, late [4]float64 }

// play lets upstreams fall silent after two minutes, and come back after 66 s.
func (c *silentCount) play(x *balancerAt, dead func(up UpstreamID) bool) {
	x.dead = dead
	for part, until := range []time.Duration{126 * time.Second, 186 * time.Second, 196 * time.Second, 216 * time.Second} {
		if part == 2 {
			x.dead = func(UpstreamID) bool { return false }
		}
		before, tries, lates := x.asked, x.tries, x.refused
		x.play(until)
		c.asked[part] += float64(x.asked - before)
		c.tried[part] += float64(x.tries - tries)
		c.late[part] += float64(x.refused - lates)
	}
}

// How soon the share of an upstream falls that becomes three times slower and reports that it is full: what is sent to
// it of what was sent before, in the spans that end after so many seconds. Either each balancer reads what its own
// answers say, or all are told a reading of each upstream that they use once a second, as balancers of a region could
// tell each other. And the same where only one in six balancers has the service.
func BenchmarkSlow(b *testing.B) {
	for _, n := range []int{10, 37, 300} {
		for _, how := range []string{"own", "shared", "a sixth, own", "a sixth, shared"} {
			b.Run(fmt.Sprintf("%d %s", n, how), func(b *testing.B) {
				balancers, shared := planBalancers, strings.HasSuffix(how, "shared")
				if strings.HasPrefix(how, "a sixth") {
					balancers /= 6
				}
				var sent slowCount
				for b.Loop() {
					sent = slowCount{}
					rng := rand.New(rand.NewPCG(uint64(n), 13))
					for rank := range balancers {
						sent.play(newBalancerAt(b, balancers, rank, n, rng), shared)
					}
				}
				from := 0
				for i, end := range slowEnds {
					b.ReportMetric(sent[i+1]/float64(end-from)/(sent[0]/60), fmt.Sprintf("left-to-%ds", end))
					from = end
				}
			})
		}
	}
}

// slowEnds are the ends of the spans after an upstream became slow, in seconds.
var slowEnds = [...]int{10, 30, 60, 300}

// slowCount is what was sent to that upstream: in the minute before, and in each span.
type slowCount [len(slowEnds) + 1]float64

// play lets an upstream become slow after two minutes, if the balancer uses it.
func (c *slowCount) play(x *balancerAt, shared bool) {
	const slow = 1
	if !slices.ContainsFunc(x.subset.upstreams, func(u *upstreamState) bool { return u.ID == slow }) {
		return
	}
	span := 0
	x.sent = func(up UpstreamID) {
		if up == slow {
			c[span]++
		}
	}
	before := c[0]
	x.playSeconds(0, 60, shared)
	c[0] = before // the first minute is no measure
	x.playSeconds(60, 120, shared)
	x.slow = slow
	from := 120
	for i, end := range slowEnds {
		span = i + 1
		x.playSeconds(from, 120+end, shared)
		from = 120 + end
	}
}

// playSeconds goes on second by second; after each a shared reading of all members comes in.
func (x *balancerAt) playSeconds(from, to int, shared bool) {
	for second := from; second < to; second++ {
		x.play(time.Duration(second+1) * time.Second)
		for _, u := range x.subset.upstreams {
			if shared && u.inSubset {
				x.HealthCheckFinished(x.now, HealthCheckResult{Upstream: u.ID, Status: OK, Load: x.load(u.ID)})
			}
		}
	}
}

// 1,500 balancers that have requests at the same times keep within the budget of a warming upstream, and send it a
// request within its first second. TestWarmUpBudgetHoldsForTheFleet has up to 300 balancers and shorter gaps.
func TestWarmUpBudgetHoldsFor1500Balancers(t *testing.T) {
	for _, capacity := range []float64{3, 40} { // requests a second of a warm upstream
		for _, fault := range []string{"", "restart", "late", "all warming"} {
			t.Run(fmt.Sprint(capacity, fault), func(t *testing.T) {
				t.Parallel()
				f := newWarmUpFleet(t, planBalancers, capacity, fault == "all warming")
				f.run(250*ms, fault)
				peak, breach := f.peakLoad(capacity)
				switch {
				case breach != "":
					t.Error(breach)
				case len(f.sentAt) == 0 || f.sentAt[0] > f.startedAt+time.Second:
					t.Errorf("%d sent, none in the first second", len(f.sentAt))
				}
				t.Logf("%d sent, at most %.2f of the budget", len(f.sentAt), peak)
			})
		}
	}
}
