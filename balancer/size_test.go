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

// The benchmarks of this file produce the figures of docs/CAPACITY.md for the decision module with 1,500 balancers,
// 18,000 upstreams, 490 services and 250,000 requests a second: go test -run - -bench
// 'Users|AllServices|Held|Thin|ColdAt|Silent|Slow|Parts|Told' -benchtime 1x .

const (
	planBalancers = 1500
	planRate      = 250_000.0 / 18_000 // requests a second per upstream
)

// newPlannedBalancer returns a Balancer of a service with n upstreams.
func newPlannedBalancer(b *testing.B, balancers, rank, n int, hook actionHook) *Balancer {
	s := settings()
	s.Balancers, s.Rank, s.Tenants = balancers, rank, nil
	s.Rules.SlowStartFloor = 0.33 // as in the serve command
	x, err := New(s, uint64(rank)+1, 0, hookHost{hook})
	if err != nil {
		b.Fatal(err)
	}
	x.EndpointsUpdated(0, ListFull, fleet(n))
	return x
}

// actionHook is called with each action that a Balancer asks of its Host.
type actionHook func(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64)

// hookHost is a Host that passes some actions to a hook and records nothing.
type hookHost struct{ hook actionHook }

func (h hookHost) act(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64) {
	if h.hook != nil {
		h.hook(kind, id, up, d, n)
	}
}

func (h hookHost) Send(id RequestID, up UpstreamID, d time.Duration) { h.act("send", id, up, d, 0) }

func (h hookHost) Reject(id RequestID, d time.Duration) { h.act("refuse", id, 0, d, 0) }

func (h hookHost) Fail(id RequestID)                  { h.act("fail", id, 0, 0, 0) }
func (h hookHost) Cancel(id RequestID, n int)         {}
func (h hookHost) HealthCheck(up UpstreamID)          {}
func (h hookHost) CloseIdle(up UpstreamID)            {}
func (h hookHost) WatchEndpoints(on bool)             {}
func (h hookHost) SetTimer(d time.Duration, n uint64) { h.act("timer", 0, 0, d, n) }
func (h hookHost) FetchEndpoints()                    {}
func (h hookHost) Log(string)                         {}

