package config

import (
	"maps"
	"slices"
	"time"

	"clayladder"
)

var (
	repeats = map[string]clayladder.Repeat{"safe": clayladder.Safe, "keyed": clayladder.Keyed, "unsafe": clayladder.Unsafe}
	groups  = map[string]clayladder.Group{"all": clayladder.GroupAll, "zone": clayladder.GroupZone, "cell": clayladder.GroupCell}
	reports = map[string]clayladder.ReportVia{"answers": clayladder.ReportAnswers, "probes": clayladder.ReportProbes, "none": clayladder.ReportNone}
)

// Class returns a class in the module's form.
func (c *Loaded) Class(name string) clayladder.Class {
	x := c.Classes[name]
	return clayladder.Class{Name: name, Aim: time.Duration(x.Aim), Deadline: time.Duration(x.Deadline), Repeat: repeats[x.Repeat],
		Group: groups[x.Group], Memory: time.Duration(x.Memory), Worth: *x.Worth, LateWorth: x.LateWorth}
}

// uses notes the classes of the routes to each pool, in order.
func (c *Loaded) uses() {
	sets := make(map[string]map[string]bool, len(c.Pools))
	for i := range c.Routes {
		for _, to := range c.Routes[i].Pools {
			if sets[to.Pool] == nil {
				sets[to.Pool] = map[string]bool{}
			}
			sets[to.Pool][c.Routes[i].Class] = true
		}
	}
	c.used = make(map[string][]string, len(sets))
	for pool, set := range sets {
		c.used[pool] = slices.Sorted(maps.Keys(set))
	}
}

// Settings returns what a pool's decision module is told: the classes of the routes to the pool and no others, so that
// what changes elsewhere does not reach it.
func (c *Loaded) Settings(pool string) clayladder.Settings {
	p, r := c.Pools[pool], c.Rules
	used := c.used[pool]
	if len(used) == 0 { // the module wants a class; a pool that no route names gets no request
		used = slices.Sorted(maps.Keys(c.Classes))
	}
	s := clayladder.Settings{Zone: c.Instances.Zone, Balancers: c.Instances.Count, Rank: c.Instances.Rank,
		OverShareWorth: *c.OverQuotaWorth, Granularity: time.Millisecond, Weights: clayladder.WeightNominal, Reports: reports[p.Reports],
		Limits: clayladder.Limits{Cancel: true, Probes: p.Reports == "probes", RetryAfter: true, MaxRetry: time.Duration(p.MaxRetryAfter),
			MaxAttempts: p.MaxAttempts, Out: p.Connections},
		Rules: clayladder.Rules{AskWithin: 20 * time.Second, ColdFrom: r.ColdFrom, RampTime: time.Duration(r.RampTime),
			TipMultiple: r.TipMultiple, TipAfter: time.Duration(r.TipAfter), DrainGrace: time.Duration(r.DrainGrace)}}
	for _, name := range used {
		s.Classes = append(s.Classes, c.Class(name))
	}
	s.Tenants = c.Tenants
	return s
}
