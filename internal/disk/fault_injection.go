//go:build faultinject

package disk

import (
	"os"
	"strings"
	"syscall"
	"time"
)

// FaultVariable is the environment variable with the path of a file that names the fault to inject: full, error, torn,
// or slow and a duration. The file may be created and removed at any time.
const FaultVariable = "OLIVEARCH_GROUND_DISK"

// injectFault injects the fault, if any, into a Replace. If handled is true, Replace returns err and does nothing else.
// A torn write leaves half of the new contents in the file and returns no error, like a disk that acknowledges what it
// has not stored. A slow write is only delayed.
func injectFault(path string, contents []byte) (handled bool, err error) {
	text, err := os.ReadFile(os.Getenv(FaultVariable))
	if err != nil {
		return false, nil
	}
	fault, argument, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	switch fault {
	case "full":
		return true, &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	case "error":
		return true, &os.PathError{Op: "write", Path: path, Err: syscall.EIO}
	case "torn":
		return true, os.WriteFile(path, contents[:len(contents)/2], 0o600)
	case "slow":
		if delay, err := time.ParseDuration(argument); err == nil {
			time.Sleep(delay)
		}
	}
	return false, nil
}
