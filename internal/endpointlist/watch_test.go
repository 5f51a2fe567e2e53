package endpointlist

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fsnotify/fsnotify"
	"golang.org/x/sys/unix"
)

// system is an inotify that refuses when a test says so.
type system struct {
	*fsnotify.Watcher
	errors chan error
	t      *testing.T
	refuse *atomic.Pointer[syscall.Errno] // to add
}

func (s *system) Words() (<-chan fsnotify.Event, <-chan error) { return s.Events, s.errors }

func (s *system) Add(path string) error {
	if e := s.refuse.Load(); e != nil {
		return *e
	}
	return s.Watcher.Add(path)
}

// bench is a Watcher with a system that a test can let refuse.
type bench struct {
	*Watcher
	t           *testing.T
	folder      string
	reports     chan error
	open, add   atomic.Pointer[syscall.Errno]
	opened      chan *system
	opens, adds atomic.Int64
}

// newBench makes a Watcher that is not begun. It looks at lists by time only as often as a test sets.
func newBench(t *testing.T) *bench {
	b := &bench{t: t, folder: t.TempDir(), reports: make(chan error, 100), opened: make(chan *system, 100)}
	b.Watcher = newWatcher(t.Context(), time.Hour, func(err error) { b.reports <- err })
	b.poll, b.retry = 10*time.Millisecond, time.Millisecond
	b.Watcher.open = func() (notifier, error) {
		b.opens.Add(1)
		if e := b.open.Load(); e != nil {
			return nil, *e
		}
		w, err := fsnotify.NewWatcher()
		if err != nil {
			return nil, err
		}
		s := &system{w, make(chan error, 10), t, &b.add}
		b.opened <- s
		return s, nil
	}
	return b
}

func (b *bench) begin() *bench {
	ended := make(chan struct{})
	go func() { b.run(b.t.Context()); close(ended) }()
	b.t.Cleanup(func() { <-ended })
	return b
}

// list is a followed list and what was told of it.
type list struct {
	*Following
	t     *testing.T
	path  string
	words chan Word
}

func (b *bench) follow(path string) *list {
	l := &list{t: b.t, path: path, words: make(chan Word, 10000)}
	l.Following = b.Follow(path, Reading{}, func(w Word) {
		if w.List != nil || w.Err != nil {
			l.words <- w
		}
	})
	return l
}

func (b *bench) path(name string) string { return filepath.Join(b.folder, name) }

func text(nodes ...int) string {
	var b strings.Builder
	b.WriteString("nodes:\n")
	for _, n := range nodes {
		fmt.Fprintf(&b, "- {address: '127.0.0.1:%d'}\n", n)
	}
	return b.String()
}

