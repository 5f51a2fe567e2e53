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

// writeManyLists writes one endpoint list per pool, with 2,000 down to 2 endpoints. It returns a configuration of the
// pools that follow these lists, and the number of endpoints on each.
func writeManyLists(t *testing.T, folder string, pools int) (text string, sizes []int) {
	t.Helper()
	var b strings.Builder
	b.WriteString("limits: {descriptors: 4096, memory: 1GiB}\nclasses: {c: {aim: 250ms, deadline: 1s}}\npools:\n")
	for i := range pools {
		n := max(2, int(2000/math.Pow(float64(i+1), 0.91)))
		sizes = append(sizes, n)
		replaceFile(t, filepath.Join(folder, fmt.Sprintf("p%03d.yaml", i)), listYAML(i, n, -1))
		fmt.Fprintf(&b, "  p%03d: {nodes: {file: p%03d.yaml}, connections: 4, queue: 1}\n", i, i)
	}
	b.WriteString("routes: [{name: r, hosts: [a.example.org], class: c, pool: p000}]\n")
	return b.String(), sizes
}

// listYAML returns a list of n endpoints at which nothing listens. The one at drainingIndex is draining (-1: none).
func listYAML(list, n, drainingIndex int) string {
	var b strings.Builder
	b.WriteString("nodes:\n")
	for i := range n {
		phase := "up"
		if i == drainingIndex {
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

func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func cpuTime(t *testing.T) time.Duration {
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

// waitForPhases waits up to 20 s until a pool has the wanted number of endpoints in the phases up and draining.
func (x *testService) waitForPhases(pool string, want map[string]int) {
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

// TestManyLists starts 490 pools, each with a list of its own. These are more lists than a user may have inotify
// instances. It drains an endpoint on a short list and on the longest one: each drain must take effect within a second.
func TestManyLists(t *testing.T) {
	folder := t.TempDir()
	text, sizes := writeManyLists(t, folder, 490)
	x := &testService{t: t, folder: folder}
	c := x.parse(text)
	began, cpu := time.Now(), cpuTime(t)
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
	waitForList := func(list, draining int) {
		t.Helper()
		x.waitForPhases(fmt.Sprintf("p%03d", list),
			map[string]int{"up": sizes[list] - draining, "draining": draining})
	}
	for i := range sizes {
		waitForList(i, 0)
	}
	total := 0
	for _, n := range sizes {
		total += n
	}
	t.Logf("490 pools, %d endpoints: all up after %v, %v of CPU time", total, time.Since(began), cpuTime(t)-cpu)
	if n := inotifyInstances(); n > 1 {
		t.Errorf("%d inotify instances, want at most 1", n)
	}
	for _, list := range []int{short, 0} {
		for _, drainingIndex := range []int{0, -1, 1} {
			draining := min(1, 1+drainingIndex)
			began := time.Now()
			replaceFile(t, filepath.Join(folder, fmt.Sprintf("p%03d.yaml", list)),
				listYAML(list, sizes[list], drainingIndex))
			waitForList(list, draining)
			took := time.Since(began)
			t.Logf("list of %d endpoints: change in effect after %v", sizes[list], took)
			if took > time.Second && drainingIndex >= 0 {
				t.Errorf("list of %d endpoints: drain in effect after %v, want at most 1 s",
					sizes[list], took)
			}
		}
	}
}

// TestListErrorsAreSorted: although several goroutines read the lists, the error names every faulty list, in the order
// of the pools' names.
func TestListErrorsAreSorted(t *testing.T) {
	folder := t.TempDir()
	text, _ := writeManyLists(t, folder, 40)
	for _, i := range []int{31, 7, 19} {
		replaceFile(t, filepath.Join(folder, fmt.Sprintf("p%03d.yaml", i)), "nodes:\n- {address: nowhere}\n")
	}
	os.Remove(filepath.Join(folder, "p002.yaml"))
	c := (&testService{t: t, folder: folder}).parse(text)
	for range 5 {
		_, err := Start(c, "test")
		_, checked := CheckLists(c)
		for _, err := range []error{err, checked} {
			if err == nil {
				t.Fatal("no error for lists that cannot be read")
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

// TestUnchangedListIsConfirmed: a poll that finds the list file unchanged confirms the list, which resets its age.
func TestUnchangedListIsConfirmed(t *testing.T) {
	folder := t.TempDir()
	replaceFile(t, filepath.Join(folder, "a.yaml"), listYAML(0, 2, -1))
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
	x.waitFor("the pool has the list", func(live.View) bool { return len(x.pool("a").Nodes) == 2 })
	age := x.pool("a").ListAgeMS
	x.waitFor("a poll confirmed the unchanged list", func(live.View) bool {
		before := age
		age = x.pool("a").ListAgeMS
		return age < before
	})
}
