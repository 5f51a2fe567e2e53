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

// refusingNotifier is an inotify that refuses when a test says so.
type refusingNotifier struct {
	*fsnotify.Watcher
	errors  chan error
	t       *testing.T
	refusal *atomic.Pointer[syscall.Errno] // to add
}

func (s *refusingNotifier) Channels() (<-chan fsnotify.Event, <-chan error) {
	return s.Events, s.errors
}

func (s *refusingNotifier) Add(path string) error {
	if e := s.refusal.Load(); e != nil {
		return *e
	}
	return s.Watcher.Add(path)
}

// watcherFixture is a Watcher with a system that a test can let refuse.
type watcherFixture struct {
	*Watcher
	t                       *testing.T
	folder                  string
	reports                 chan error
	openRefusal, addRefusal atomic.Pointer[syscall.Errno]
	opened                  chan *refusingNotifier
	openCount, adds         atomic.Int64
}

// newWatcherFixture makes a Watcher that is not begun. It looks at lists by time only as often as a test sets.
func newWatcherFixture(t *testing.T) *watcherFixture {
	b := &watcherFixture{t: t, folder: t.TempDir(), reports: make(chan error, 100), opened: make(chan *refusingNotifier, 100)}
	b.Watcher = newWatcher(t.Context(), time.Hour, func(err error) { b.reports <- err })
	b.pollInterval, b.firstBackoff = 10*time.Millisecond, time.Millisecond
	b.Watcher.openNotifier = func() (notifier, error) {
		b.openCount.Add(1)
		if e := b.openRefusal.Load(); e != nil {
			return nil, *e
		}
		w, err := fsnotify.NewWatcher()
		if err != nil {
			return nil, err
		}
		s := &refusingNotifier{w, make(chan error, 10), t, &b.addRefusal}
		b.opened <- s
		return s, nil
	}
	return b
}

func (b *watcherFixture) start() *watcherFixture {
	ended := make(chan struct{})
	go func() { b.run(b.t.Context()); close(ended) }()
	b.t.Cleanup(func() { <-ended })
	return b
}

// followedList is a followed list and what was told of it.
type followedList struct {
	*Subscription
	t       *testing.T
	path    string
	updates chan Word
}

func (b *watcherFixture) follow(path string) *followedList {
	l := &followedList{t: b.t, path: path, updates: make(chan Word, 10000)}
	l.Subscription = b.Follow(path, Reading{}, func(w Word) {
		if w.List != nil || w.Err != nil {
			l.updates <- w
		}
	})
	return l
}

func (b *watcherFixture) path(name string) string { return filepath.Join(b.folder, name) }

func listText(nodes ...int) string {
	var b strings.Builder
	b.WriteString("nodes:\n")
	for _, n := range nodes {
		fmt.Fprintf(&b, "- {address: '127.0.0.1:%d'}\n", n)
	}
	return b.String()
}

// replaceFile replaces a file at once.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// nextUpdate is the next word, in 20 s at most.
func (l *followedList) nextUpdate() Word {
	l.t.Helper()
	select {
	case w := <-l.updates:
		return w
	case <-time.After(20 * time.Second):
		l.t.Fatalf("%s: nothing is told", l.path)
		return Word{}
	}
}

// wantPort wants the list of one node with a port, next.
func (l *followedList) wantPort(port int) Word {
	l.t.Helper()
	w := l.nextUpdate()
	if w.Err != nil || len(w.List.Nodes) != 1 || w.List.Nodes[0].Address != fmt.Sprint("127.0.0.1:", port) {
		l.t.Fatalf("%s: %+v, want node %d", l.path, w, port)
	}
	return w
}

// waitUntil waits until the Watcher's goroutine has seen something hold.
func (b *watcherFixture) waitUntil(what string, seen func() bool) {
	b.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		ok := false
		b.do(func() { ok = seen() })
		if ok {
			return
		}
		if time.Now().After(end) {
			b.t.Fatalf("not seen in time: %s", what)
		}
	}
}

