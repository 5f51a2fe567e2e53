//go:build faultinject

package clock

import (
	"os"
	"strings"
	"time"
)

// Variable names the file that says by how much the clock is ahead, as time.ParseDuration reads it. It may change at any time: the
// clock then jumps.
const Variable = "OLIVEARCH_GROUND_CLOCK"

// wrong is by how much the clock is ahead; 0 if nothing says so.
func wrong() time.Duration {
	text, err := os.ReadFile(os.Getenv(Variable))
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return d
}
