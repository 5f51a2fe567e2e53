package endpointlist

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/fsnotify/fsnotify"
	"golang.org/x/sys/unix"
)

// TestRefusedWatchFallsBackToPolling: from the start the system refuses an inotify instance or watches. This is
// reported once, and changes are found by polling. When the system permits watches again, this is reported once too.
func TestRefusedWatchFallsBackToPolling(t *testing.T) {
	for _, reason := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOSPC} {
		t.Run(reason.Error(), func(t *testing.T) {
			fixture := newWatcherFixture(t)
			refusal := &fixture.openRefusal
			if reason == syscall.ENOSPC { // the error of inotify_add_watch
				refusal = &fixture.watchRefusal
			}
			refusal.Store(&reason)
			const listCount = 6
			for i := range listCount {
				writeFile(t, fixture.path(fmt.Sprint(i)), listText(1))
			}
			fixture.start()
			var lists []*followedList
			for i := range listCount {
				lists = append(lists, fixture.follow(fixture.path(fmt.Sprint(i))))
			}
			fixture.wantReport(reason)
			for _, list := range lists {
				list.wantPort(1)
				replaceFile(t, list.path, listText(2))
				list.wantPort(2)
			}
			fixture.waitUntil("there are retries", func() bool {
				return fixture.backoff >= 8*time.Millisecond
			})
			fixture.wantNoReport()
			refusal.Store(nil)
			fixture.retryNow()
			fixture.wantReport(nil)
			fixture.waitWatched(fixture.folder)
			for _, list := range lists {
				replaceFile(t, list.path, listText(3))
				list.wantPort(3)
			}
			fixture.wantNoReport()
		})
	}
}

// TestLaterRefusalLosesNoList: the system refuses the watch of a second folder, and later the inotify instance fails.
// The first folder stays watched during the refusal. Updates of both lists arrive during the refusal and after the
// failure.
func TestLaterRefusalLosesNoList(t *testing.T) {
	fixture := newWatcherFixture(t)
	otherFolder := t.TempDir()
	writeFile(t, fixture.path("a"), listText(1))
	writeFile(t, filepath.Join(otherFolder, "b"), listText(1))
	fixture.start()
	first := fixture.follow(fixture.path("a"))
	first.wantPort(1)
	fixture.waitWatched(fixture.folder)
	fixture.watchRefusal.Store(new(syscall.ENOSPC))
	second := fixture.follow(filepath.Join(otherFolder, "b"))
	second.wantPort(1)
	fixture.wantReport(syscall.ENOSPC)
	replaceFile(t, first.path, listText(2))
	first.wantPort(2)
	replaceFile(t, second.path, listText(2))
	second.wantPort(2)
	fixture.waitWatched(fixture.folder)
	fixture.waitUntil("the second folder is polled", func() bool {
		return fixture.folders[otherFolder].watched == fileID{}
	})
	fixture.wantNoReport()
	fixture.watchRefusal.Store(nil)
	fixture.retryNow()
	fixture.wantReport(nil)
	fixture.waitWatched(fixture.folder, otherFolder)

	fixture.openRefusal.Store(new(syscall.EMFILE))
	broken := errors.New("broken")
	(<-fixture.opened).errors <- broken
	fixture.wantReport(broken)
	replaceFile(t, first.path, listText(3))
	first.wantPort(3)
	replaceFile(t, second.path, listText(4))
	second.wantPort(4)
	fixture.waitUntil("there are retries", func() bool { return fixture.backoff >= 8*time.Millisecond })
	fixture.wantNoReport()
	fixture.openRefusal.Store(nil)
	fixture.retryNow()
	fixture.wantReport(nil)
	fixture.waitWatched(fixture.folder, otherFolder)
	replaceFile(t, first.path, listText(5))
	first.wantPort(5)

	// When the system's queue of events overflows, all lists are checked and nothing is reported.
	reopened := <-fixture.opened
	fixture.do(func() { fixture.pollInterval = time.Hour })
	reopened.errors <- fsnotify.ErrEventOverflow
	replaceFile(t, second.path, listText(6))
	second.wantPort(6)
	fixture.wantNoReport()
}