// replace replaces a file at once.
func replace(t *testing.T, path, text string) {
	t.Helper()
	write(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// next is the next word, in 20 s at most.
func (l *list) next() Word {
	l.t.Helper()
	select {
	case w := <-l.words:
		return w
	case <-time.After(20 * time.Second):
		l.t.Fatalf("%s: nothing is told", l.path)
		return Word{}
	}
}

// until wants the list of one node with a port, next.
func (l *list) until(port int) Word {
	l.t.Helper()
	w := l.next()
	if w.Err != nil || len(w.List.Nodes) != 1 || w.List.Nodes[0].Address != fmt.Sprint("127.0.0.1:", port) {
		l.t.Fatalf("%s: %+v, want node %d", l.path, w, port)
	}
	return w
}

// settled waits until the Watcher's goroutine has seen something hold.
func (b *bench) settled(what string, seen func() bool) {
	b.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		ok := false
		b.ask(func() { ok = seen() })
		if ok {
			return
		}
		if time.Now().After(end) {
			b.t.Fatalf("not seen in time: %s", what)
		}
	}
}

func (b *bench) watching(folders ...string) {
	b.t.Helper()
	b.settled("folders are watched", func() bool {
		for _, path := range folders {
			if f := b.folders[path]; f == nil || f.watched == (fileID{}) {
				return false
			}
		}
		return true
	})
}

// sure waits until only what comes from now on makes lists be looked at.
func (b *bench) sure(lists ...*list) {
	b.t.Helper()
	b.settled("lists are known for sure", func() bool {
		for _, l := range lists {
			if !l.sure || l.place < 0 || !l.pressed.IsZero() {
				return false
			}
		}
		return true
	})
}

func (b *bench) reported(want error) {
	b.t.Helper()
	select {
	case err := <-b.reports:
		if !errors.Is(err, want) || (err == nil) != (want == nil) {
			b.t.Fatalf("reported %v, want %v", err, want)
		}
	case <-time.After(20 * time.Second):
		b.t.Fatalf("not reported in time: %v", want)
	}
}

// quiet wants nothing more to be reported.
func (b *bench) quiet() {
	b.t.Helper()
	if len(b.reports) > 0 {
		b.t.Errorf("reported once more: %v", <-b.reports)
	}
}

// TestTwoListsInAFolder: one watch serves both, each is told its own changes, and one that is not followed any more takes
// nothing away from the other.
func TestTwoListsInAFolder(t *testing.T) {
	b := newBench(t)
	b.poll = time.Hour // only what the system tells counts
	write(t, b.path("a"), text(1))
	write(t, b.path("b"), text(2))
	b.begin()
	x, y := b.follow(b.path("a")), b.follow(b.path("b"))
	x.until(1)
	y.until(2)
	b.watching(b.folder)
	if n := len(b.notifier.WatchList()); n != 1 || b.opens.Load() != 1 {
		t.Errorf("%d watches of %d instances for one folder", n, b.opens.Load())
	}
	replace(t, b.path("a"), text(3))
	x.until(3)
	replace(t, b.path("b"), text(4))
	y.until(4)
	x.Stop()
	replace(t, b.path("a"), text(5))
	replace(t, b.path("b"), text(6))
	y.until(6)
	if len(x.words)+len(y.words) > 0 {
		t.Error("more was told than had changed")
	}
	y.Stop()
	b.settled("nothing is watched", func() bool { return b.notifier == nil || len(b.notifier.WatchList()) == 0 })
	z := b.follow(b.path("a"))
	z.until(5)
	b.watching(b.folder)
	replace(t, b.path("a"), text(7))
	z.until(7)
}

// TestOneFolderByTwoNames: the system tells of a folder by one name. The list that is followed by the other hears too, and
// still does when the first is not followed any more.
func TestOneFolderByTwoNames(t *testing.T) {
	b := newBench(t)
	b.poll = 10 * time.Millisecond
	link := filepath.Join(t.TempDir(), "link")
	if err := os.Symlink(b.folder, link); err != nil {
		t.Fatal(err)
	}
	write(t, b.path("a"), text(1))
	b.begin()
	x := b.follow(b.path("a"))
	x.until(1)
	b.watching(b.folder)
	y := b.follow(filepath.Join(link, "a"))
	y.until(1)
	b.watching(b.folder, link)
	b.sure(x, y)
	replace(t, b.path("a"), text(2))
	x.until(2)
	y.until(2)
	x.Stop()
	b.settled("the other name is watched", func() bool {
		return b.notifier != nil && strings.Join(b.notifier.WatchList(), " ") == link
	})
	b.sure(y)
	replace(t, b.path("a"), text(3))
	y.until(3)
}

// TestFolderLinkSwung: the folder's name is a link to another folder now, of which the old one's events tell nothing.
func TestFolderLinkSwung(t *testing.T) {
	b := newBench(t)
	for i, v := range []string{"v1", "v2"} {
		if err := os.Mkdir(b.path(v), 0o700); err != nil {
			t.Fatal(err)
		}
		write(t, b.path(v+"/a"), text(1+i))
	}
	dir := b.path("current")
	if err := os.Symlink("v1", dir); err != nil {
		t.Fatal(err)
	}
	b.begin()
	x := b.follow(filepath.Join(dir, "a"))
	x.until(1)
	b.watching(dir)
	b.sure(x)
	if err := os.Symlink("v2", dir+".new"); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(dir+".new", dir); err != nil {
		t.Fatal(err)
	}
	x.until(2)
	b.sure(x)
	replace(t, b.path("v2/a"), text(3))
	x.until(3)
}

// TestFolderMadeAgain: the folder goes with its list, which is told once, and comes back.
func TestFolderMadeAgain(t *testing.T) {
	b := newBench(t)
	dir := b.path("lists")
	os.Mkdir(dir, 0o700)
	write(t, filepath.Join(dir, "a"), text(1))
	b.begin()
	x := b.follow(filepath.Join(dir, "a"))
	x.until(1)
	for round := range 3 {
		b.watching(dir)
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		if w := x.next(); !errors.Is(w.Err, fs.ErrNotExist) {
			t.Fatalf("round %d: %+v", round, w)
		}
		b.settled("more looks find the same", func() bool { return x.failed > 3 })
		os.Mkdir(dir, 0o700)
		write(t, filepath.Join(dir, "b"), text(1))
		replace(t, filepath.Join(dir, "a"), text(1)) // as it was, and still news: it is good again
		if w := x.until(1); w.Failed < 3 {
			t.Errorf("%d looks that failed", w.Failed)
		}
	}
	if len(b.reports) > 0 {
		t.Errorf("a missing folder is no refusal: %v", <-b.reports)
	}
}

// TestPiecesWithinATick writes twice within one tick of the file system's clock, one length each: the second leaves no trace
// in the stamp, and there is no event that comes later.
func TestPiecesWithinATick(t *testing.T) {
	b := newBench(t)
	b.poll = time.Hour
	path := b.path("a")
	var read atomic.Int64
	b.stat = func(p string) (stamp, bool, error) {
		s, linked, err := statFile(p)
		s.modified, s.status = syscall.Timespec{Sec: 1, Nsec: 1}, syscall.Timespec{Sec: 1, Nsec: 1}
		return s, linked, err
	}
	b.open.Store(new(syscall.EMFILE)) // no events either
	write(t, path, text(1))
	b.begin()
	x := &list{t: t, path: path, words: make(chan Word, 100)}
	x.Following = b.Follow(path, Reading{}, func(w Word) {
		if read.Add(1) == 1 {
			write(t, path, text(2)) // behind the reading, and before the next
		}
		if w.List != nil || w.Err != nil {
			x.words <- w
		}
	})
	x.until(1)
	x.until(2)
	b.settled("the file is known for sure", func() bool { return x.sure })
	if len(x.words) > 0 {
		t.Error("told once more")
	}
}

// TestOnlyWhatDiffersIsTold touches a file and replaces it by the same text: it is read, and neither told nor parsed.
func TestOnlyWhatDiffersIsTold(t *testing.T) {
	b := newBench(t)
	b.poll = time.Hour
	path := b.path("a")
	write(t, path, text(1))
	l, r, err := Read(path)
	if err != nil || len(l.Nodes) != 1 {
		t.Fatal(l, err)
	}
	b.begin()
	words := make(chan Word, 100)
	f := b.Follow(path, r, func(w Word) { words <- w })
	b.watching(b.folder)
	for i := range 3 {
		if i == 1 {
			if err := os.Chtimes(path, time.Time{}, time.Unix(1e9, 0)); err != nil {
				t.Fatal(err)
			}
		} else {
			replace(t, path, text(1))
		}
		s, _, err := statFile(path)
		if err != nil {
			t.Fatal(err)
		}
		b.settled("the new stamp is known", func() bool { return f.last.stamp == s })
	}
	replace(t, path, text(2))
	n := 0
	for w := range words {
		n++
		if w.List != nil {
			break
		}
	}
	if n < 4 {
		t.Errorf("%d words: a look that finds the list as it was is a good word too", n)
	}
}

// TestRefusedAtStart: the system gives no instance. That is said once, changes come by looking, and when it gives one that is
// said once too, and they come by its word.
func TestRefusedAtStart(t *testing.T) {
	for _, why := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOSPC} {
		t.Run(why.Error(), func(t *testing.T) {
			b := newBench(t)
			refuse := &b.open
			if why == syscall.ENOSPC { // of watches
				refuse = &b.add
			}
			refuse.Store(&why)
			var all []*list
			for i := range 6 {
				write(t, b.path(fmt.Sprint(i)), text(1))
			}
			b.begin()
			for i := range 6 {
				all = append(all, b.follow(b.path(fmt.Sprint(i))))
			}
			b.reported(why)
			for i, x := range all {
				x.until(1)
				replace(t, b.path(fmt.Sprint(i)), text(2))
				x.until(2)
			}
			b.settled("it is tried again", func() bool { return b.delay >= 8*time.Millisecond })
			b.quiet()
			refuse.Store(nil)
			b.ask(func() { b.retryAt = time.Time{} })
			b.reported(nil)
			b.watching(b.folder)
			for i, x := range all {
				replace(t, b.path(fmt.Sprint(i)), text(3))
				x.until(3)
			}
			b.quiet()
		})
	}
}