func (b *watcherFixture) waitWatched(folders ...string) {
	b.t.Helper()
	b.waitUntil("folders are watched", func() bool {
		for _, path := range folders {
			if f := b.folders[path]; f == nil || f.watched == (fileID{}) {
				return false
			}
		}
		return true
	})
}

// waitConfirmed waits until only what comes from now on makes lists be looked at.
func (b *watcherFixture) waitConfirmed(lists ...*followedList) {
	b.t.Helper()
	b.waitUntil("lists are known for sure", func() bool {
		for _, l := range lists {
			if !l.confirmed || l.queueIndex < 0 || !l.changeSeen.IsZero() {
				return false
			}
		}
		return true
	})
}

func (b *watcherFixture) wantReport(want error) {
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

// wantNoReport wants nothing more to be reported.
func (b *watcherFixture) wantNoReport() {
	b.t.Helper()
	if len(b.reports) > 0 {
		b.t.Errorf("reported once more: %v", <-b.reports)
	}
}

// TestTwoListsInAFolder: one watch serves both, each is told its own changes, and one that is not followed any more takes
// nothing away from the other.
func TestTwoListsInAFolder(t *testing.T) {
	b := newWatcherFixture(t)
	b.pollInterval = time.Hour // only what the system tells counts
	writeFile(t, b.path("a"), listText(1))
	writeFile(t, b.path("b"), listText(2))
	b.start()
	x, y := b.follow(b.path("a")), b.follow(b.path("b"))
	x.wantPort(1)
	y.wantPort(2)
	b.waitWatched(b.folder)
	if n := len(b.notifier.WatchList()); n != 1 || b.openCount.Load() != 1 {
		t.Errorf("%d watches of %d instances for one folder", n, b.openCount.Load())
	}
	replaceFile(t, b.path("a"), listText(3))
	x.wantPort(3)
	replaceFile(t, b.path("b"), listText(4))
	y.wantPort(4)
	x.Stop()
	replaceFile(t, b.path("a"), listText(5))
	replaceFile(t, b.path("b"), listText(6))
	y.wantPort(6)
	if len(x.updates)+len(y.updates) > 0 {
		t.Error("more was told than had changed")
	}
	y.Stop()
	b.waitUntil("nothing is watched", func() bool { return b.notifier == nil || len(b.notifier.WatchList()) == 0 })
	z := b.follow(b.path("a"))
	z.wantPort(5)
	b.waitWatched(b.folder)
	replaceFile(t, b.path("a"), listText(7))
	z.wantPort(7)
}

// TestOneFolderByTwoNames: the system tells of a folder by one name. The list that is followed by the other hears too, and
// still does when the first is not followed any more.
func TestOneFolderByTwoNames(t *testing.T) {
	b := newWatcherFixture(t)
	b.pollInterval = 10 * time.Millisecond
	link := filepath.Join(t.TempDir(), "link")
	if err := os.Symlink(b.folder, link); err != nil {
		t.Fatal(err)
	}
	writeFile(t, b.path("a"), listText(1))
	b.start()
	x := b.follow(b.path("a"))
	x.wantPort(1)
	b.waitWatched(b.folder)
	y := b.follow(filepath.Join(link, "a"))
	y.wantPort(1)
	b.waitWatched(b.folder, link)
	b.waitConfirmed(x, y)
	replaceFile(t, b.path("a"), listText(2))
	x.wantPort(2)
	y.wantPort(2)
	x.Stop()
	b.waitUntil("the other name is watched", func() bool {
		return b.notifier != nil && strings.Join(b.notifier.WatchList(), " ") == link
	})
	b.waitConfirmed(y)
	replaceFile(t, b.path("a"), listText(3))
	y.wantPort(3)
}

// TestFolderLinkSwung: the folder's name is a link to another folder now, of which the old one's events tell nothing.
func TestFolderLinkSwung(t *testing.T) {
	b := newWatcherFixture(t)
	for i, v := range []string{"v1", "v2"} {
		if err := os.Mkdir(b.path(v), 0o700); err != nil {
			t.Fatal(err)
		}
		writeFile(t, b.path(v+"/a"), listText(1+i))
	}
	dir := b.path("current")
	if err := os.Symlink("v1", dir); err != nil {
		t.Fatal(err)
	}
	b.start()
	x := b.follow(filepath.Join(dir, "a"))
	x.wantPort(1)
	b.waitWatched(dir)
	b.waitConfirmed(x)
	if err := os.Symlink("v2", dir+".new"); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(dir+".new", dir); err != nil {
		t.Fatal(err)
	}
	x.wantPort(2)
	b.waitConfirmed(x)
	replaceFile(t, b.path("v2/a"), listText(3))
	x.wantPort(3)
}

// TestFolderMadeAgain: the folder goes with its list, which is told once, and comes back.
func TestFolderMadeAgain(t *testing.T) {
	b := newWatcherFixture(t)
	dir := b.path("lists")
	os.Mkdir(dir, 0o700)
	writeFile(t, filepath.Join(dir, "a"), listText(1))
	b.start()
	x := b.follow(filepath.Join(dir, "a"))
	x.wantPort(1)
	for round := range 3 {
		b.waitWatched(dir)
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		if w := x.nextUpdate(); !errors.Is(w.Err, fs.ErrNotExist) {
			t.Fatalf("round %d: %+v", round, w)
		}
		b.waitUntil("more looks find the same", func() bool { return x.failures > 3 })
		os.Mkdir(dir, 0o700)
		writeFile(t, filepath.Join(dir, "b"), listText(1))
		replaceFile(t, filepath.Join(dir, "a"), listText(1)) // as it was, and still news: it is good again
		if w := x.wantPort(1); w.Failed < 3 {
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
	b := newWatcherFixture(t)
	b.pollInterval = time.Hour
	path := b.path("a")
	var read atomic.Int64
	b.stat = func(p string) (stamp, bool, error) {
		s, linked, err := statFile(p)
		s.modified, s.statusChanged = syscall.Timespec{Sec: 1, Nsec: 1}, syscall.Timespec{Sec: 1, Nsec: 1}
		return s, linked, err
	}
	b.openRefusal.Store(new(syscall.EMFILE)) // no events either
	writeFile(t, path, listText(1))
	b.start()
	x := &followedList{t: t, path: path, updates: make(chan Word, 100)}
	x.Subscription = b.Follow(path, Reading{}, func(w Word) {
		if read.Add(1) == 1 {
			writeFile(t, path, listText(2)) // behind the reading, and before the next
		}
		if w.List != nil || w.Err != nil {
			x.updates <- w
		}
	})
	x.wantPort(1)
	x.wantPort(2)
	b.waitUntil("the file is known for sure", func() bool { return x.confirmed })
	if len(x.updates) > 0 {
		t.Error("told once more")
	}
}

// TestOnlyWhatDiffersIsTold touches a file and replaces it by the same text: it is read, and neither told nor parsed.
func TestOnlyWhatDiffersIsTold(t *testing.T) {
	b := newWatcherFixture(t)
	b.pollInterval = time.Hour
	path := b.path("a")
	writeFile(t, path, listText(1))
	l, r, err := Read(path)
	if err != nil || len(l.Nodes) != 1 {
		t.Fatal(l, err)
	}
	b.start()
	words := make(chan Word, 100)
	f := b.Follow(path, r, func(w Word) { words <- w })
	b.waitWatched(b.folder)
	for i := range 3 {
		if i == 1 {
			if err := os.Chtimes(path, time.Time{}, time.Unix(1e9, 0)); err != nil {
				t.Fatal(err)
			}
		} else {
			replaceFile(t, path, listText(1))
		}
		s, _, err := statFile(path)
		if err != nil {
			t.Fatal(err)
		}
		b.waitUntil("the new stamp is known", func() bool { return f.lastRead.stamp == s })
	}
	replaceFile(t, path, listText(2))
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
			b := newWatcherFixture(t)
			refuse := &b.openRefusal
			if why == syscall.ENOSPC { // of watches
				refuse = &b.addRefusal
			}
			refuse.Store(&why)
			var all []*followedList
			for i := range 6 {
				writeFile(t, b.path(fmt.Sprint(i)), listText(1))
			}
			b.start()
			for i := range 6 {
				all = append(all, b.follow(b.path(fmt.Sprint(i))))
			}
			b.wantReport(why)
			for i, x := range all {
				x.wantPort(1)
				replaceFile(t, b.path(fmt.Sprint(i)), listText(2))
				x.wantPort(2)
			}
			b.waitUntil("it is tried again", func() bool { return b.backoff >= 8*time.Millisecond })
			b.wantNoReport()
			refuse.Store(nil)
			b.do(func() { b.retryAt = time.Time{} })
			b.wantReport(nil)
			b.waitWatched(b.folder)
			for i, x := range all {
				replaceFile(t, b.path(fmt.Sprint(i)), listText(3))
				x.wantPort(3)
			}
			b.wantNoReport()
		})
	}
}

