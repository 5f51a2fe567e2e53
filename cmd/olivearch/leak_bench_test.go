package main

import (
	"cmp"
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

// leakFileVariable names the CSV file to which BenchmarkMemoryBesideHostileClients writes its figures of each second;
// empty: none.
const leakFileVariable = "OLIVEARCH_BENCH_LEAK_FILE"

// leakRunLimit bounds the life of the process that the benchmark starts.
const leakRunLimit = 2 * time.Hour

// BenchmarkMemoryBesideHostileClients measures whether one process loses memory or descriptors slowly beside all kinds
// of hostile clients in turn. A round takes 36 s: -benchtime 50x is half an hour.
func BenchmarkMemoryBesideHostileClients(b *testing.B) {
	b.Setenv("GODEBUG", "gctrace=1") // the log tells the heap and the stacks after each collection
	process := startPlatformFor(b, leakRunLimit, hostileFleet, respondUnfinished, `"memory_mb":192`, `"memory_mb":80`)
	var memory runtimeMemory
	go memory.follow(process.lines)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var outcomes honestOutcomes
	var running sync.WaitGroup
	running.Go(func() { patientClients.run(ctx, process.listen, &outcomes) })
	var samples []sample
	running.Go(func() { samples = sampleUntil(ctx, b, process.cmd.Process.Pid, &memory) })
	for range b.N {
		for _, hostile := range unfinishedRequests {
			if err := startHostile(ctx, b, hostile, process.listen).Wait(); err != nil {
				b.Error(err)
			}
		}
	}
	cancel()
	running.Wait()
	b.Logf("honest requests: %v", &outcomes)
	reportThirds(b, samples)
}

// reportThirds reports the means of the first and of the last third of the samples.
func reportThirds(b *testing.B, samples []sample) {
	b.Helper()
	third := len(samples) / 3
	if third == 0 {
		return
	}
	for name, value := range map[string]func(sample) float64{
		"resident-MB": func(s sample) float64 { return s.residentMB },
		"descriptors": func(s sample) float64 { return s.descriptors },
		"heap-MB":     func(s sample) float64 { return s.heapMB },
		"stacks-MB":   func(s sample) float64 { return s.stacksMB },
	} {
		b.ReportMetric(mean(samples[:third], value), "first-"+name)
		b.ReportMetric(mean(samples[len(samples)-third:], value), "last-"+name)
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
func sampleUntil(ctx context.Context, t testing.TB, pid int, memory *runtimeMemory) (samples []sample) {
	t.Helper()
	file, err := os.Create(cmp.Or(os.Getenv(leakFileVariable), os.DevNull))
	if err != nil {
		t.Error(err)
		return nil
	}
	defer file.Close()
	_, _ = fmt.Fprintln(file, "second,resident MB,peak MB,descriptors,threads,heap MB,stacks MB")
	for ctx.Err() == nil {
		<-time.After(time.Second)
		usage, err := procstat.Of(pid)
		if err != nil {
			t.Error(err)
			return samples
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
			t.Error(err)
			return samples
		}
	}
	return samples
}
