package service

import (
	"time"

	"olivearch/internal/body"
	"olivearch/internal/config"
	"olivearch/internal/pool"
	"olivearch/internal/proxy"
)

// updateRouting puts the routes of the next state into effect.
func (s *Service) updateRouting(next *runtimeState) {
	routing := newRouting(next)
	if s.routeTable == nil {
		s.routeTable = proxy.NewRouteTable(routing)
		return
	}
	s.routeTable.SetRouting(routing)
}

func newRouting(state *runtimeState) *proxy.Routing {
	c := state.config
	routing := &proxy.Routing{
		Table:        c.Table,
		Destinations: make([]proxy.Destination, len(c.Targets)),
		Pools:        make(map[string]*pool.Pool, len(state.pools)),
	}
	for i := range c.Targets {
		routing.Destinations[i] = destination(c, i)
	}
	for name, p := range state.pools {
		routing.Pools[name] = p.Pool
	}
	return routing
}

// destination returns the class, limits and upgrades for requests to the target that has this index in the
// configuration.
func destination(c *config.Loaded, index int) proxy.Destination {
	target := &c.Targets[index]
	return proxy.Destination{
		Class:     c.Class(target.Class),
		Limit:     time.Duration(target.Deadline),
		KeyCookie: target.KeyCookie,
		BodyLimits: &body.Limits{
			Request:  int64(target.Body.Max),
			Ahead:    int(target.Body.Buffer),
			Within:   time.Duration(target.Body.Within),
			Answer:   int64(target.Answer.Max),
			Quiet:    time.Duration(target.Answer.Idle),
			Total:    time.Duration(target.Answer.Total),
			Trailers: true,
		},
		Upgrades: target.Upgrades,
		TunnelLimits: &body.TunnelLimits{
			Idle:  time.Duration(target.Tunnels.Idle),
			Total: time.Duration(target.Tunnels.Total),
			Grace: time.Duration(target.Tunnels.Grace),
		},
	}
}
