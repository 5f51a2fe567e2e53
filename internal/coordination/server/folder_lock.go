package server

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// lockTimeout bounds the wait for an earlier process that still has the folder locked.
const lockTimeout = 2 * time.Second

// lockRetryInterval is the pause between two attempts to lock a folder.
const lockRetryInterval = 20 * time.Millisecond

// lockFolder locks a folder against other processes. The lock ends when the returned file is closed or the process
// ends.
func lockFolder(folder string) (*os.File, error) {
	file, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(lockTimeout)
	for {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return file, nil
		}
		if time.Now().After(deadline) {
			file.Close()
			return nil, fmt.Errorf("folder %s: another process uses it: %w", folder, err)
		}
		time.Sleep(lockRetryInterval)
	}
}
