package discovery

import (
	"testing"
	"time"

	"olivearch/balancer"
)

// An upstream that started before this process is as cold as it is at other balancers; one of long ago is not.
func TestStartsAreOnTheClock(t *testing.T) {
	m := Member{ID: "s-1", Phase: "up", UpSinceMS: time.Now().Add(-3 * time.Second).UnixMilli()}
	if age := time.Duration(time.Now().UnixNano()) - m.Upstream(1).StartedAt; age < 2900*time.Millisecond || age > 4*time.Second {
		t.Errorf("age %v, want 3 s", age)
	}
	m.UpSinceMS = 0
	if at := m.Upstream(1).StartedAt; at != 0 {
		t.Errorf("long ago: got %v", at)
	}
}

func TestNames(t *testing.T) {
	n := NewNames()
	if got := n.ID("s-5be2a07c"); got != balancer.UpstreamID(0x5be2a07c) {
		t.Errorf("%s: got %v", "hex", got)
	}
	if got := n.ID("s-5be2a07c"); got != balancer.UpstreamID(0x5be2a07c) {
		t.Errorf("%s: got %v", "the same again", got)
	}
	other := n.ID("5be2a07c.example")
	if got := other; got != Hashed("5be2a07c.example") {
		t.Errorf("%s: got %v", "another form", got)
	}
	seen := map[balancer.UpstreamID]string{}
	for _, text := range []string{"s-7", "s-07", "s-007", "s-zz", "s-123456789", "", "s-"} { // three that come to one number
		id := n.ID(text)
		if seen[id] != "" {
			t.Errorf("%q and %q are mixed up", text, seen[id])
		}
		seen[id] = text
	}
}
