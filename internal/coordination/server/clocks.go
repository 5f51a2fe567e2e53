package server

import "time"

// uptimeClock counts milliseconds since the server's start on the monotonic clock. It is immutable, so it is safe for
// concurrent use.
type uptimeClock struct{ start time.Time }

// now returns the uptime in milliseconds plus one, as 0 in a message means that no time is known.
func (u uptimeClock) now() uint64 { return uint64(time.Since(u.start)/time.Millisecond) + 1 }

// clusterClock is the cluster's clock on the leader. It starts at the clock value of the last command in the log and
// advances with the leader's monotonic clock. So it never runs ahead of real time, and stops while there is no leader.
type clusterClock struct {
	startedAt  time.Time
	startValue uint64 // ms
}

// start sets the clock to a value in milliseconds at the time now.
func (c *clusterClock) start(now time.Time, value uint64) {
	c.startedAt, c.startValue = now, value
}

// at returns the clock's value in milliseconds.
func (c *clusterClock) at(now time.Time) uint64 {
	return c.startValue + uint64(now.Sub(c.startedAt)/time.Millisecond)
}
