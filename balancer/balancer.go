package balancer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	ticksPerObjective = 16              // ticks within the shortest latency objective
	logInterval       = 5 * time.Second // least time between two log lines of the same kind
)

// Balancer is one instance of the decision module. See the package comment for the contract.
//
// The interleaver picks the upstream of each attempt in proportion to the upstreams' shares. The state of an upstream
// restricts it further: its bollingerBand of utilisation cuts its share, its latencyStats adjust its concurrencyLimit,
// its outlierDetector restricts it to trial requests, and its slowStart limits it to a budget while it warms up. A
// request that finds no slot waits in the admissionQueue.
type Balancer struct {
	settings          Settings
	host              Host
	rngSource         *rand.PCG // the source of rng
	rng               *rand.Rand
	classes           map[string]*class
	safestIdempotency Idempotency // of all classes
	tickInterval      time.Duration
	startedAt         time.Duration
	periodStartedAt   time.Duration
	watchBackoff      time.Duration            // wait after a failed discovery call; grows with each failure
	lastLoggedAt      map[string]time.Duration // by kind of log line

	requests     map[RequestID]*request
	inFlight     int // attempts in flight at all upstreams
	byID         map[UpstreamID]*upstreamState
	upstreams    []*upstreamState // in the order in which they were first listed
	preallocated []upstreamState  // free entries for the upstreams of the first list

	latency  float64 // mean latency over all upstreams, ns
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

// New returns a Balancer. Its error names the setting that is missing or out of range and wraps ErrSettings.
func New(s Settings, seed uint64, now time.Duration, host Host) (*Balancer, error) {
	if host == nil {
		return nil, invalidSetting("Host is nil")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := newBalancer(seed, now, host)
	b.applySettings(s, now)
	b.chooseSubset(now)
	b.latency = float64(s.shortestObjective()) / 4 // initial estimate
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

// Configure replaces the settings. If a setting is missing or out of range, it changes nothing and returns an error
// that names the setting and wraps ErrSettings. The state of upstreams (readings, shares, limits) is kept, and open
// requests keep their class.
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

// applySettings replaces the settings. Classes and tenants that exist in both keep their statistics.
func (b *Balancer) applySettings(s Settings, now time.Duration) {
	b.quota.update(s.Tenants, s.Balancers, now)
	b.updateClasses(s.Classes)
	b.settings = s
	b.tickInterval = max(s.Granularity, s.shortestObjective()/ticksPerObjective, time.Millisecond)
	b.retry = retryPolicy{maxAttempts: s.Limits.MaxAttempts, hedging: s.Limits.Hedging, margin: b.tickInterval}
}

// updateClasses replaces the classes. A class that existed before keeps its statistics.
func (b *Balancer) updateClasses(list []Class) {
	classes := make(map[string]*class, len(list))
	b.safestIdempotency = NonIdempotent
	for _, listed := range list {
		next := &class{Class: listed}
		if old := b.classes[listed.Name]; old != nil { // without maxBudget: budgets may be shorter now
			next.latency = old.latency
			next.lastRanAt = old.lastRanAt
		}
		classes[listed.Name] = next
		b.safestIdempotency = min(b.safestIdempotency, listed.Idempotency)
	}
	b.classes = classes
}

// shortestObjective returns the shortest latency objective of all classes.
func (s *Settings) shortestObjective() time.Duration {
	shortest := s.Classes[0].LatencyObjective
	for i := range s.Classes {
		shortest = min(shortest, s.Classes[i].LatencyObjective)
	}
	return shortest
}

// log writes a log line, at most one of a kind per logInterval.
func (b *Balancer) log(now time.Duration, kind, format string, args ...any) {
	if at, logged := b.lastLoggedAt[kind]; logged && now-at < logInterval {
		return
	}
	b.lastLoggedAt[kind] = now
	b.host.Log(fmt.Sprintf(format, args...))
}
