package service

import (
	"time"

	"olivearch/balancer"
)

// idle is a host to whom nothing happens: a Balancer is only asked what it would use.
type idle struct{}

func (idle) Send(balancer.RequestID, balancer.UpstreamID, time.Duration) {}
func (idle) Reject(balancer.RequestID, time.Duration)                    {}
func (idle) Fail(balancer.RequestID)                                     {}
func (idle) Cancel(balancer.RequestID, int)                              {}
func (idle) HealthCheck(balancer.UpstreamID)                             {}
func (idle) CloseIdle(balancer.UpstreamID)                               {}
func (idle) SetTimer(time.Duration, uint64)                              {}
func (idle) WatchEndpoints(bool)                                         {}
func (idle) FetchEndpoints()                                             {}
func (idle) Log(string)                                                  {}

// Uses returns how many of so many nodes, all of one size, a balancer with these settings uses at first.
func Uses(s balancer.Settings, nodes int) (int, error) {
	b, err := balancer.New(s, 1, time.Hour, idle{})
	if err != nil {
		return 0, err
	}
	list := make([]balancer.Upstream, nodes)
	for i := range list {
		list[i] = balancer.Upstream{ID: balancer.UpstreamID(i + 1), Weight: 1}
	}
	b.EndpointsUpdated(time.Hour, balancer.ListFull, list)
	views, _ := b.View(time.Hour)
	n := 0
	for _, v := range views {
		if v.InSubset {
			n++
		}
	}
	return n, nil
}
