package endpointlist

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fsnotify/fsnotify"
)

// testTimeout bounds each wait for an expected event.
const testTimeout = 20 * time.Second

// refusingNotifier is an inotify instance that a test can make refuse watches.
type refusingNotifier struct {
	*fsnotify.Watcher
	errors  chan error
	refusal *atomic.Pointer[syscall.Errno] // the error of Add; nil: Add succeeds
}

func (n *refusingNotifier) Channels() (<-chan fsnotify.Event, <-chan error) {
	return n.Events, n.errors
}

func (n *refusingNotifier) Add(path string) error {
	refusal := n.refusal.Load()
	if refusal != nil {
		return *refusal
	}
	return n.Watcher.Add(path)
}

// watcherFixture is a Watcher, with a notifier that a test can make refuse inotify instances and watches.
type watcherFixture struct {
	*Watcher
	t            *testing.T
	folder       string
	reports      chan error                    // the arguments of the Watcher's reports
	openRefusal  atomic.Pointer[syscall.Errno] // the error of opening an instance; nil: success
	watchRefusal atomic.Pointer[syscall.Errno] // the error of adding a watch; nil: success
	opened       chan *refusingNotifier
	openCount    atomic.Int64 // attempts to open an instance
}

// newWatcherFixture returns a fixture whose Watcher has not started. Its check interval is too long for a test to
// reach, so periodic checks come only from pollInterval.
func newWatcherFixture(t *testing.T) *watcherFixture {
	t.Helper()
	fixture := &watcherFixture{
		t:       t,
		folder:  t.TempDir(),
		reports: make(chan error, 100),
		opened:  make(chan *refusingNotifier, 100),
	}
	fixture.Watcher = newWatcher(t.Context(), time.Hour, func(err error) { fixture.reports <- err })
	fixture.pollInterval = 10 * time.Millisecond
	fixture.firstBackoff = time.Millisecond
	fixture.openNotifier = fixture.openRefusing
	return fixture
}

func (f *watcherFixture) openRefusing() (notifier, error) {
	f.openCount.Add(1)
	refusal := f.openRefusal.Load()
	if refusal != nil {
		return nil, *refusal
	}
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	opened := &refusingNotifier{Watcher: watcher, errors: make(chan error, 10), refusal: &f.watchRefusal}
	f.opened <- opened
	return opened, nil
}

// start starts the Watcher. It ends with the test.
func (f *watcherFixture) start() {
	ended := make(chan struct{})
	go func() {
		f.run(f.t.Context())
		close(ended)
	}()
	f.t.Cleanup(func() { <-ended })
}

// path returns the path of a file in the fixture's folder.
func (f *watcherFixture) path(name string) string { return filepath.Join(f.folder, name) }

// retryNow ends the backoff after a refusal.
func (f *watcherFixture) retryNow() {
	f.do(func() { f.retryAt = time.Time{} })
}

// followedList is a followed list, with its updates that have a list or an error.
type followedList struct {
	*Subscription
	t       *testing.T
	path    string
	updates chan Update
}

func (f *watcherFixture) follow(path string) *followedList {
	return f.followFrom(path, FileState{}, func() {})
}

// followFrom follows a list that may have been read before. It calls beforeUpdate at the start of each notification.
func (f *watcherFixture) followFrom(path string, read FileState, beforeUpdate func()) *followedList {
	list := &followedList{t: f.t, path: path, updates: make(chan Update, 10000)}
	list.Subscription = f.Follow(path, read, func(update Update) {
		beforeUpdate()
		if update.List != nil || update.Err != nil {
			list.updates <- update
		}
	})
	return list
}

// nextUpdate waits for the next update.
func (l *followedList) nextUpdate() Update {
	l.t.Helper()
	select {
	case update := <-l.updates:
		return update
	case <-time.After(testTimeout):
		l.t.Fatalf("%s: no update in time", l.path)
		return Update{}
	}
}

