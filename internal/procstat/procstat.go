// Package procstat reads what a process on this machine uses, from /proc (proc(5)).
package procstat

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// CPU is the CPU time that a process has used, over its threads.
func CPU(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, fmt.Errorf("no CPU time to read of process %d", pid)
	}
	var sum time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // a thread that has just ended
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// Resident is the memory that a process holds, in MB of 2^20 bytes.
func Resident(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, errors.New("no memory to read")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), err
}
