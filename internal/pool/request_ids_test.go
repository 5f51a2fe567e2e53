package pool

import (
	"strconv"
	"testing"
	"time"
)

// TestUnansweredIDsAreBounded guards against memory that grows with ever new ids, and against an id that is forgotten
// before its time or never.
func TestUnansweredIDsAreBounded(t *testing.T) {
	ids := newRequestIDs()
	ids.remember("first", 0)
	for i := range 2 * maxUnanswered {
		ids.remember(strconv.Itoa(i), time.Second)
	}
	want(t, "remembered ids", len(ids.unanswered), maxUnanswered)
	want(t, "an id within its period", ids.isTaken("first", unansweredPeriod-1), true)
	want(t, "an id in the next period", ids.isTaken("first", 2*unansweredPeriod-1), true)
	want(t, "an id after that", ids.isTaken("first", 2*unansweredPeriod), false)
	ids.remember("late", 2*unansweredPeriod)
	want(t, "an id after a long pause", ids.isTaken("late", 10*unansweredPeriod), false)
	want(t, "remembered ids after it", len(ids.unanswered)+len(ids.older), 0)
	ids.begin("open", runsOnce)
	want(t, "an open id", ids.isTaken("open", 20*unansweredPeriod), true)
	ids.end("open")
	want(t, "an id that has ended", ids.isTaken("open", 20*unansweredPeriod), false)
}