// wantPort waits for the next update, which must be a list of one node with this port.
func (l *followedList) wantPort(port int) Update {
	l.t.Helper()
	update := l.nextUpdate()
	if update.Err != nil || len(update.List.Nodes) != 1 || update.List.Nodes[0].Address != localAddress(port) {
		l.t.Fatalf("%s: %+v, want a list of port %d", l.path, update, port)
	}
	return update
}

// wantNoUpdate fails the test if an update has arrived that the test has not received.
func (l *followedList) wantNoUpdate() {
	l.t.Helper()
	if len(l.updates) > 0 {
		l.t.Fatalf("%s: unexpected update: %+v", l.path, <-l.updates)
	}
}

// waitUntil waits until a condition holds on the Watcher's goroutine.
func (f *watcherFixture) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		holds := false
		f.do(func() { holds = condition() })
		if holds {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("not in time: %s", what)
		}
	}
}

// waitWatched waits until the folders at all paths are watched.
func (f *watcherFixture) waitWatched(paths ...string) {
	f.t.Helper()
	f.waitUntil("folders are watched", func() bool {
		for _, path := range paths {
			folder := f.folders[path]
			if folder == nil || folder.watched == (fileID{}) {
				return false
			}
		}
		return true
	})
}

// waitConfirmed waits until all lists are confirmed, so that only later changes lead to checks.
func (f *watcherFixture) waitConfirmed(lists ...*followedList) {
	f.t.Helper()
	f.waitUntil("lists are confirmed", func() bool {
		for _, list := range lists {
			if !list.confirmed || list.queueIndex == checkRunning || !list.changeSeenAt.IsZero() {
				return false
			}
		}
		return true
	})
}

// waitRepeatedFailure waits until several checks of a list have found the same error.
func (f *watcherFixture) waitRepeatedFailure(list *followedList) {
	f.t.Helper()
	f.waitUntil("several checks find the same error", func() bool { return list.failures > 3 })
}

// wantReport waits for the next report, which must be want. nil reports that all folders are watched.
func (f *watcherFixture) wantReport(want error) {
	f.t.Helper()
	select {
	case err := <-f.reports:
		if !errors.Is(err, want) || (err == nil) != (want == nil) {
			f.t.Fatalf("reported %v, want %v", err, want)
		}
	case <-time.After(testTimeout):
		f.t.Fatalf("not reported in time: %v", want)
	}
}

// wantNoReport fails the test if a report has arrived that the test has not received.
func (f *watcherFixture) wantNoReport() {
	f.t.Helper()
	if len(f.reports) > 0 {
		f.t.Errorf("unexpected report: %v", <-f.reports)
	}
}

func localAddress(port int) string { return fmt.Sprint("127.0.0.1:", port) }

// listText returns the text of a list of local nodes on the given ports.
func listText(ports ...int) string {
	var text strings.Builder
	text.WriteString("nodes:\n")
	for _, port := range ports {
		fmt.Fprintf(&text, "- {address: '%s'}\n", localAddress(port))
	}
	return text.String()
}

// writeFile writes a file in place, not atomically.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// replaceFile replaces a file atomically.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path+".new", text)
	renameFile(t, path+".new", path)
}

func renameFile(t *testing.T, from, to string) {
	t.Helper()
	if err := os.Rename(from, to); err != nil {
		t.Fatal(err)
	}
}

func makeFolder(t *testing.T, path string) {
	t.Helper()
	if err := os.Mkdir(path, 0o700); err != nil {
		t.Fatal(err)
	}
}

// makeLink makes a symbolic link at path.
func makeLink(t *testing.T, target, path string) {
	t.Helper()
	if err := os.Symlink(target, path); err != nil {
		t.Fatal(err)
	}
}

// replaceLink changes the target of a symbolic link atomically.
func replaceLink(t *testing.T, target, path string) {
	t.Helper()
	makeLink(t, target, path+".new")
	renameFile(t, path+".new", path)
}
