//go:build faultinject

package clock

import (
	"os"
	"strings"
	"time"
)

// OffsetVariable is the environment variable that names a file with the clock's offset, as time.ParseDuration reads it; it
// is positive for a clock that is ahead. The file may change at any time: the clock then jumps.
const OffsetVariable = "OLIVEARCH_GROUND_CLOCK"

// injectedOffset returns by how much the clock is to be ahead: 0 without a file, or with one that holds no duration.
func injectedOffset() time.Duration {
	text, err := os.ReadFile(os.Getenv(OffsetVariable))
	if err != nil {
		return 0
	}
	offset, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return offset
}