// TestRefusedInMidRun: watches run out when a second folder comes; then the instance itself fails. The first folder is told of
// by the system throughout the former, and none of the lists is lost in either.
func TestRefusedInMidRun(t *testing.T) {
	b := newWatcherFixture(t)
	other := t.TempDir()
	writeFile(t, b.path("a"), listText(1))
	writeFile(t, filepath.Join(other, "b"), listText(1))
	b.start()
	x := b.follow(b.path("a"))
	x.wantPort(1)
	b.waitWatched(b.folder)
	b.addRefusal.Store(new(syscall.ENOSPC))
	y := b.follow(filepath.Join(other, "b"))
	y.wantPort(1)
	b.wantReport(syscall.ENOSPC)
	replaceFile(t, b.path("a"), listText(2))
	x.wantPort(2)
	replaceFile(t, filepath.Join(other, "b"), listText(2))
	y.wantPort(2)
	b.waitWatched(b.folder)
	b.waitUntil("the second folder is looked at by time", func() bool { return b.folders[other].watched == fileID{} })
	b.wantNoReport()
	b.addRefusal.Store(nil)
	b.do(func() { b.retryAt = time.Time{} })
	b.wantReport(nil)
	b.waitWatched(b.folder, other)

	b.openRefusal.Store(new(syscall.EMFILE))
	broken := errors.New("broken")
	(<-b.opened).errors <- broken
	b.wantReport(broken)
	for i, l := range []*followedList{x, y} {
		replaceFile(t, l.path, listText(3+i))
		l.wantPort(3 + i)
	}
	b.waitUntil("it is tried again", func() bool { return b.backoff >= 8*time.Millisecond })
	b.wantNoReport()
	b.openRefusal.Store(nil)
	b.do(func() { b.retryAt = time.Time{} })
	b.wantReport(nil)
	b.waitWatched(b.folder, other)
	replaceFile(t, x.path, listText(5))
	x.wantPort(5)

	// More came than the system kept: all lists are looked at, and nothing is said.
	next := <-b.opened
	b.do(func() { b.pollInterval = time.Hour })
	next.errors <- fsnotify.ErrEventOverflow
	replaceFile(t, y.path, listText(6))
	y.wantPort(6)
	b.wantNoReport()
}