// TestRetryBackoffGrowsToItsLimit: the backoff doubles with each refusal up to a minute. Only the first is reported.
func TestRetryBackoffGrowsToItsLimit(t *testing.T) {
	fixture := newWatcherFixture(t)
	fixture.firstBackoff = minRetryBackoff
	var backoffs []string
	for range 8 {
		fixture.recordRefusal(syscall.EMFILE)
		backoffs = append(backoffs, fixture.backoff.String())
	}
	if got := strings.Join(backoffs, " "); got != "1s 2s 4s 8s 16s 32s 1m0s 1m0s" {
		t.Errorf("backoffs %s", got)
	}
	if len(fixture.reports) != 1 {
		t.Errorf("%d reports, want 1", len(fixture.reports))
	}
}

// exhaustedVariable is the environment variable that makes a process run testDescriptorsExhausted.
const exhaustedVariable = "NODELIST_EXHAUSTED"

// TestDescriptorsExhausted: no file descriptors are left at the start of a Watcher, and again when it has a watch. The
// test runs in a child process, as it lowers the limit of descriptors.
func TestDescriptorsExhausted(t *testing.T) {
	if os.Getenv(exhaustedVariable) != "" {
		testDescriptorsExhausted(t)
		return
	}
	program := exec.CommandContext(t.Context(), os.Args[0], "-test.run", "^TestDescriptorsExhausted$", "-test.v")
	program.Env = append(os.Environ(), exhaustedVariable+"=1")
	output, err := program.CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, output)
	}
}

func testDescriptorsExhausted(t *testing.T) {
	t.Helper()
	fixture := newWatcherFixture(t)
	fixture.openNotifier = openInotify
	// Written before the limit, so that the Go runtime has opened its epoll descriptor.
	writeFile(t, fixture.path("a"), listText(1))
	writeFile(t, fixture.path("next"), listText(2))
	_, read, err := Read(fixture.path("a"))
	if err != nil {
		t.Fatal(err)
	}
	limitDescriptors(t)
	var descriptors heldDescriptors
	descriptors.exhaust()
	fixture.start()
	list := fixture.followFrom(fixture.path("a"), read, func() {})
	fixture.wantReport(syscall.EMFILE)
	renameFile(t, fixture.path("next"), list.path)
	// Polling finds the change, but can't open the file.
	if update := list.nextUpdate(); !errors.Is(update.Err, syscall.EMFILE) {
		t.Fatalf("%+v", update)
	}
	fixture.waitRepeatedFailure(list)
	fixture.wantNoReport()
	list.wantNoUpdate()
	descriptors.free(10)
	list.wantPort(2)
	fixture.retryNow()
	fixture.wantReport(nil)
	fixture.waitWatched(fixture.folder)

	// Later the watch still sends events, but the changed file can't be opened.
	writeFile(t, fixture.path("next"), listText(3))
	descriptors.exhaust()
	renameFile(t, fixture.path("next"), list.path)
	if update := list.nextUpdate(); !errors.Is(update.Err, syscall.EMFILE) {
		t.Fatalf("%+v", update)
	}
	fixture.waitRepeatedFailure(list)
	descriptors.free(10)
	list.wantPort(3)
	fixture.wantNoReport()
	descriptors.free(len(descriptors))
}

// limitDescriptors lowers the limit of open descriptors of this process until the test ends.
func limitDescriptors(t *testing.T) {
	t.Helper()
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 64, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	})
}

// heldDescriptors are descriptors that are kept open only to use up the limit.
type heldDescriptors []int

// exhaust opens descriptors until there are none left.
func (d *heldDescriptors) exhaust() {
	for {
		descriptor, err := unix.Open("/dev/null", unix.O_RDONLY, 0)
		if err != nil {
			return
		}
		*d = append(*d, descriptor)
	}
}

// free closes the given number of descriptors.
func (d *heldDescriptors) free(count int) {
	remaining := len(*d) - count
	for _, descriptor := range (*d)[remaining:] {
		unix.Close(descriptor)
	}
	*d = (*d)[:remaining]
}
