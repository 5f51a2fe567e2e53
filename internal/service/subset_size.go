package service

import (
	"time"

	"olivearch/balancer"
)

// idleHost is the host of a Balancer that is only asked for its subset: it ignores all calls.
type idleHost struct{}

func (idleHost) Send(balancer.RequestID, balancer.UpstreamID, time.Duration) {}
func (idleHost) Reject(balancer.RequestID, time.Duration)                    {}
func (idleHost) Fail(balancer.RequestID)                                     {}
func (idleHost) Cancel(balancer.RequestID, int)                              {}
func (idleHost) HealthCheck(balancer.UpstreamID)                             {}
func (idleHost) CloseIdle(balancer.UpstreamID)                               {}
func (idleHost) SetTimer(time.Duration, uint64)                              {}
func (idleHost) WatchEndpoints(bool)                                         {}
func (idleHost) FetchEndpoints()                                             {}
func (idleHost) Log(string)                                                  {}

// SubsetSize returns how many of so many upstreams, all of one weight, a balancer with these settings has in its first
// subset.
func SubsetSize(s balancer.Settings, nodes int) (int, error) {
	const now = time.Hour // any time
	b, err := balancer.New(s, 1, now, idleHost{})
	if err != nil {
		return 0, err
	}
	upstreams := make([]balancer.Upstream, nodes)
	for i := range upstreams {
		upstreams[i] = balancer.Upstream{ID: balancer.UpstreamID(i + 1), Weight: 1}
	}
	b.EndpointsUpdated(now, balancer.ListFull, upstreams)
	views, _ := b.View(now)
	inSubset := 0
	for _, v := range views {
		if v.InSubset {
			inSubset++
		}
	}
	return inSubset, nil
}