// TestRetriesArePaced: the pauses grow to their bound.
func TestRetriesArePaced(t *testing.T) {
	b := newWatcherFixture(t)
	b.firstBackoff = minRetryBackoff
	var pauses []string
	for range 8 {
		b.recordRefusal(syscall.EMFILE)
		pauses = append(pauses, b.backoff.String())
	}
	if got := strings.Join(pauses, " "); got != "1s 2s 4s 8s 16s 32s 1m0s 1m0s" || len(b.reports) != 1 {
		t.Errorf("%s; %d reports", got, len(b.reports))
	}
}

// TestHungFileHarmsNoOther: a file system answers nothing for one list. The others go on, the following of that one ends at
// once, and what its look finds at last is not told.
func TestHungFileHarmsNoOther(t *testing.T) {
	b := newWatcherFixture(t)
	hung, release := make(chan struct{}), make(chan struct{})
	b.stat = func(p string) (stamp, bool, error) {
		if p == b.path("hung") {
			close(hung)
			<-release
		}
		return statFile(p)
	}
	writeFile(t, b.path("hung"), listText(1))
	writeFile(t, b.path("a"), listText(1))
	b.start()
	x, y := b.follow(b.path("hung")), b.follow(b.path("a"))
	<-hung
	y.wantPort(1)
	replaceFile(t, y.path, listText(2))
	y.wantPort(2)
	x.Stop()
	close(release)
	replaceFile(t, y.path, listText(3))
	y.wantPort(3)
	if len(x.updates) > 0 {
		t.Errorf("told after the end: %+v", <-x.updates)
	}
}

