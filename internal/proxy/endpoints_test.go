package proxy

import (
	"testing"
	"time"

	"olivearch/internal/discovery"
	"olivearch/internal/standin/scripted"
)

// A discovery agent on the balancer's own machine answers each poll at once, with or without changes. Polling without a
// pause would keep the processor core busy.
func TestPausesBetweenWatchCalls(t *testing.T) {
	b := startBalancer(t)
	<-b.discoveryServer.polls
	start := time.Now()
	for range 4 {
		b.discoveryServer.answers <- discovery.Listing{Revision: 10}
		<-b.discoveryServer.polls
	}
	if d := time.Since(start); d < 2*discovery.WatchPause {
		t.Errorf("4 polls in %v", d)
	}
}

// A draining upstream gets no new requests, and an older answer of discovery does not end the drain.
func TestStaleListDoesNotEndDrain(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	m1, m2 := upMember("s-00000001", one), upMember("s-00000002", two)
	b := startBalancer(t, m1, m2)
	want(t, "first poll", <-b.discoveryServer.polls, "since=10&timeout_ms=2000")
	b.discoveryServer.answers <- discovery.Listing{Revision: 12, Members: []discovery.Member{drainingMember(m1)}}
	want(t, "next poll", <-b.discoveryServer.polls, "since=12&timeout_ms=2000")
	b.discoveryServer.answers <- listing(11, m1, m2)
	want(t, "poll after an older answer", <-b.discoveryServer.polls, "since=12&timeout_ms=2000")
	for range 10 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the draining upstream", len(one.Arrivals), 0)
	want(t, "requests at the other", len(two.Arrivals), 10)
}

// After a failed poll the decision module schedules the next one.
func TestPollsAgainAfterAFailure(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	b := startBalancer(t)
	<-b.discoveryServer.polls
	b.discoveryServer.answers <- discovery.Listing{} // 503
	<-b.discoveryServer.polls
	b.discoveryServer.answers <- listing(20, upMember("s-00000001", s))
	<-b.discoveryServer.polls // the list has been passed to the pool
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "status", status, 200)
}

// A reload names another discovery service, whose revisions are lower: its complete list is applied, and a late answer
// of the old service is not.
func TestReloadChangesDiscovery(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", one))
	want(t, "first poll", <-b.discoveryServer.polls, "since=10&timeout_ms=2000")
	next := startDiscovery(t)
	c := b.config
	c.Discovery = next.addr
	b.reloads <- c
	want(t, "poll of the new discovery service", <-next.polls, "")
	select { // the poll of the old service is cancelled: an answer that it still sends comes too late
	case b.discoveryServer.answers <- listing(30, upMember("s-00000001", one)):
	default:
	}
	next.answers <- listing(3, upMember("s-00000002", two))
	want(t, "its next poll", <-next.polls, "since=3&timeout_ms=2000")
	for range 5 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the upstream that the new list lacks", len(one.Arrivals), 0)
	want(t, "requests at the other", len(two.Arrivals), 5)
}
