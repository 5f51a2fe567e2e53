package pool

import (
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/standin/scripted"
	"olivearch/internal/upstream"
)

func TestResponseKinds(t *testing.T) {
	cases := []struct {
		name   string
		before responseKind
		result upstream.Result
		after  responseKind
	}{
		{"served, with a body of its own", noResponse, upstream.Result{Distinctive: true}, distinctive},
		{"served, without", distinctive, upstream.Result{}, anonymous},
		{"rejected", distinctive, upstream.Result{Status: balancer.Rejected}, notServed},
		{"an error", distinctive, upstream.Result{Status: balancer.Error}, notServed},
		{"not sent on a new connection", noResponse, upstream.Result{Status: balancer.NotSent}, noResponse},
		{"not sent on a used connection", notServed, upstream.Result{Status: balancer.NotSent}, notServed},
	}
	for _, c := range cases {
		want(t, c.name, c.before.after(&c.result), c.after)
	}
}

// TestUnrecognisableResponsesKeepConnectionUnused: only a response that would be recognised allows early reuse.
func TestUnrecognisableResponsesKeepConnectionUnused(t *testing.T) {
	policy := reusePolicy{recognition: upstream.NewRecognition()}
	times := policy.rules(0).rest
	want(t, "served, bodies not known to differ", times[distinctive], neverReused)
	want(t, "no body", times[anonymous], neverReused)
	want(t, "rejected", times[notServed], refusalRest)
	want(t, "no body: closed", policy.mayReuse(anonymous, 0), false)
	want(t, "bodies not known yet to differ: kept", policy.mayReuse(distinctive, 0), true)
	policy.onlyAfterUnsolicited = true
	want(t, "rejected, otherwise only after unsolicited bytes", policy.rules(0).rest[notServed], refusalRest)
}

// TestConnectionIsClosedAfterRejectionOnceSecondResponsesCome: a copy of a rejection can never reject another request.
func TestConnectionIsClosedAfterRejectionOnceSecondResponsesCome(t *testing.T) {
	policy := reusePolicy{}
	want(t, "rejected, before", policy.mayReuse(notServed, time.Second), true)
	policy.sawUnsolicited(time.Second)
	want(t, "rejected, after unsolicited bytes", policy.mayReuse(notServed, 2*time.Second), false)
	want(t, "served without a body, after unsolicited bytes", policy.mayReuse(anonymous, 2*time.Second), false)
	want(t, "rejected, long after", policy.mayReuse(notServed, time.Second+unsolicitedMemory), true)
}

// TestHealthCheckTakesNoRestingConnection: where no further connection is allowed it replaces one that still rests.
func TestHealthCheckTakesNoRestingConnection(t *testing.T) {
	server := scripted.Start(t, scripted.Own)
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", server))
	want(t, "first", h.request("1", time.Second).Status, http.StatusOK)
	target := h.endpointByName("s-00000001")
	target.allotment.Connections = 1
	h.HealthCheck(target.id)
	h.handleEvents()
	want(t, "connections opened", server.Opened(), 2)
	want(t, "connections", target.connections, 1)
}
