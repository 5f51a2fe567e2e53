package proxy

import (
	"testing"
	"time"

	"olivearch/internal/discovery"
	"olivearch/internal/standin/scripted"
)

// An agent on the balancer's own machine answers a poll at once, with changes or without. That must not keep the core
// busy.
func TestPausesBetweenWatchCalls(t *testing.T) {
	b := startBalancer(t)
	<-b.registry.calls
	start := time.Now()
	for range 4 {
		b.registry.answers <- discovery.Listing{Revision: 10}
		<-b.registry.calls
	}
	if d := time.Since(start); d < 2*discovery.WatchPause {
		t.Errorf("4 calls in %v", d)
	}
}

// An upstream that drains gets no new requests; an older answer of discovery does not bring it back.
func TestDrainIsKept(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	m1, m2 := upMember("s-00000001", one), upMember("s-00000002", two)
	b := startBalancer(t, m1, m2)
	want(t, "first call", <-b.registry.calls, "since=10&timeout_ms=2000")
	b.registry.answers <- discovery.Listing{Revision: 12, Members: []discovery.Member{drainingMember(m1)}}
	want(t, "next call", <-b.registry.calls, "since=12&timeout_ms=2000")
	b.registry.answers <- listing(11, m1, m2)
	want(t, "call after an older answer", <-b.registry.calls, "since=12&timeout_ms=2000")
	for range 10 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the draining upstream", len(one.Arrivals), 0)
	want(t, "requests at the other", len(two.Arrivals), 10)
}

// After a failed poll the decision module says when the next one is.
func TestPollsAgainAfterAFailure(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t)
	<-b.registry.calls
	b.registry.answers <- discovery.Listing{} // 503
	<-b.registry.calls
	b.registry.answers <- listing(20, upMember("s-00000001", s))
	<-b.registry.calls // the list has been posted
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "status", status, 200)
}

// A new configuration names another discovery service, whose revisions are lower: its complete list is applied, a late
// answer of the old one is not.
func TestReloadMovesDiscovery(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", one))
	want(t, "first call", <-b.registry.calls, "since=10&timeout_ms=2000")
	next := startRegistry(t)
	c := b.config
	c.Discovery = next.addr
	b.reloads <- c
	want(t, "call at the new discovery", <-next.calls, "")
	select { // the poll of the old one has been cancelled: its answer, should it still be written, is too late
	case b.registry.answers <- listing(30, upMember("s-00000001", one)):
	default:
	}
	next.answers <- listing(3, upMember("s-00000002", two))
	want(t, "its next call", <-next.calls, "since=3&timeout_ms=2000")
	for range 5 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at what the new list lacks", len(one.Arrivals), 0)
	want(t, "requests at the other", len(two.Arrivals), 5)
}
