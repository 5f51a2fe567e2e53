package clock

import (
	"sync/atomic"
	"time"
)

// processStart is the origin of all Moments.
var processStart = time.Now()

// Moment is a time that several goroutines may set and read. It is kept on the monotonic clock, so setting the
// machine's clock does not move it. The zero value is the start of the process.
type Moment struct{ sinceStart atomic.Int64 }

// Set sets the moment to a time that has a monotonic clock reading.
func (m *Moment) Set(at time.Time) { m.sinceStart.Store(int64(at.Sub(processStart))) }

// Time returns the moment with its monotonic clock reading.
func (m *Moment) Time() time.Time { return processStart.Add(time.Duration(m.sinceStart.Load())) }
