package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	ticksPerObjective = 16              // ticks come this often in the shortest latency objective
	logInterval       = 5 * time.Second // least time between two log lines of a kind
)

// Balancer decides for one proxy instance. See the package comment for the contract.
//
// An attempt goes to the upstream that interleaver picks by its share. What an upstream may get follows from its parts:
// a bollingerBand of its utilisation cuts its share, latencyStats move its concurrencyLimit, an outlierDetector leaves
// it trial requests only, and slowStart has a budget for it while it warms up. A request that finds no slot waits in
// the admissionQueue.
type Balancer struct {
	settings          Settings
	host              Host
	rngSource         *rand.PCG // of rng
	rng               *rand.Rand
	classes           map[string]*class
	safestIdempotency Idempotency // of all classes
	tickInterval      time.Duration
	startedAt         time.Duration
	periodStartedAt   time.Duration
	watchBackoff      time.Duration            // growing wait between failed discovery calls
	lastLoggedAt      map[string]time.Duration // by kind of line

	requests     map[RequestID]*request
	inFlight     int // attempts at all upstreams
	byID         map[UpstreamID]*upstreamState
	upstreams    []*upstreamState // in order of arrival
	preallocated []upstreamState  // for those of the first list

	latency  float64 // usual latency over all upstreams, ns
	meanCost float64 // mean cost hint, ns
	arrivals arrivalRate
	fleet    fleetStats
	limits   limitSettings

	interleaver interleaver
	retry       retryPolicy
	queue       admissionQueue
	subset      subset
	quota       quota
	idle        idleState
}

// New returns a Balancer, or an error that names the setting that is wrong.
func New(s Settings, seed uint64, now time.Duration, host Host) (*Balancer, error) {
	if host == nil {
		return nil, bad("Host is nil")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := newBalancer(seed, now, host)
	b.applySettings(s, now)
	b.chooseSubset(now)
	b.latency = float64(s.shortestObjective()) / 4 // until answers tell
	b.scheduleTick(now)
	if s.PollDiscovery {
		host.WatchEndpoints(true)
	}
	return b, nil
}

// newBalancer returns a Balancer without settings.
func newBalancer(seed uint64, now time.Duration, host Host) *Balancer {
	source := rand.NewPCG(seed, 0)
	return &Balancer{
		host:            host,
		rngSource:       source,
		rng:             rand.New(source),
		requests:        map[RequestID]*request{},
		byID:            map[UpstreamID]*upstreamState{},
		quota:           quota{levels: map[string]*tenantLevel{}},
		queue:           admissionQueue{lastFullAt: now},
		lastLoggedAt:    map[string]time.Duration{},
		periodStartedAt: now,
		startedAt:       now,
	}
}

// Configure puts other settings in the place of those that hold, or changes nothing and names the one that is
// wrong. What was learnt of upstreams stays: windows, shares, limits. Open requests keep their class.
func (b *Balancer) Configure(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	b.catchUp(now)
	polledBefore := b.settings.PollDiscovery
	b.applySettings(s, now)
	if s.PollDiscovery != polledBefore {
		b.host.WatchEndpoints(s.PollDiscovery)
	}
	b.chooseSubset(now)
	b.dispatchQueued(now)
	b.resumeTicks(now)
	return nil
}

// applySettings takes settings. What is counted of classes and tenants that stay goes on.
func (b *Balancer) applySettings(s Settings, now time.Duration) {
	b.quota.update(s.Tenants, s.Balancers, now)
	b.updateClasses(s.Classes)
	b.settings = s
	b.tickInterval = max(s.Granularity, s.shortestObjective()/ticksPerObjective, time.Millisecond)
	b.retry = retryPolicy{maxAttempts: s.Limits.MaxAttempts, hedging: s.Limits.Hedging, margin: b.tickInterval}
}

// updateClasses takes the classes of settings.
func (b *Balancer) updateClasses(list []Class) {
	classes := make(map[string]*class, len(list))
	b.safestIdempotency = NonIdempotent
	for _, listed := range list {
		next := &class{Class: listed}
		if old := b.classes[listed.Name]; old != nil { // its longest budget may have shrunk: that is learnt anew
			next.latency = old.latency
			next.lastRanAt = old.lastRanAt
		}
		classes[listed.Name] = next
		b.safestIdempotency = min(b.safestIdempotency, listed.Idempotency)
	}
	b.classes = classes
}

// shortestObjective is the shortest latency objective of all classes.
func (s *Settings) shortestObjective() time.Duration {
	shortest := s.Classes[0].LatencyObjective
	for i := range s.Classes {
		shortest = min(shortest, s.Classes[i].LatencyObjective)
	}
	return shortest
}

// log writes a line of a kind, at most one in a while.
func (b *Balancer) log(now time.Duration, kind, format string, args ...any) {
	if at, logged := b.lastLoggedAt[kind]; logged && now-at < logInterval {
		return
	}
	b.lastLoggedAt[kind] = now
	b.host.Log(fmt.Sprintf(format, args...))
}