// TestChangeDuringALook: a file changes when a look has seen that it had not. The change is told, and what is told last is
// what stands there last.
func TestChangeDuringALook(t *testing.T) {
	b := newWatcherFixture(t)
	b.pollInterval = time.Hour
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
	writeFile(t, b.path("a"), listText(1))
	b.start()
	x := b.follow(b.path("a"))
	x.wantPort(1)
	b.waitWatched(b.folder)
	for port := 2; port < 6; port += 2 {
		b.waitConfirmed(x)
		slow.Store(true)
		if port == 2 {
			b.do(func() { b.folderChanged(x.folder, "a") }) // and nothing has changed
		} else {
			replaceFile(t, x.path, listText(port))
		}
		<-begun
		replaceFile(t, x.path, listText(port+1))
		b.waitUntil("the event has come", func() bool { return x.recheck })
		goOn <- struct{}{}
		w := x.nextUpdate()
		for w.List.Nodes[0].Address != fmt.Sprint("127.0.0.1:", port+1) {
			w = x.nextUpdate()
		}
	}
	b.waitConfirmed(x)
	if s, _, err := statFile(x.path); err != nil || x.lastRead.stamp != s || len(x.updates) > 0 {
		t.Errorf("told once more, or another stamp: %d, %v", len(x.updates), err)
	}
}

// zipfSizes returns the sizes of so many lists from 2 to 2,000 nodes, nodes in all, as a fleet of services has them.
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

func markedList(list, n int, mark string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\nnodes:\n", mark)
	for i := range n {
		fmt.Fprintf(&b, "- {id: n-%d-%d, address: '10.%d.%d.%d:%d', zone: z%d}\n", list, i, list/250, list%250, i%250, 8000+i/250, i%19)
	}
	return b.String()
}

