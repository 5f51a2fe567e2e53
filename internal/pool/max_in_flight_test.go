package pool

import (
	"testing"

	"pgregory.net/rapid"

	"olivearch/balancer"
	"olivearch/internal/discovery"
	"olivearch/internal/override"
	"olivearch/internal/sharedlimit"
	"olivearch/internal/standin/scripted"
)

// limitedEndpoint is an endpoint of a loop, with what bounds the attempts in flight there, as a test has set it.
type limitedEndpoint struct {
	*manualLoop
	member   discovery.Member
	revision uint64

	isRegistered bool
	allotted     int // connections; the minimum is 1
	override     int // cap of operators; 0: none
	abandoned    int // attempts that hold a connection, and whose outcome was reported
}

// endpoint returns the loop's endpoint.
func (e *limitedEndpoint) endpoint() *endpoint { return e.endpointByName(e.member.ID) }

// expected returns the limit that follows from all bounds.
func (e *limitedEndpoint) expected() int {
	var bounds []int
	if e.isRegistered {
		bounds = append(bounds, max(1, e.allotted))
	}
	if e.override > 0 {
		bounds = append(bounds, e.override)
	}
	limit := 0
	for _, bound := range bounds {
		if limit == 0 || bound < limit {
			limit = bound
		}
	}
	if limit > 0 {
		limit = max(1, limit-e.abandoned)
	}
	return limit
}

// allot changes the connections that the endpoint's registry allots.
func (e *limitedEndpoint) allot(connections int) {
	if !e.isRegistered {
		return
	}
	e.allotted = connections
	e.registration.allotments[e.member.HostPort] = sharedlimit.Allotment{Fraction: 1, Connections: connections}
	if e.refreshAndCompare(e.endpoint()) {
		e.notifyChanged([]balancer.Upstream{e.endpoint().upstream})
	}
}

// setCap sets the cap of operators; 0: none.
func (e *limitedEndpoint) setCap(limit int) {
	e.override = limit
	sharedOverridesReceived(override.Shared{ConcurrencyCaps: map[string]int{e.member.ID: limit}}).apply(e.loop)
}

// update applies a new list, which has the endpoint as before.
func (e *limitedEndpoint) update() {
	e.revision++
	e.updateEndpoints(e.revision, e.member)
}

// abandon changes the number of attempts that hold a connection although their outcome was reported.
func (e *limitedEndpoint) abandon(delta int) {
	if e.abandoned+delta < 0 {
		return
	}
	e.abandoned += delta
	e.adjustAbandoned(e.endpoint(), delta)
}

// TestMaxInFlightFollowsAllBounds guards against a limit of the attempts in flight that is computed anew from one bound
// and forgets another: an operator's cap was forgotten at the first streamed response. The order of changes is drawn.
func TestMaxInFlightFollowsAllBounds(t *testing.T) {
	server := scripted.Start(t, scripted.Done)
	rapid.Check(t, func(r *rapid.T) {
		limited := &limitedEndpoint{manualLoop: newManualLoop(t, testSpec()), member: upMember("s-00000001", server)}
		limited.isRegistered = rapid.Bool().Draw(r, "the pool is registered")
		if limited.isRegistered {
			limited.registration = &registration{
				claimed:    map[string]bool{limited.member.HostPort: false},
				allotments: map[string]sharedlimit.Allotment{},
			}
		}
		limited.update()
		limited.allot(8)
		for range rapid.IntRange(1, 12).Draw(r, "changes") {
			switch rapid.IntRange(0, 4).Draw(r, "change") {
			case 0:
				limited.allot(rapid.IntRange(0, 12).Draw(r, "allotted"))
			case 1:
				limited.setCap(rapid.IntRange(0, 12).Draw(r, "cap"))
			case 2:
				limited.update()
			case 3:
				limited.abandon(1)
			case 4:
				limited.abandon(-1)
			}
			if got := limited.endpoint().upstream.MaxInFlight; got != limited.expected() {
				r.Fatalf("limit %d, want %d", got, limited.expected())
			}
		}
	})
}