// TestRefusedInMidRun: watches run out when a second folder comes; then the instance itself fails. The first folder is told of
// by the system throughout the former, and none of the lists is lost in either.
func TestRefusedInMidRun(t *testing.T) {
	b := newBench(t)
	other := t.TempDir()
	write(t, b.path("a"), text(1))
	write(t, filepath.Join(other, "b"), text(1))
	b.begin()
	x := b.follow(b.path("a"))
	x.until(1)
	b.watching(b.folder)
	b.add.Store(new(syscall.ENOSPC))
	y := b.follow(filepath.Join(other, "b"))
	y.until(1)
	b.reported(syscall.ENOSPC)
	replace(t, b.path("a"), text(2))
	x.until(2)
	replace(t, filepath.Join(other, "b"), text(2))
	y.until(2)
	b.watching(b.folder)
	b.settled("the second folder is looked at by time", func() bool { return b.folders[other].watched == fileID{} })
	b.quiet()
	b.add.Store(nil)
	b.ask(func() { b.retryAt = time.Time{} })
	b.reported(nil)
	b.watching(b.folder, other)

	b.open.Store(new(syscall.EMFILE))
	broken := errors.New("broken")
	(<-b.opened).errors <- broken
	b.reported(broken)
	for i, l := range []*list{x, y} {
		replace(t, l.path, text(3+i))
		l.until(3 + i)
	}
	b.settled("it is tried again", func() bool { return b.delay >= 8*time.Millisecond })
	b.quiet()
	b.open.Store(nil)
	b.ask(func() { b.retryAt = time.Time{} })
	b.reported(nil)
	b.watching(b.folder, other)
	replace(t, x.path, text(5))
	x.until(5)

	// More came than the system kept: all lists are looked at, and nothing is said.
	next := <-b.opened
	b.ask(func() { b.poll = time.Hour })
	next.errors <- fsnotify.ErrEventOverflow
	replace(t, y.path, text(6))
	y.until(6)
	b.quiet()
}

