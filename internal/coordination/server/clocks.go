package server

import "time"

// uptimeClock is a server's own clock. It never changes after the start, so that any goroutine may read it.
type uptimeClock struct{ start time.Time }

// now is how many milliseconds the server runs, plus one: 0 means that no time is known.
func (u uptimeClock) now() uint64 { return uint64(time.Since(u.start)/time.Millisecond) + 1 }

// clusterClock counts the cluster's clock on, from what the log's last command has left it at, by the leader's
// monotonic clock. So it never runs ahead of real time, and stands still while nobody leads.
type clusterClock struct {
	startedAt  time.Time
	startValue uint64 // ms
}

// start begins to count from a value in milliseconds.
func (c *clusterClock) start(now time.Time, value uint64) {
	c.startedAt, c.startValue = now, value
}

// at is the clock's value in milliseconds.
func (c *clusterClock) at(now time.Time) uint64 {
	return c.startValue + uint64(now.Sub(c.startedAt)/time.Millisecond)
}
