//go:build faultinject

package disk

import (
	"os"
	"strings"
	"syscall"
	"time"
)

// FaultVariable is the environment variable that names a file with the fault of the disk: full, error, torn, or slow and a
// duration. The file may come and go at any time.
const FaultVariable = "OLIVEARCH_GROUND_DISK"

// injectFault takes the place of Replace if the disk is to fail; it reports whether it did. A torn write leaves half of
// the new contents in the file, as a disk does that acknowledges what it has not stored.
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