// TestRetriesArePaced: the pauses grow to their bound.
func TestRetriesArePaced(t *testing.T) {
	b := newBench(t)
	b.retry = retryFirst
	var pauses []string
	for range 8 {
		b.refuse(syscall.EMFILE)
		pauses = append(pauses, b.delay.String())
	}
	if got := strings.Join(pauses, " "); got != "1s 2s 4s 8s 16s 32s 1m0s 1m0s" || len(b.reports) != 1 {
		t.Errorf("%s; %d reports", got, len(b.reports))
	}
}

// TestHungFileHarmsNoOther: a file system answers nothing for one list. The others go on, the following of that one ends at
// once, and what its look finds at last is not told.
func TestHungFileHarmsNoOther(t *testing.T) {
	b := newBench(t)
	hung, release := make(chan struct{}), make(chan struct{})
	b.stat = func(p string) (stamp, bool, error) {
		if p == b.path("hung") {
			close(hung)
			<-release
		}
		return statFile(p)
	}
	write(t, b.path("hung"), text(1))
	write(t, b.path("a"), text(1))
	b.begin()
	x, y := b.follow(b.path("hung")), b.follow(b.path("a"))
	<-hung
	y.until(1)
	replace(t, y.path, text(2))
	y.until(2)
	x.Stop()
	close(release)
	replace(t, y.path, text(3))
	y.until(3)
	if len(x.words) > 0 {
		t.Errorf("told after the end: %+v", <-x.words)
	}
}

