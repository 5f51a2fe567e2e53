//go:build !faultinject

package clock

import "time"

// injectedOffset returns 0 in builds without fault injection.
func injectedOffset() time.Duration { return 0 }
