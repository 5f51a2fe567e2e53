package endpointlist

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The size of a fleet of services: the number of its lists, and of all nodes in them.
const (
	fleetLists = 490
	fleetNodes = 18_000
)

// zipfSizes returns the sizes of the lists of a fleet, from 2 to 2,000 nodes, with at most the given number of nodes in
// total. As in a fleet of services, the sizes follow Zipf's law.
func zipfSizes(lists, nodes int) []int {
	sizes := make([]int, lists)
	for exponent := 0.5; ; exponent += 0.01 {
		sum := 0
		for i := range sizes {
			sizes[i] = max(2, int(2000/math.Pow(float64(i+1), exponent)))
			sum += sizes[i]
		}
		if sum <= nodes {
			return sizes
		}
	}
}

// markedList returns the text of a list with mark as a comment, so that equal lists have different texts.
func markedList(list, size int, mark string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\nnodes:\n", mark)
	for i := range size {
		fmt.Fprintf(&text, "- {id: n-%d-%d, address: '10.%d.%d.%d:%d', zone: z%d}\n",
			list, i, list/250, list%250, i%250, 8000+i/250, i%19)
	}
	return text.String()
}

// TestAllReplacedAtOnce replaces all lists of a fleet at the same time. Each new list has one more node. Updates of all
// lists must arrive within 10 s; the test logs the time.
func TestAllReplacedAtOnce(t *testing.T) {
	fixture := newWatcherFixture(t)
	fixture.pollInterval = time.Hour
	sizes := zipfSizes(fleetLists, fleetNodes)
	for i, size := range sizes {
		added := fmt.Sprintf("- {id: more, address: '10.9.%d.%d:1'}\n", i/250, i%250)
		writeFile(t, fixture.path(fmt.Sprint(i)), markedList(i, size, "first"))
		writeFile(t, fixture.path(fmt.Sprint(i, ".next")), markedList(i, size, "second")+added)
	}
	fixture.start()
	var first, second sync.WaitGroup
	first.Add(len(sizes))
	second.Add(len(sizes))
	for i, size := range sizes {
		fixture.Follow(fixture.path(fmt.Sprint(i)), FileState{}, func(update Update) {
			switch {
			case update.Err != nil:
				t.Error(update.Err)
			case update.List != nil && len(update.List.Nodes) == size:
				first.Done()
			case update.List != nil && len(update.List.Nodes) == size+1:
				second.Done()
			}
		})
	}
	first.Wait()
	fixture.waitWatched(fixture.folder)
	start := time.Now()
	for i := range sizes {
		renameFile(t, fixture.path(fmt.Sprint(i, ".next")), fixture.path(fmt.Sprint(i)))
	}
	replaced := time.Since(start)
	second.Wait()
	elapsed := time.Since(start)
	t.Logf("%d lists, %d to %d nodes: replaced in %v, all notified after %v",
		len(sizes), sizes[len(sizes)-1], sizes[0], replaced, elapsed)
	if elapsed > 10*time.Second {
		t.Errorf("all notified after %v", elapsed)
	}
}

// BenchmarkAtRest follows the unchanged lists of a fleet, by events and by polling. It measures the CPU time of ten
// seconds as a percentage of a core. Run it with -benchtime 1x.
func BenchmarkAtRest(b *testing.B) {
	for _, polled := range []bool{false, true} {
		b.Run(fmt.Sprint("polled=", polled), func(b *testing.B) { benchmarkAtRest(b, polled) })
	}
}

func benchmarkAtRest(b *testing.B, polled bool) {
	b.Helper()
	folder := b.TempDir()
	var notified sync.WaitGroup
	watcher := newWatcher(b.Context(), 5*time.Second, func(error) {})
	if polled {
		watcher.openNotifier = func() (notifier, error) { return nil, syscall.EMFILE }
	}
	go watcher.run(b.Context())
	for i, size := range zipfSizes(fleetLists, fleetNodes) {
		path := filepath.Join(folder, fmt.Sprint(i))
		if err := os.WriteFile(path, []byte(markedList(i, size, "")), 0o600); err != nil {
			b.Fatal(err)
		}
		notified.Add(1)
		watcher.Follow(path, FileState{}, func(update Update) {
			if update.List != nil {
				notified.Done()
			}
		})
	}
	notified.Wait()
	time.Sleep(time.Second) // until each list was read again and is confirmed
	before := cpuTime(b)
	const period = 10 * time.Second
	for b.Loop() {
		time.Sleep(period)
	}
	b.ReportMetric(100*(cpuTime(b)-before).Seconds()/period.Seconds()/float64(b.N), "%core")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