// TestChangeDuringALook: a file changes when a look has seen that it had not. The change is told, and what is told last is
// what stands there last.
func TestChangeDuringALook(t *testing.T) {
	b := newBench(t)
	b.poll = time.Hour
	var slow atomic.Bool
	begun, goOn := make(chan struct{}), make(chan struct{})
	b.stat = func(p string) (stamp, bool, error) {
		s, linked, err := statFile(p)
		if p == b.path("a") && slow.CompareAndSwap(true, false) {
			begun <- struct{}{}
			<-goOn
		}
		return s, linked, err
	}
	write(t, b.path("a"), text(1))
	b.begin()
	x := b.follow(b.path("a"))
	x.until(1)
	b.watching(b.folder)
	for port := 2; port < 6; port += 2 {
		b.sure(x)
		slow.Store(true)
		if port == 2 {
			b.ask(func() { b.press(x.folder, "a") }) // and nothing has changed
		} else {
			replace(t, x.path, text(port))
		}
		<-begun
		replace(t, x.path, text(port+1))
		b.settled("the event has come", func() bool { return x.again })
		goOn <- struct{}{}
		w := x.next()
		for w.List.Nodes[0].Address != fmt.Sprint("127.0.0.1:", port+1) {
			w = x.next()
		}
	}
	b.sure(x)
	if s, _, err := statFile(x.path); err != nil || x.last.stamp != s || len(x.words) > 0 {
		t.Errorf("told once more, or another stamp: %d, %v", len(x.words), err)
	}
}

