package server

import "time"

// uptimeClock counts milliseconds since the server's start, on the monotonic clock. It is immutable, so any goroutine
// may read it.
type uptimeClock struct{ start time.Time }

// now returns the uptime in milliseconds, plus one: in messages 0 means that no time is known.
func (u uptimeClock) now() uint64 { return uint64(time.Since(u.start)/time.Millisecond) + 1 }

// clusterClock is the cluster's clock as its leader counts it: from the value of the last command in the log, by the
// leader's monotonic clock. So it never runs ahead of real time, and stands still while there is no leader.
type clusterClock struct {
	startedAt  time.Time
	startValue uint64 // ms
}

// start begins to count from a value in milliseconds.
func (c *clusterClock) start(now time.Time, value uint64) {
	c.startedAt, c.startValue = now, value
}

// at returns the clock's value in milliseconds.
func (c *clusterClock) at(now time.Time) uint64 {
	return c.startValue + uint64(now.Sub(c.startedAt)/time.Millisecond)
}
