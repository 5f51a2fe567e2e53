// Package clock reads the machine's wall clock, for times that other machines compare with their own. Intervals and
// timeouts are measured with the monotonic clock instead (time.Since); a Moment is such a time for several goroutines.
//
// In a build with the tag "faultinject", fault tests (internal/faulttest) can add an offset to the clock. Other builds
// contain no fault injection.
package clock

import "time"

// Now returns the wall-clock time, plus the injected offset if there is one.
func Now() time.Time { return time.Now().Add(injectedOffset()) }
