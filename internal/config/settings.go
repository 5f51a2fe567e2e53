package config

import (
	"maps"
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/route"
)

// The keywords of the file and their values in the decision module.
var (
	idempotencies = map[string]balancer.Idempotency{
		"safe":   balancer.Idempotent,
		"keyed":  balancer.IdempotentWithKey,
		"unsafe": balancer.NonIdempotent,
	}
	keyScopes = map[string]balancer.KeyScope{
		"all":  balancer.KeyScopeAll,
		"zone": balancer.KeyScopeZone,
		"cell": balancer.KeyScopeCell,
	}
	reportSources = map[string]balancer.ReportSource{
		"answers": balancer.ReportAnswers,
		"probes":  balancer.ReportHealthChecks,
		"none":    balancer.ReportNone,
	}
)

// Class converts a class to the type of the decision module.
func (c *Loaded) Class(name string) balancer.Class {
	class := c.Classes[name]
	return balancer.Class{
		Name:                name,
		LatencyObjective:    time.Duration(class.Aim),
		Deadline:            time.Duration(class.Deadline),
		Idempotency:         idempotencies[class.Repeat],
		KeyScope:            keyScopes[class.Group],
		DeduplicationWindow: time.Duration(class.Memory),
		PriorityWeight:      *class.Worth,
		LateWeightFactor:    class.LateWorth,
	}
}

// countClasses counts the routes to each pool by class.
func (c *Loaded) countClasses() {
	c.routesByClass = make(map[string]map[string]int, len(c.Pools))
	changedPools := map[string]bool{}
	for rule := range c.Table.Rules() {
		c.addRoutes(c.Targets[rule.To].Class, rule.Pools, 1, changedPools)
	}
}

// addRoutes adds n routes of a class to the counts of pools; n may be negative. changedPools holds the pools whose
// counts are no longer shared with another configuration. The counts of any other pool are copied before the change,
// and the pool is added to changedPools.
func (c *Loaded) addRoutes(class string, pools []route.WeightedPool, n int, changedPools map[string]bool) {
	for _, to := range pools {
		if !changedPools[to.Pool] {
			changedPools[to.Pool] = true
			own := map[string]int{}
			maps.Copy(own, c.routesByClass[to.Pool])
			c.routesByClass[to.Pool] = own
		}
		counts := c.routesByClass[to.Pool]
		counts[class] += n
		if counts[class] == 0 {
			delete(counts, class)
		}
	}
}

// pollInterval is the interval at which the decision module polls for the endpoint list when it gets no updates.
const pollInterval = 20 * time.Second

// Settings returns the settings of a pool's decision module. They hold only the classes of routes to the pool, so that
// a change of another class leaves them as they are.
func (c *Loaded) Settings(pool string) balancer.Settings {
	settings := balancer.Settings{
		Zone: c.Instances.Zone, Balancers: c.Instances.Count, Rank: c.Instances.Rank,
		OverQuotaWeightFactor: *c.OverQuotaWorth,
		Granularity:           time.Millisecond,
		SuspendWhenIdle:       true,
		Weights:               balancer.WeightNominal,
		Reports:               reportSources[c.Pools[pool].Reports],
		Limits:                c.Pools[pool].limits(),
		Rules:                 c.Rules.settings(),
		Tenants:               c.Tenants,
	}
	names := slices.Sorted(maps.Keys(c.routesByClass[pool]))
	if len(names) == 0 { // the module needs at least one class, even for a pool without routes
		names = slices.Sorted(maps.Keys(c.Classes))
	}
	for _, name := range names {
		settings.Classes = append(settings.Classes, c.Class(name))
	}
	return settings
}

// limits converts the limits of a pool to the type of the decision module.
func (p Pool) limits() balancer.Limits {
	return balancer.Limits{
		Cancel:        true,
		HealthChecks:  p.Reports == "probes",
		RetryAfter:    true,
		MaxRetryAfter: time.Duration(p.MaxRetryAfter),
		MaxAttempts:   p.MaxAttempts,
		MaxInFlight:   p.Connections,
	}
}

// settings converts the drain and slow-start rules to the type of the decision module.
func (r Rules) settings() balancer.Rules {
	return balancer.Rules{
		PollInterval:      pollInterval,
		SlowStartFloor:    r.ColdFrom,
		SlowStartDuration: time.Duration(r.RampTime),
		OverloadMultiple:  r.TipMultiple,
		OverloadWindow:    time.Duration(r.TipAfter),
		DrainGrace:        time.Duration(r.DrainGrace),
	}
}
