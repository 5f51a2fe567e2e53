package config

import (
	"maps"
	"slices"
	"time"

	"olivearch/balancer"
	"olivearch/internal/route"
)

var (
	repeats = map[string]balancer.Repeat{"safe": balancer.Safe, "keyed": balancer.Keyed, "unsafe": balancer.Unsafe}
	groups  = map[string]balancer.Group{"all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell}
	reports = map[string]balancer.ReportVia{"answers": balancer.ReportAnswers, "probes": balancer.ReportProbes, "none": balancer.ReportNone}
)

// Class returns a class in the module's form.
func (c *Loaded) Class(name string) balancer.Class {
	x := c.Classes[name]
	return balancer.Class{
		Name: name, Aim: time.Duration(x.Aim), Deadline: time.Duration(x.Deadline), Repeat: repeats[x.Repeat],
		Group: groups[x.Group], Memory: time.Duration(x.Memory), Worth: *x.Worth, LateWorth: x.LateWorth,
	}
}

// uses notes the classes of the routes to each pool.
func (c *Loaded) uses() {
	c.used = make(map[string]map[string]int, len(c.Pools))
	own := map[string]bool{}
	for r := range c.Table.Rules() {
		c.use(c.Targets[r.To].Class, r.Pools, 1, own)
	}
}

// use counts a route of a class to some pools. own are the pools whose counts are not shared with another configuration.
func (c *Loaded) use(class string, pools []route.WeightedPool, n int, own map[string]bool) {
	for _, to := range pools {
		if !own[to.Pool] {
			own[to.Pool] = true
			if c.used[to.Pool] = maps.Clone(c.used[to.Pool]); c.used[to.Pool] == nil {
				c.used[to.Pool] = map[string]int{}
			}
		}
		counts := c.used[to.Pool]
		if counts[class] += n; counts[class] == 0 {
			delete(counts, class)
		}
	}
}

// Settings returns what a pool's decision module is told: the classes of the routes to the pool and no others, so that
// what changes elsewhere does not reach it.
func (c *Loaded) Settings(pool string) balancer.Settings {
	p, r := c.Pools[pool], c.Rules
	used := slices.Sorted(maps.Keys(c.used[pool]))
	if len(used) == 0 { // the module wants a class; a pool that no route names gets no request
		used = slices.Sorted(maps.Keys(c.Classes))
	}
	s := balancer.Settings{
		Zone: c.Instances.Zone, Balancers: c.Instances.Count, Rank: c.Instances.Rank,
		OverShareWorth: *c.OverQuotaWorth, Granularity: time.Millisecond, Rest: true, Weights: balancer.WeightNominal, Reports: reports[p.Reports],
		Limits: balancer.Limits{
			Cancel: true, Probes: p.Reports == "probes", RetryAfter: true, MaxRetry: time.Duration(p.MaxRetryAfter),
			MaxAttempts: p.MaxAttempts, Out: p.Connections,
		},
		Rules: balancer.Rules{
			AskWithin: 20 * time.Second, ColdFrom: r.ColdFrom, RampTime: time.Duration(r.RampTime),
			TipMultiple: r.TipMultiple, TipAfter: time.Duration(r.TipAfter), DrainGrace: time.Duration(r.DrainGrace),
		},
	}
	for _, name := range used {
		s.Classes = append(s.Classes, c.Class(name))
	}
	s.Tenants = c.Tenants
	return s
}
