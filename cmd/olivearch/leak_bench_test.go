package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/internal/procstat"
)

// These start a long run by hand: for how long, and where its figures go.
const (
	leakTimeVariable = "OLIVEARCH_TEST_LEAK_TIME" // a duration such as 30m; empty: no run
	leakFileVariable = "OLIVEARCH_TEST_LEAK_FILE" // a CSV file
)

// TestMemoryStaysLevel guards against memory and descriptors that one process loses slowly beside all kinds of hostile
// clients in turn.
func TestMemoryStaysLevel(t *testing.T) {
	limit, err := time.ParseDuration(os.Getenv(leakTimeVariable))
	if err != nil {
		t.Skip("a long run, by hand: " + leakTimeVariable + " is not set")
	}
	const growth, resolution = 1.1, 1 // of the last third over the first; of what the runtime tells, in MB
	t.Setenv("GODEBUG", "gctrace=1")  // the log tells the heap and the stacks after each collection
	process := startPlatformFor(t, limit+time.Minute, hostileFleet, respondUnfinished, `"memory_mb":192`, `"memory_mb":80`)
	var memory runtimeMemory
	go memory.follow(process.lines)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var outcomes honestOutcomes
	var running sync.WaitGroup
	running.Go(func() { patientClients.run(ctx, process.listen, &outcomes) })
	running.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			_ = startHostile(ctx, t, unfinishedRequests[i%len(unfinishedRequests)], process.listen).Wait() // it may be killed
		}
	})
	samples := sampleUntil(ctx, t, process.cmd.Process.Pid, &memory)
	running.Wait()
	t.Logf("honest requests: %v", &outcomes)
	third := len(samples) / 3
	first, last := samples[:third], samples[len(samples)-third:]
	for name, value := range map[string]func(sample) float64{
		"resident MB": func(s sample) float64 { return s.residentMB },
		"descriptors": func(s sample) float64 { return s.descriptors },
		"heap MB":     func(s sample) float64 { return s.heapMB },
		"stacks MB":   func(s sample) float64 { return s.stacksMB },
	} {
		t.Logf("%s: %.1f in the first third, %.1f in the last", name, mean(first, value), mean(last, value))
		if mean(last, value) > growth*mean(first, value)+resolution {
			t.Errorf("%s grow", name)
		}
	}
}

// runtimeMemory is what the runtime of a process told last, in MB of 2^20 bytes.
type runtimeMemory struct{ heap, stacks atomic.Int64 }

// collection is the part of a line of gctrace that tells the live heap and the stacks.
var collection = regexp.MustCompile(`->(\d+) MB, .* (\d+) MB stacks`)

// follow reads the log of a process to its end.
func (m *runtimeMemory) follow(lines <-chan string) {
	for line := range lines {
		found := collection.FindStringSubmatch(line)
		if found == nil {
			continue
		}
		heap, _ := strconv.ParseInt(found[1], 10, 64) // digits
		stacks, _ := strconv.ParseInt(found[2], 10, 64)
		m.heap.Store(heap)
		m.stacks.Store(stacks)
	}
}

// sample holds the figures of a process at one time.
type sample struct{ residentMB, peakMB, descriptors, threads, heapMB, stacksMB float64 }

func mean(samples []sample, value func(sample) float64) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += value(s)
	}
	return sum / float64(len(samples))
}

// sampleUntil takes a sample each second until ctx ends, and writes them to the file of leakFileVariable.
func sampleUntil(ctx context.Context, t *testing.T, pid int, memory *runtimeMemory) (samples []sample) {
	t.Helper()
	file, err := os.Create(os.Getenv(leakFileVariable))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	_, _ = fmt.Fprintln(file, "second,resident MB,peak MB,descriptors,threads,heap MB,stacks MB")
	for ctx.Err() == nil {
		<-time.After(time.Second)
		usage, err := procstat.Of(pid)
		if err != nil {
			t.Fatal(err)
		}
		taken := sample{
			residentMB:  usage.ResidentMB,
			peakMB:      usage.PeakMB,
			descriptors: float64(usage.Descriptors),
			threads:     float64(usage.Threads),
			heapMB:      float64(memory.heap.Load()),
			stacksMB:    float64(memory.stacks.Load()),
		}
		samples = append(samples, taken)
		if _, err := fmt.Fprintf(file, "%d,%.1f,%.1f,%.0f,%.0f,%.0f,%.0f\n", len(samples), taken.residentMB, taken.peakMB,
			taken.descriptors, taken.threads, taken.heapMB, taken.stacksMB); err != nil {
			t.Fatal(err)
		}
	}
	return samples
}
