package balancer

import (
	"testing"
	"time"
)

// TestUnfinishedUploadsTakeNoPlace guards against requests that are rejected while no upstream works, because clients
// do not finish their uploads.
func TestUnfinishedUploadsTakeNoPlace(t *testing.T) {
	const uploads = 40
	b, h := start(t, settings(), fleet(1))
	for i := range RequestID(uploads) {
		b.RequestArrived(time.Hour, Request{ID: i + 1, Class: "write", Budget: time.Minute, BodyStreaming: true})
	}
	b.RequestArrived(time.Hour, Request{ID: 100, Class: "write", Budget: time.Second})
	if h.count("send id=100") != 1 {
		t.Fatalf("not sent: %v", h.lines[max(0, len(h.lines)-4):])
	}
	b.AttemptFinished(time.Hour+10*ms, AttemptResult{ID: 100, Upstream: 1, Latency: 10 * ms, Status: OK})
	upstream := b.byID[1]
	if working := upstream.working(); working != 0 {
		t.Errorf("%d attempts are worked on, want 0", working)
	}
	for i := range RequestID(uploads) {
		b.BodySent(time.Hour+20*ms, i+1, 0)
	}
	if working := upstream.working(); working != len(upstream.inFlight) || working == 0 {
		t.Errorf("%d of %d attempts are worked on after their last byte", working, len(upstream.inFlight))
	}
	b.RequestArrived(time.Hour+20*ms, Request{ID: 101, Class: "write", Budget: time.Second})
	if h.count("send id=101") != 0 {
		t.Error("sent beyond the concurrency limit")
	}
}
