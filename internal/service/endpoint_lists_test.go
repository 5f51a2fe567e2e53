package service

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/live"
)

// fleetOfLists writes so many lists, the longest of 2,000 nodes and the shortest of 2, and returns the pools that
// follow them, as text of a configuration.
func fleetOfLists(t *testing.T, folder string, pools int) (text string, sizes []int) {
	t.Helper()
	var b strings.Builder
	b.WriteString("limits: {descriptors: 4096, memory: 1GiB}\nclasses: {c: {aim: 250ms, deadline: 1s}}\npools:\n")
	for i := range pools {
		n := max(2, int(2000/math.Pow(float64(i+1), 0.91)))
		sizes = append(sizes, n)
		writeText(t, filepath.Join(folder, fmt.Sprintf("p%03d.yaml", i)), listText(i, n, -1))
		fmt.Fprintf(&b, "  p%03d: {nodes: {file: p%03d.yaml}, connections: 4, queue: 1}\n", i, i)
	}
	b.WriteString("routes: [{name: r, hosts: [a.example.org], class: c, pool: p000}]\n")
	return b.String(), sizes
}

// listText is a list of n nodes at which nothing listens, of which one drains; -1: none.
func listText(list, n, drains int) string {
	var b strings.Builder
	b.WriteString("nodes:\n")
	for i := range n {
		phase := "up"
		if i == drains {
			phase = "draining"
		}
		fmt.Fprintf(
			&b,
			"- {id: n%d, address: '127.%d.%d.%d:%d', phase: %s}\n",
			i,
			1+list/200,
			list%200,
			1+i%200,
			8000+i/200,
			phase,
		)
	}
	return b.String()
}

func writeText(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func inotifyInstances() (n int) {
	entries, _ := os.ReadDir("/proc/self/fd")
	for _, e := range entries {
		if target, _ := os.Readlink("/proc/self/fd/" + e.Name()); strings.Contains(target, "inotify") {
			n++
		}
	}
	return n
}

// awaitPhases waits up to 20 s until a pool has so many nodes by phase.
func (x *testService) awaitPhases(pool string, want map[string]int) {
	x.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		phases := map[string]int{}
		for _, n := range x.state.Load().pools[pool].View().Nodes {
			phases[n.Phase]++
		}
		if phases["up"] == want["up"] && phases["draining"] == want["draining"] {
			return
		}
		if time.Now().After(end) {
			x.t.Fatalf("pool %s: %v, want %v", pool, phases, want)
		}
	}
}

// TestManyLists starts 490 pools, each with a list of its own, which are more than there are inotify instances, and
// drains a node in a short list and in the longest: each is in force within a second. The times are shown.
func TestManyLists(t *testing.T) {
	folder := t.TempDir()
	text, sizes := fleetOfLists(t, folder, 490)
	x := &testService{t: t, folder: folder}
	c := x.parse(text)
	began, cpu := time.Now(), processorTime(t)
	s, err := Start(c, "test")
	if err != nil {
		t.Fatal(err)
	}
	x.Service = s
	defer s.Stop()
	short := 0
	for i, n := range sizes {
		if n >= 37 {
			short = i
		}
	}
	await := func(list, draining int) {
		t.Helper()
		x.awaitPhases(fmt.Sprintf("p%03d", list), map[string]int{"up": sizes[list] - draining, "draining": draining})
	}
	for i := range sizes {
		await(i, 0)
	}
	total := 0
	for _, n := range sizes {
		total += n
	}
	t.Logf("490 pools, %d nodes: all up after %v, %v of CPU", total, time.Since(began), processorTime(t)-cpu)
	if n := inotifyInstances(); n > 1 {
		t.Errorf("%d inotify instances", n)
	}
	for _, list := range []int{short, 0} {
		for _, drains := range []int{0, -1, 1} {
			draining := min(1, 1+drains)
			began := time.Now()
			writeText(t, filepath.Join(folder, fmt.Sprintf("p%03d.yaml", list)), listText(list, sizes[list], drains))
			await(list, draining)
			took := time.Since(began)
			t.Logf("a drain in a list of %d: in force after %v", sizes[list], took)
			if took > time.Second && drains >= 0 {
				t.Errorf("a drain in a list of %d: in force after %v", sizes[list], took)
			}
		}
	}
}

// TestErrorsOfManyLists: lists are read on many goroutines, and all that is wrong is told in the order of the pools'
// names.
func TestErrorsOfManyLists(t *testing.T) {
	folder := t.TempDir()
	text, _ := fleetOfLists(t, folder, 40)
	for _, i := range []int{31, 7, 19} {
		writeText(t, filepath.Join(folder, fmt.Sprintf("p%03d.yaml", i)), "nodes:\n- {address: nowhere}\n")
	}
	os.Remove(filepath.Join(folder, "p002.yaml"))
	c := (&testService{t: t, folder: folder}).parse(text)
	for range 5 {
		_, err := Start(c, "test")
		_, checked := CheckLists(c)
		for _, err := range []error{err, checked} {
			if err == nil {
				t.Fatal("taken")
			}
			lines := strings.Split(err.Error(), "\n")
			if len(lines) != 4 || !strings.HasPrefix(lines[0], "pool p002: nodes: ") ||
				!strings.Contains(lines[1], "p007.yaml:2:13:") ||
				!strings.HasPrefix(lines[2], "pool p019: nodes: ") ||
				!strings.HasPrefix(lines[3], "pool p031: nodes: ") {
				t.Fatalf("%q", lines)
			}
		}
	}
}

// TestUnchangedListHolds: a list that is looked at and stays as it is is good word of its source.
func TestUnchangedListHolds(t *testing.T) {
	folder := t.TempDir()
	writeText(t, filepath.Join(folder, "a.yaml"), listText(0, 2, -1))
	x := &testService{t: t, folder: folder}
	s, err := Start(
		x.parse(
			"classes: {c: {aim: 250ms, deadline: 1s}}\n"+
				"pools: {a: {nodes: {file: a.yaml, hold: 10s}, connections: 4, queue: 4}}\n"+
				"routes: [{name: r, hosts: [a.example.org], class: c, pool: a}]\n",
		),
		"test",
	)
	if err != nil {
		t.Fatal(err)
	}
	x.Service = s
	defer s.Stop()
	x.waitFor("the list was told", func(live.View) bool { return len(x.pool("a").Nodes) == 2 })
	age := x.pool("a").ListAgeMS
	x.waitFor("a look that found nothing new", func(live.View) bool {
		before := age
		age = x.pool("a").ListAgeMS
		return age < before
	})
}
