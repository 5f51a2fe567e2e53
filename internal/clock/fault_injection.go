//go:build faultinject

package clock

import (
	"os"
	"strings"
	"time"
)

// OffsetVariable is the environment variable with the path of a file that has the clock's offset, in the format of
// time.ParseDuration. A positive offset sets the clock ahead. The file may change at any time, and the clock then
// jumps.
const OffsetVariable = "OLIVEARCH_GROUND_CLOCK"

// injectedOffset returns the offset in the file; 0 if there is no file, or no valid duration in it.
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
