package clock

import (
	"strings"
	"testing"
	"time"
)

// TestMomentIsMonotonic guards against connections that are closed because the machine's clock was set: a time without
// a monotonic reading moves with it.
func TestMomentIsMonotonic(t *testing.T) {
	var moment Moment
	now := time.Now()
	moment.Set(now)
	if !moment.Time().Equal(now) {
		t.Errorf("got %v, want %v", moment.Time(), now)
	}
	if !strings.Contains(moment.Time().String(), "m=") {
		t.Errorf("%v has no monotonic reading", moment.Time())
	}
}
