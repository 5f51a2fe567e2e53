package service

import (
	"time"

	"olivearch/balancer"
)

// noopHost is a balancer.Host that ignores all calls. It is for a Balancer that is used only to compute a subset.
type noopHost struct{}

func (noopHost) Send(balancer.RequestID, balancer.UpstreamID, time.Duration) {}
func (noopHost) Reject(balancer.RequestID, time.Duration)                    {}
func (noopHost) Fail(balancer.RequestID)                                     {}
func (noopHost) Cancel(balancer.RequestID, int)                              {}
func (noopHost) HealthCheck(balancer.UpstreamID)                             {}
func (noopHost) CloseIdle(balancer.UpstreamID)                               {}
func (noopHost) SetTimer(time.Duration, uint64)                              {}
func (noopHost) WatchEndpoints(bool)                                         {}
func (noopHost) FetchEndpoints()                                             {}
func (noopHost) Log(string)                                                  {}

// SubsetSize returns the size of the first subset that a balancer with these settings chooses from the given number of
// upstreams, all of the same weight. It returns an error if the settings are invalid.
func SubsetSize(s balancer.Settings, upstreamCount int) (int, error) {
	const now = time.Hour // the subset does not depend on the time
	b, err := balancer.New(s, 1, now, noopHost{})
	if err != nil {
		return 0, err
	}
	upstreams := make([]balancer.Upstream, upstreamCount)
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
