package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is what a process holds at a moment, and has read so far.
type Usage struct {
	ResidentMB  float64 // of 2^20 bytes
	PeakMB      float64 // the most that was ever resident
	Threads     int
	Descriptors int
	Read        int64 // bytes, by any system call that reads: files, pipes and sockets
}

// Of reads a process's usage.
func Of(pid int) (u Usage, err error) {
	status, err := fields(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	io, err := fields(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, err
	}
	return Usage{
		ResidentMB: float64(status["VmRSS"]) / 1024, PeakMB: float64(status["VmHWM"]) / 1024, Threads: int(status["Threads"]),
		Descriptors: len(open), Read: io["rchar"],
	}, nil
}

// fields reads the numbers in a file of lines "name: number unit".
func fields(path string) (map[string]int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	all := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		name, rest, _ := strings.Cut(line, ":")
		if words := strings.Fields(rest); len(words) > 0 {
			if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
				all[name] = n
			}
		}
	}
	return all, nil
}
