//go:build faultinject

package disk

import (
	"os"
	"strings"
	"syscall"
	"time"
)

// Variable names the file that says how the disk fails: full, error, torn, or slow and a time. It may come and go at any time.
const Variable = "OLIVEARCH_GROUND_DISK"

// fail does what a failing disk does in the place of Replace; handled: it did. A torn write leaves half of the new text in the place
// of the old, as a disk does that lies about what it has.
func fail(path string, whole []byte) (handled bool, err error) {
	text, err := os.ReadFile(os.Getenv(Variable))
	if err != nil {
		return false, nil
	}
	kind, rest, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	switch kind {
	case "full":
		return true, &os.PathError{Op: "write", Path: path, Err: syscall.ENOSPC}
	case "error":
		return true, &os.PathError{Op: "write", Path: path, Err: syscall.EIO}
	case "torn":
		return true, os.WriteFile(path, whole[:len(whole)/2], 0o600)
	case "slow":
		if d, err := time.ParseDuration(rest); err == nil {
			time.Sleep(d)
		}
	}
	return false, nil
}
