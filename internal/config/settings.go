package config

import (
	"maps"
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/route"
)

var (
	idempotencies = map[string]balancer.Idempotency{"safe": balancer.Idempotent, "keyed": balancer.IdempotentWithKey, "unsafe": balancer.NonIdempotent}
	keyScopes     = map[string]balancer.KeyScope{"all": balancer.KeyScopeAll, "zone": balancer.KeyScopeZone, "cell": balancer.KeyScopeCell}
	reportSources = map[string]balancer.ReportVia{"answers": balancer.ReportAnswers, "probes": balancer.ReportHealthChecks, "none": balancer.ReportNone}
)

// Class returns a class in the module's form.
func (c *Loaded) Class(name string) balancer.Class {
	x := c.Classes[name]
	return balancer.Class{
		Name: name, LatencyObjective: time.Duration(x.Aim), Deadline: time.Duration(x.Deadline), Idempotency: idempotencies[x.Repeat],
		KeyScope: keyScopes[x.Group], DeduplicationWindow: time.Duration(x.Memory), PriorityWeight: *x.Worth, LateWeightFactor: x.LateWorth,
	}
}

// countClasses notes the classes of the routes to each pool.
func (c *Loaded) countClasses() {
	c.routesByClass = make(map[string]map[string]int, len(c.Pools))
	own := map[string]bool{}
	for r := range c.Table.Rules() {
		c.addRoutes(c.Targets[r.To].Class, r.Pools, 1, own)
	}
}

// addRoutes counts a route of a class to some pools. own are the pools whose counts are not shared with another configuration.
func (c *Loaded) addRoutes(class string, pools []route.WeightedPool, n int, own map[string]bool) {
	for _, to := range pools {
		if !own[to.Pool] {
			own[to.Pool] = true
			if c.routesByClass[to.Pool] = maps.Clone(c.routesByClass[to.Pool]); c.routesByClass[to.Pool] == nil {
				c.routesByClass[to.Pool] = map[string]int{}
			}
		}
		counts := c.routesByClass[to.Pool]
		if counts[class] += n; counts[class] == 0 {
			delete(counts, class)
		}
	}
}

// Settings returns what a pool's decision module is told: the classes of the routes to the pool and no others, so that
// what changes elsewhere does not reach it.
func (c *Loaded) Settings(pool string) balancer.Settings {
	p, r := c.Pools[pool], c.Rules
	used := slices.Sorted(maps.Keys(c.routesByClass[pool]))
	if len(used) == 0 { // the module wants a class; a pool that no route names gets no request
		used = slices.Sorted(maps.Keys(c.Classes))
	}
	s := balancer.Settings{
		Zone: c.Instances.Zone, Balancers: c.Instances.Count, Rank: c.Instances.Rank,
		OverQuotaWeightFactor: *c.OverQuotaWorth, Granularity: time.Millisecond, SuspendWhenIdle: true, Weights: balancer.WeightNominal, Reports: reportSources[p.Reports],
		Limits: balancer.Limits{
			Cancel: true, HealthChecks: p.Reports == "probes", RetryAfter: true, MaxRetryAfter: time.Duration(p.MaxRetryAfter),
			MaxAttempts: p.MaxAttempts, MaxInFlight: p.Connections,
		},
		Rules: balancer.Rules{
			PollInterval: 20 * time.Second, SlowStartFloor: r.ColdFrom, SlowStartDuration: time.Duration(r.RampTime),
			OverloadMultiple: r.TipMultiple, OverloadWindow: time.Duration(r.TipAfter), DrainGrace: time.Duration(r.DrainGrace),
		},
	}
	for _, name := range used {
		s.Classes = append(s.Classes, c.Class(name))
	}
	s.Tenants = c.Tenants
	return s
}