// zipf returns the sizes of so many lists from 2 to 2,000 nodes, nodes in all, as a fleet of services has them.
func zipf(lists, nodes int) []int {
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

func sized(list, n int, mark string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nnodes:\n", mark)
	for i := range n {
		fmt.Fprintf(&b, "- {id: n-%d-%d, address: '10.%d.%d.%d:%d', zone: z%d}\n", list, i, list/250, list%250, i%250, 8000+i/250, i%19)
	}
	return b.String()
}

// TestAllReplacedAtOnce replaces 490 lists of 18,000 nodes at once. All are told, and the time is shown.
func TestAllReplacedAtOnce(t *testing.T) {
	b := newBench(t)
	b.poll = time.Hour
	sizes := zipf(490, 18000)
	for i, n := range sizes {
		write(t, b.path(fmt.Sprint(i)), sized(i, n, "first"))
		write(t, b.path(fmt.Sprint(i, ".next")), sized(i, n, "second")+fmt.Sprintf("- {id: more, address: '10.9.%d.%d:1'}\n", i/250, i%250))
	}
	b.begin()
	var told sync.WaitGroup
	var second sync.WaitGroup
	told.Add(len(sizes))
	second.Add(len(sizes))
	for i, n := range sizes {
		b.Follow(b.path(fmt.Sprint(i)), Reading{}, func(w Word) {
			switch {
			case w.Err != nil:
				t.Error(w.Err)
			case w.List != nil && len(w.List.Nodes) == n:
				told.Done()
			case w.List != nil && len(w.List.Nodes) == n+1:
				second.Done()
			}
		})
	}
	told.Wait()
	b.watching(b.folder)
	began := time.Now()
	for i := range sizes {
		if err := os.Rename(b.path(fmt.Sprint(i, ".next")), b.path(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	written := time.Since(began)
	second.Wait()
	took := time.Since(began)
	t.Logf("490 lists, %d to %d nodes: replaced in %v, all told after %v", sizes[len(sizes)-1], sizes[0], written, took)
	if took > 10*time.Second {
		t.Errorf("all told after %v", took)
	}
}

// TestLongListTorn tears a list of 2,000 nodes in the middle: that is told once, with its place, the others go on, and once
// it is mended it is told.
func TestLongListTorn(t *testing.T) {
	b := newBench(t)
	long := sized(0, 2000, "long")
	write(t, b.path("long"), long)
	write(t, b.path("a"), text(1))
	b.begin()
	x, y := b.follow(b.path("long")), b.follow(b.path("a"))
	if w := x.next(); w.Err != nil || len(w.List.Nodes) != 2000 {
		t.Fatal(w.Err)
	}
	y.until(1)
	b.watching(b.folder)
	cut := strings.Index(long, "n-0-1000") + 20
	replace(t, x.path, long[:cut])
	if w := x.next(); w.Err == nil || !strings.Contains(w.Err.Error(), x.path+":1003:") {
		t.Fatalf("torn: %v", w.Err)
	}
	replace(t, y.path, text(2))
	y.until(2)
	b.settled("more looks find the same", func() bool { return x.failed > 3 })
	if len(x.words) > 0 {
		t.Fatalf("told once more: %+v", <-x.words)
	}
	replace(t, x.path, long[:cut-30])
	if w := x.next(); w.Err == nil || w.Failed < 3 {
		t.Fatalf("torn in another place: %+v", w)
	}
	replace(t, x.path, long)
	if w := x.next(); w.Err != nil || len(w.List.Nodes) != 2000 || w.Failed < 1 {
		t.Fatalf("mended: %v, after %d that failed", w.Err, w.Failed)
	}
}

// TestDescriptorsExhausted runs in a process of its own, whose descriptors are all in use: at the start, and then in mid-run.
func TestDescriptorsExhausted(t *testing.T) {
	if os.Getenv("NODELIST_EXHAUSTED") == "" {
		program := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^TestDescriptorsExhausted$", "-test.v")
		program.Env = append(os.Environ(), "NODELIST_EXHAUSTED=1")
		if out, err := program.CombinedOutput(); err != nil {
			t.Errorf("%v\n%s", err, out)
		}
		return
	}
	var old unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	b := newBench(t)
	b.Watcher.open = openInotify
	write(t, b.path("a"), text(1)) // the runtime has its poller by now
	write(t, b.path("next"), text(2))
	_, read, err := Read(b.path("a"))
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 64, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	var held []int
	exhaust := func() {
		for {
			fd, err := unix.Open("/dev/null", unix.O_RDONLY, 0)
			if err != nil {
				return
			}
			held = append(held, fd)
		}
	}
	free := func(n int) {
		for _, fd := range held[len(held)-n:] {
			unix.Close(fd)
		}
		held = held[:len(held)-n]
	}
	exhaust()
	b.begin()
	x := &list{t: t, path: b.path("a"), words: make(chan Word, 100)}
	x.Following = b.Follow(x.path, read, func(w Word) {
		if w.List != nil || w.Err != nil {
			x.words <- w
		}
	})
	b.reported(syscall.EMFILE)
	if err := os.Rename(b.path("next"), x.path); err != nil {
		t.Fatal(err)
	}
	if w := x.next(); !errors.Is(w.Err, syscall.EMFILE) { // the change is seen, and can't be read
		t.Fatalf("%+v", w)
	}
	b.settled("more looks find the same", func() bool { return x.failed > 3 })
	b.quiet()
	if len(x.words) > 0 {
		t.Fatalf("told once more: %+v", <-x.words)
	}
	free(10)
	x.until(2)
	b.ask(func() { b.retryAt = time.Time{} })
	b.reported(nil)
	b.watching(b.folder)

	write(t, b.path("next"), text(3))
	exhaust() // in mid-run: the system tells on, and the change can't be read
	if err := os.Rename(b.path("next"), x.path); err != nil {
		t.Fatal(err)
	}
	if w := x.next(); !errors.Is(w.Err, syscall.EMFILE) {
		t.Fatalf("%+v", w)
	}
	b.settled("more looks find the same", func() bool { return x.failed > 3 })
	free(10)
	x.until(3)
	b.quiet()
	free(len(held))
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkAtRest follows 490 lists, by the system's word and by time, and shows what that costs in a second: run it with
// -benchtime 1x, the seconds are fixed.
func BenchmarkAtRest(b *testing.B) {
	for _, polled := range []bool{false, true} {
		b.Run(fmt.Sprint("polled=", polled), func(b *testing.B) {
			folder := b.TempDir()
			var told sync.WaitGroup
			w := newWatcher(b.Context(), 5*time.Second, func(error) {})
			if polled {
				w.open = func() (notifier, error) { return nil, syscall.EMFILE }
			}
			go w.run(b.Context())
			for i, n := range zipf(490, 18000) {
				path := filepath.Join(folder, fmt.Sprint(i))
				if err := os.WriteFile(path, []byte(sized(i, n, "")), 0o600); err != nil {
					b.Fatal(err)
				}
				told.Add(1)
				w.Follow(path, Reading{}, func(w Word) {
					if w.List != nil {
						told.Done()
					}
				})
			}
			told.Wait()
			time.Sleep(time.Second) // each is read for the second time
			before := cpu()
			const length = 10 * time.Second
			for b.Loop() {
				time.Sleep(length)
			}
			b.ReportMetric(100*(cpu()-before).Seconds()/length.Seconds()/float64(b.N), "%core")
		})
	}
}

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
