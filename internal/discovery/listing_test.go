package discovery

import (
	"testing"
	"time"
)

// TestStartTimeIsUnixTime: all balancers must agree on when an upstream is warm, so its start time is Unix time, also
// if it started before this process. A start time of 0 means long ago.
func TestStartTimeIsUnixTime(t *testing.T) {
	member := Member{ID: "s-1", Phase: PhaseUp, UpSinceMS: time.Now().Add(-3 * time.Second).UnixMilli()}
	age := time.Duration(time.Now().UnixNano()) - member.Upstream(1).StartedAt
	if age < 2900*time.Millisecond || age > 4*time.Second {
		t.Errorf("age %v, want 3 s", age)
	}
	member.UpSinceMS = 0
	if started := member.Upstream(1).StartedAt; started != 0 {
		t.Errorf("started long ago: got %v, want 0", started)
	}
}