// TestAllReplacedAtOnce replaces 490 lists of 18,000 nodes at once. All are told, and the time is shown.
func TestAllReplacedAtOnce(t *testing.T) {
	b := newWatcherFixture(t)
	b.pollInterval = time.Hour
	sizes := zipfSizes(490, 18000)
	for i, n := range sizes {
		writeFile(t, b.path(fmt.Sprint(i)), markedList(i, n, "first"))
		writeFile(t, b.path(fmt.Sprint(i, ".next")), markedList(i, n, "second")+fmt.Sprintf("- {id: more, address: '10.9.%d.%d:1'}\n", i/250, i%250))
	}
	b.start()
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
	b.waitWatched(b.folder)
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

// TestLongListTorn tears a list of 2,000 nodes in the middle: that is told once, with its queueIndex, the others go on, and once
// it is mended it is told.
func TestLongListTorn(t *testing.T) {
	b := newWatcherFixture(t)
	long := markedList(0, 2000, "long")
	writeFile(t, b.path("long"), long)
	writeFile(t, b.path("a"), listText(1))
	b.start()
	x, y := b.follow(b.path("long")), b.follow(b.path("a"))
	if w := x.nextUpdate(); w.Err != nil || len(w.List.Nodes) != 2000 {
		t.Fatal(w.Err)
	}
	y.wantPort(1)
	b.waitWatched(b.folder)
	cut := strings.Index(long, "n-0-1000") + 20
	replaceFile(t, x.path, long[:cut])
	if w := x.nextUpdate(); w.Err == nil || !strings.Contains(w.Err.Error(), x.path+":1003:") {
		t.Fatalf("torn: %v", w.Err)
	}
	replaceFile(t, y.path, listText(2))
	y.wantPort(2)
	b.waitUntil("more looks find the same", func() bool { return x.failures > 3 })
	if len(x.updates) > 0 {
		t.Fatalf("told once more: %+v", <-x.updates)
	}
	replaceFile(t, x.path, long[:cut-30])
	if w := x.nextUpdate(); w.Err == nil || w.Failed < 3 {
		t.Fatalf("torn in another queueIndex: %+v", w)
	}
	replaceFile(t, x.path, long)
	if w := x.nextUpdate(); w.Err != nil || len(w.List.Nodes) != 2000 || w.Failed < 1 {
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
	b := newWatcherFixture(t)
	b.Watcher.openNotifier = openInotify
	writeFile(t, b.path("a"), listText(1)) // the runtime has its poller by now
	writeFile(t, b.path("next"), listText(2))
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
	b.start()
	x := &followedList{t: t, path: b.path("a"), updates: make(chan Word, 100)}
	x.Subscription = b.Follow(x.path, read, func(w Word) {
		if w.List != nil || w.Err != nil {
			x.updates <- w
		}
	})
	b.wantReport(syscall.EMFILE)
	if err := os.Rename(b.path("next"), x.path); err != nil {
		t.Fatal(err)
	}
	if w := x.nextUpdate(); !errors.Is(w.Err, syscall.EMFILE) { // the change is seen, and can't be read
		t.Fatalf("%+v", w)
	}
	b.waitUntil("more looks find the same", func() bool { return x.failures > 3 })
	b.wantNoReport()
	if len(x.updates) > 0 {
		t.Fatalf("told once more: %+v", <-x.updates)
	}
	free(10)
	x.wantPort(2)
	b.do(func() { b.retryAt = time.Time{} })
	b.wantReport(nil)
	b.waitWatched(b.folder)

	writeFile(t, b.path("next"), listText(3))
	exhaust() // in mid-run: the system tells on, and the change can't be read
	if err := os.Rename(b.path("next"), x.path); err != nil {
		t.Fatal(err)
	}
	if w := x.nextUpdate(); !errors.Is(w.Err, syscall.EMFILE) {
		t.Fatalf("%+v", w)
	}
	b.waitUntil("more looks find the same", func() bool { return x.failures > 3 })
	free(10)
	x.wantPort(3)
	b.wantNoReport()
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
				w.openNotifier = func() (notifier, error) { return nil, syscall.EMFILE }
			}
			go w.run(b.Context())
			for i, n := range zipfSizes(490, 18000) {
				path := filepath.Join(folder, fmt.Sprint(i))
				if err := os.WriteFile(path, []byte(markedList(i, n, "")), 0o600); err != nil {
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
			before := cpuTime()
			const length = 10 * time.Second
			for b.Loop() {
				time.Sleep(length)
			}
			b.ReportMetric(100*(cpuTime()-before).Seconds()/length.Seconds()/float64(b.N), "%core")
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