// BenchmarkUsers reports how many upstreams of a service a balancer uses, and how many balancers use an upstream.
func BenchmarkUsers(b *testing.B) {
	for _, n := range []int{2, 10, 37, 150, 300, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			users, used := map[UpstreamID]int{}, 0
			for b.Loop() {
				clear(users)
				used = 0
				for rank := range planBalancers {
					for _, u := range newPlannedBalancer(b, planBalancers, rank, n, nil).subset.upstreams {
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

// serviceSizes returns the numbers of upstreams of 490 services: 18,000 in total, 2 to 2,000 each, by Zipf's law.
func serviceSizes() []int {
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
	for i := 100; sum < 18_000; i, sum = i+1, sum+1 { // the rest from rounding
		all[i]++
	}
	return all
}

// BenchmarkAllServices reports, for one balancer and all services, the number of upstreams that it uses, its open
// connections, the connections that it opens per second if each is closed after 55 s without use, and the part of its
// requests that go to upstreams whose window of readings fills within the given seconds. Requests are even over the
// upstreams, or follow Zipf's law over the services, a tenth of which get none. "A sixth" means that each balancer has
// only every sixth service.
func BenchmarkAllServices(b *testing.B) {
	for _, traffic := range []string{"even", "skewed", "a sixth, even", "a sixth, skewed"} {
		b.Run(traffic, func(b *testing.B) {
			p := newServicePlan(traffic)
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
	useRanks       = 10   // balancers sampled per service
	useIdleSeconds = 55.0 // time after which an unused connection is closed
)

var useWindows = [...]float64{8, 30, 60, 300} // seconds

// servicePlan holds the number of upstreams of each service and its part of all requests.
type servicePlan struct {
	groups, balancers int // each balancer has every groups-th service; balancers per service
	upstreams         []int
	parts             []float64 // not normalised
	sum               float64   // of the parts
}

func newServicePlan(traffic string) *servicePlan {
	skewed := strings.HasSuffix(traffic, "skewed")
	p := &servicePlan{groups: 1, upstreams: serviceSizes()}
	if strings.HasPrefix(traffic, "a sixth") {
		p.groups = 6
	}
	p.balancers = planBalancers / p.groups
	p.parts = make([]float64, len(p.upstreams))
	popularityRank := rand.New(rand.NewPCG(1, 1)).Perm(len(p.upstreams))
	for i, n := range p.upstreams {
		switch {
		case !skewed:
			p.parts[i] = float64(n)
		case popularityRank[i] < len(p.upstreams)*9/10:
			p.parts[i] = 1 / float64(popularityRank[i]+1)
		}
		p.sum += p.parts[i]
	}
	return p
}

// balancer returns one of the balancers of service i, which has n upstreams, at its rate of requests.
func (p *servicePlan) balancer(b *testing.B, i, n, rank int) *Balancer {
	x := newPlannedBalancer(b, p.balancers, (rank*p.balancers/useRanks+i)%p.balancers, n, nil)
	x.arrivals.perSecond = planRate * 18_000 / float64(p.balancers) * p.parts[i] / p.sum
	x.chooseSubset(0)
	return x
}

// serviceUse is the mean use of all services by one balancer.
type serviceUse struct {
	used, open, opened float64   // upstreams; connections; connections opened per second
	within             []float64 // part of requests, by useWindows
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

// BenchmarkHeld reports the heap use of a Balancer by its number of upstreams.
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
					all[i], _ = New(s, 1, 0, hookHost{})
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

// BenchmarkColdAt reports the requests that a warming upstream gets from 1,500 balancers, or from the 250 that have the
// service if one in six has it. Each balancer has an even part of the service's requests, at random times, and a full
// window of readings when the upstream restarts. It reports over several starts the time until the first request (mean
// and worst), the requests during slow start as a ratio of those to a warm upstream (mean), and the most requests in a
// window as a ratio of its budget (worst).
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
					f, p, w, u := simulateSlowStart(b, x.balancers, x.n, uint64(seed))
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

// simulatedBalancer simulates one of many balancers of a service with its requests. The balancers do not communicate,
// so they can be simulated one after the other.
type simulatedBalancer struct {
	*Balancer
	now, tickAt, arrivalAt time.Duration
	answers                []scheduledAnswer // by time
	arrived                RequestID         // number of requests, and ID of the last one
	rate                   float64           // requests a second
	answerLatency          time.Duration
	rng                    *rand.Rand
	onSend                 func(up UpstreamID)
	lost, silentSends      int // requests rejected or failed; attempts sent to silent upstreams
	isSilent               func(up UpstreamID) bool
	slow                   UpstreamID // takes three times as long and reports nearly full utilisation
	arrivedAt              map[RequestID]time.Duration
	attempts               map[RequestID]int
	waited                 time.Duration // total time from arrival to each attempt
}

type scheduledAnswer struct {
	at time.Duration
	id RequestID
	up UpstreamID
	n  int // index of the attempt
	ok bool
}

func newSimulatedBalancer(b *testing.B, balancers, rank, n int, rng *rand.Rand) *simulatedBalancer {
	x := &simulatedBalancer{
		rate: planRate * float64(n) / float64(balancers), answerLatency: 50 * ms, rng: rng,
		onSend: func(UpstreamID) {}, isSilent: func(UpstreamID) bool { return false },
		arrivedAt: map[RequestID]time.Duration{}, attempts: map[RequestID]int{},
	}
	x.Balancer = newPlannedBalancer(b, balancers, rank, n, func(
		kind string, r RequestID, up UpstreamID, d time.Duration, n uint64,
	) {
		switch {
		case kind == "send":
			a := scheduledAnswer{x.now + x.answerLatency, r, up, x.attempts[r], true}
			if up == x.slow {
				a.at += 2 * x.answerLatency
			}
			if x.attempts[r]++; x.isSilent(up) {
				a.at, a.ok = x.now+500*ms, false
				x.silentSends++
			}
			at, _ := slices.BinarySearchFunc(x.answers, a, func(p, q scheduledAnswer) int { return cmp.Compare(p.at, q.at) })
			x.answers = slices.Insert(x.answers, at, a)
			x.waited += x.now - x.arrivedAt[r]
			x.onSend(up)
		case kind == "refuse" || kind == "fail":
			x.lost++
		case kind == "timer" && n == tickToken:
			x.tickAt = x.now + d
		}
	})
	x.tickAt, x.arrivalAt = x.tickInterval, x.arrivalGap()
	return x
}

func (x *simulatedBalancer) arrivalGap() time.Duration {
	return time.Duration(x.rng.ExpFloat64() / x.rate * float64(time.Second))
}

// load returns the load that an upstream reports: a utilisation of about 0.5, or 0.95 if it is slow.
func (x *simulatedBalancer) load(up UpstreamID) Load {
	utilisation := 0.5
	if up == x.slow {
		utilisation = 0.95
	}
	return Load{Fields: HasUtilisation, Utilisation: min(1, utilisation+0.03*x.rng.NormFloat64())}
}

// run simulates until a time.
func (x *simulatedBalancer) run(until time.Duration) {
	for {
		at := min(x.tickAt, x.arrivalAt)
		if len(x.answers) > 0 {
			at = min(at, x.answers[0].at)
		}
		if at >= until {
			x.now = until
			return
		}
		x.now = at
		switch {
		case len(x.answers) > 0 && x.answers[0].at == at:
			a := x.answers[0]
			x.answers = x.answers[1:]
			o := AttemptResult{
				ID: a.id, Upstream: a.up, Attempt: a.n, Latency: x.answerLatency, Status: OK, Closed: true, Load: x.load(a.up),
			}
			if a.up == x.slow {
				o.Latency = 3 * x.answerLatency
			}
			if !a.ok {
				o = AttemptResult{ID: a.id, Upstream: a.up, Attempt: a.n, Latency: 500 * ms, Status: ConnectFailed}
			}
			x.AttemptFinished(at, o)
		case x.tickAt == at:
			x.tickAt = math.MaxInt64
			x.TimerFired(at, tickToken)
		default:
			x.arrived++
			x.arrivalAt = at + x.arrivalGap()
			x.arrivedAt[x.arrived] = at
			x.RequestArrived(at, Request{ID: x.arrived, Class: "read", Budget: time.Second})
		}
	}
}

// BenchmarkThin simulates a service without faults of which each balancer gets few requests. It reports the part of
// requests that is rejected or fails in the first 2 min and in the 10 min after them, and the mean wait of a request.
func BenchmarkThin(b *testing.B) {
	for _, n := range []int{2, 10, 37, 150, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var arrived, lost [2]float64
			waited := 0.0
			for b.Loop() {
				arrived, lost, waited = [2]float64{}, [2]float64{}, 0
				rng := rand.New(rand.NewPCG(uint64(n), 9))
				for rank := 0; rank < planBalancers; rank += max(1, n/10) {
					x := newSimulatedBalancer(b, planBalancers, rank, n, rng)
					x.run(2 * time.Minute)
					arrived[0], lost[0] = arrived[0]+float64(x.arrived), lost[0]+float64(x.lost)
					lostBefore, before := x.lost, x.arrived
					x.run(12 * time.Minute)
					arrived[1], lost[1] = arrived[1]+float64(x.arrived-before), lost[1]+float64(x.lost-lostBefore)
					waited += x.waited.Seconds() * 1000
				}
			}
			b.ReportMetric(lost[0]/arrived[0], "refused-first-2min")
			b.ReportMetric(lost[1]/arrived[1], "refused-then")
			b.ReportMetric(waited/(arrived[0]+arrived[1]), "ms-waited")
			b.ReportMetric(arrived[0]+arrived[1], "requests")
		})
	}
}

// simulateSlowStart simulates the start of one upstream of a service with n upstreams. It returns the seconds until its
// first request, its requests during slow start as a ratio of those to a warm upstream, the worst ratio of the requests
// in a window to its budget, and the number of balancers that use it.
func simulateSlowStart(b *testing.B, balancers, n int, seed uint64) (first, part, worst float64, users int) {
	const startedAt = 2 * time.Minute // readings are rare at this size
	id := UpstreamID(1 + seed%uint64(n))
	rng := rand.New(rand.NewPCG(seed, 7))
	var sent []time.Duration
	rules := settings().Rules
	for rank := range balancers {
		x := newSimulatedBalancer(b, balancers, rank, n, rng)
		if n > 10 && !slices.ContainsFunc(x.subset.upstreams, func(u *upstreamState) bool { return u.ID == id }) {
			continue // in a service with few upstreams, it may enter the subset later
		}
		users++
		x.onSend = func(up UpstreamID) {
			if up == id && x.now >= startedAt {
				sent = append(sent, x.now-startedAt)
			}
		}
		x.run(startedAt)
		list := fleet(n)[id-1 : id]
		list[0].StartedAt = startedAt
		x.EndpointsUpdated(startedAt, ListDelta, list)
		x.run(startedAt + rules.SlowStartDuration)
	}
	slices.Sort(sent)
	first = math.Inf(1)
	if len(sent) > 0 {
		first = sent[0].Seconds()
	}
	capacity := planRate / 0.5 // of a warm upstream, which is at half utilisation
	ramp := func(at time.Duration) float64 { return 0.33 + (1-0.33)*at.Seconds()/rules.SlowStartDuration.Seconds() }
	for i, j := 0, 0; i < len(sent); i++ {
		for ; sent[j] <= sent[i]-rules.OverloadWindow; j++ {
		}
		worst = max(worst, float64(i-j+1)/(rules.OverloadMultiple*capacity*rules.OverloadWindow.Seconds()*ramp(sent[i])))
	}
	return first, float64(len(sent)) / (planRate * rules.SlowStartDuration.Seconds()), worst, users
}

// BenchmarkParts reports the part of a tenant's requests that count as over its quota although their total is within
// it. Each of 1,500 balancers has an even part of the quota. The result depends on the quota, on the part of it that is
// used, and on the number of balancers that get the requests.
func BenchmarkParts(b *testing.B) {
	for _, x := range []struct {
		quota, used float64
		users       int
	}{{10, 0.5, 1500}, {10, 0.5, 4}, {1500, 0.5, 1500}, {1500, 0.5, 150}, {15000, 0.5, 1500}, {15000, 0.9, 1500}} {
		b.Run(fmt.Sprintf("quota %v of it %v over %v", x.quota, x.used, x.users), func(b *testing.B) {
			requests, over := 0.0, 0.0
			for b.Loop() {
				requests, over = 0, 0
				rng := rand.New(rand.NewPCG(1, 2))
				for range 20 { // balancers
					requests += 5000
					over += float64(countOver(b, rng, x.quota, x.quota*x.used/float64(x.users), 5000))
				}
			}
			b.ReportMetric(over/requests, "counted-over")
		})
	}
}

// countOver returns how many of a tenant's requests at one balancer count as over its quota, at a rate per second.
func countOver(b *testing.B, rng *rand.Rand, quota, rate float64, requests int) (over int) {
	s := settings()
	s.Balancers, s.Tenants = planBalancers, NewTenants([]Tenant{{Name: "one", Quota: quota}})
	balancer, err := New(s, 1, 0, hookHost{})
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

// BenchmarkTold measures, by the number of upstreams, how long a Balancer takes to process an update of one upstream,
// an update of the full list, and the end of a period.
func BenchmarkTold(b *testing.B) {
	for _, n := range []int{2, 37, 300, 2000, 18_000} {
		x := newPlannedBalancer(b, planBalancers, 0, n, nil)
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
		b.Run(fmt.Sprint(n, " step"), func(b *testing.B) { // each second, also without requests
			for b.Loop() {
				now += time.Second
				x.endPeriod(now)
			}
		})
	}
}

// BenchmarkSilent simulates a service some of whose upstreams become silent without an update of the endpoint list. New
// connections to them fail after the connection timeout of the serve command, 500 ms. It reports the attempts sent to
// silent upstreams and the requests rejected or failed, both as ratios of all requests, in four phases: the first 6 s,
// the minute after them, the first 10 s after the recovery, and the 20 s after these.
func BenchmarkSilent(b *testing.B) {
	for _, n := range []int{10, 37, 300} {
		for _, silent := range []float64{1.0 / 19, 5.0 / 6} {
			b.Run(fmt.Sprintf("%d lost %.2f", n, silent), func(b *testing.B) {
				var count silentCount
				for b.Loop() {
					count = silentCount{}
					rng := rand.New(rand.NewPCG(uint64(n), 11))
					for rank := 0; rank < planBalancers; rank += planBalancers / 300 {
						x := newSimulatedBalancer(b, planBalancers, rank, n, rng)
						x.run(2 * time.Minute)
						count.run(x, func(up UpstreamID) bool { return float64(up-1) < math.Round(silent*float64(n)) })
					}
				}
				for phase, name := range []string{"first-6s", "then", "back", "later"} {
					b.ReportMetric(count.sentToSilent[phase]/count.arrived[phase], "sent-to-silent-"+name)
					b.ReportMetric(count.unserved[phase]/count.arrived[phase], "not-served-"+name)
				}
			})
		}
	}
}

// silentCount counts requests, attempts to silent upstreams, and rejected or failed requests, by phase.
type silentCount struct{ arrived, sentToSilent, unserved [4]float64 }

// run makes upstreams silent, from 2 min after the start on, and lets them recover 66 s later.
func (c *silentCount) run(x *simulatedBalancer, isSilent func(up UpstreamID) bool) {
	x.isSilent = isSilent
	for phase, until := range []time.Duration{126 * time.Second, 186 * time.Second, 196 * time.Second, 216 * time.Second} {
		if phase == 2 {
			x.isSilent = func(UpstreamID) bool { return false }
		}
		before, silentSends, lostBefore := x.arrived, x.silentSends, x.lost
		x.run(until)
		c.arrived[phase] += float64(x.arrived - before)
		c.sentToSilent[phase] += float64(x.silentSends - silentSends)
		c.unserved[phase] += float64(x.lost - lostBefore)
	}
}

// BenchmarkSlow reports how fast an upstream loses its share when it becomes three times slower and reports nearly full
// utilisation: its requests per second, as a ratio of those before, in successive spans. Balancers take readings from
// their own answers ("own"), or also get one reading per second of each upstream that they use ("shared"), as if the
// balancers of a region shared them. "A sixth" means that only one in six balancers has the service.
func BenchmarkSlow(b *testing.B) {
	for _, n := range []int{10, 37, 300} {
		for _, readings := range []string{"own", "shared", "a sixth, own", "a sixth, shared"} {
			b.Run(fmt.Sprintf("%d %s", n, readings), func(b *testing.B) {
				balancers, shared := planBalancers, strings.HasSuffix(readings, "shared")
				if strings.HasPrefix(readings, "a sixth") {
					balancers /= 6
				}
				var sent slowCount
				for b.Loop() {
					sent = slowCount{}
					rng := rand.New(rand.NewPCG(uint64(n), 13))
					for rank := range balancers {
						sent.run(newSimulatedBalancer(b, balancers, rank, n, rng), shared)
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

// slowEnds are the ends of the spans, in seconds after the upstream became slow.
var slowEnds = [...]int{10, 30, 60, 300}

// slowCount counts the requests sent to the slow upstream: in the minute before it became slow, and in each span.
type slowCount [len(slowEnds) + 1]float64

// run makes an upstream slow after 2 min, if the balancer uses it.
func (c *slowCount) run(x *simulatedBalancer, shared bool) {
	const slow = 1
	if !slices.ContainsFunc(x.subset.upstreams, func(u *upstreamState) bool { return u.ID == slow }) {
		return
	}
	span := 0
	x.onSend = func(up UpstreamID) {
		if up == slow {
			c[span]++
		}
	}
	before := c[0]
	x.runSeconds(0, 60, shared)
	c[0] = before // the first minute does not count
	x.runSeconds(60, 120, shared)
	x.slow = slow
	from := 120
	for i, end := range slowEnds {
		span = i + 1
		x.runSeconds(from, 120+end, shared)
		from = 120 + end
	}
}

// runSeconds simulates a range of seconds. If shared, a reading of each upstream arrives at the end of each second.
func (x *simulatedBalancer) runSeconds(from, to int, shared bool) {
	for second := from; second < to; second++ {
		x.run(time.Duration(second+1) * time.Second)
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
