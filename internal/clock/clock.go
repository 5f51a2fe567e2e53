// Package clock reads the machine's clock, where Unix time is meant: what other machines date stands on it. What is measured or awaited
// goes by the monotonic clock (time.Since) and does not use it.
//
// A build with the tag "faultinject" can be told that the clock is wrong, for the proving ground's tests (internal/faulttest); the product
// has no such door.
package clock

import "time"

// Now is the time of the machine's clock.
func Now() time.Time { return time.Now().Add(wrong()) }
