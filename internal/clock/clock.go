// Package clock reads the machine's clock as Unix time, for times that other machines compare with theirs. Intervals
// and timeouts are measured with the monotonic clock instead (time.Since), and do not use this package.
//
// A build with the tag "faultinject" can be told to read the clock with an offset, for fault tests
// (internal/faulttest). Other builds have no way to do that.
package clock

import "time"

// Now returns the time of the machine's clock, with the offset that is injected, if any.
func Now() time.Time { return time.Now().Add(injectedOffset()) }
