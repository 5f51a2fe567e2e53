package endpointlist

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// watchByEvents follows a file with an interval that no test reaches, so that only events of the system lead to checks.
func watchByEvents(t *testing.T, path string) (lists chan List, errs chan error) {
	t.Helper()
	lists = make(chan List, 100)
	errs = make(chan error, 100)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- Watch(ctx, path, time.Hour, func(list List) { lists <- list }, func(err error) { errs <- err })
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return lists, errs
}

// waitForSize waits for a list of the given size.
func waitForSize(t *testing.T, lists <-chan List, size int) {
	t.Helper()
	for list := range lists {
		if len(list.Nodes) == size {
			return
		}
	}
}

// TestWatch replaces, truncates, removes and recreates the file of a list. A truncated or missing file gives an error
// and no list.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.yaml")
	const oneNode = "nodes: [{address: '127.0.0.1:1'}]"
	writeFile(t, path, oneNode)
	lists, errs := watchByEvents(t, path)
	waitForSize(t, lists, 1)

	replaceFile(t, path, "nodes: [{address: '127.0.0.1:1'}, {address: '127.0.0.1:2'}]")
	waitForSize(t, lists, 2)

	writeFile(t, path, "nodes: [{address: '127.0.0.1:1'}, {addr")
	if err := <-errs; !strings.Contains(err.Error(), "nodes.yaml:1:") {
		t.Errorf("truncated: %v", err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	for err := range errs {
		if os.IsNotExist(err) {
			break
		}
	}
	if len(lists) > 0 {
		t.Errorf("a truncated or missing file gave a list: %v", <-lists)
	}

	writeFile(t, path, oneNode)
	waitForSize(t, lists, 1)
}

// TestWatchThroughLink changes the target of a symbolic link, as an update of a Kubernetes ConfigMap does.
func TestWatchThroughLink(t *testing.T) {
	folder := t.TempDir()
	for _, version := range []string{"v1", "v2"} {
		makeFolder(t, filepath.Join(folder, version))
	}
	writeFile(t, filepath.Join(folder, "v1", "nodes.yaml"), "nodes: [{address: '127.0.0.1:1'}]")
	writeFile(t, filepath.Join(folder, "v2", "nodes.yaml"), "nodes: []")
	makeLink(t, "v1", filepath.Join(folder, "data"))
	path := filepath.Join(folder, "nodes.yaml")
	makeLink(t, filepath.Join("data", "nodes.yaml"), path)
	lists, _ := watchByEvents(t, path)
	if list := <-lists; len(list.Nodes) != 1 {
		t.Fatal(list)
	}
	replaceLink(t, "v2", filepath.Join(folder, "data"))
	waitForSize(t, lists, 0)
}

// TestSecondWriteWithinClockTickIsFound writes two texts of the same length within one tick of the clock for file
// times. The second write neither changes the stamp nor causes an event, so only the check of an ambiguous stamp can
// find it.
func TestSecondWriteWithinClockTickIsFound(t *testing.T) {
	fixture := newWatcherFixture(t)
	fixture.pollInterval = time.Hour
	path := fixture.path("a")
	fixture.stat = func(path string) (stamp, bool, error) {
		current, linked, err := statFile(path)
		current.modified = syscall.Timespec{Sec: 1, Nsec: 1}
		current.statusChanged = syscall.Timespec{Sec: 1, Nsec: 1}
		return current, linked, err
	}
	fixture.openRefusal.Store(new(syscall.EMFILE)) // so that there are no events
	writeFile(t, path, listText(1))
	fixture.start()
	var notifications atomic.Int64
	list := fixture.followFrom(path, FileState{}, func() {
		if notifications.Add(1) == 1 {
			writeFile(t, path, listText(2)) // between the first read and the second
		}
	})
	list.wantPort(1)
	list.wantPort(2)
	fixture.waitUntil("the file is confirmed", func() bool { return list.confirmed })
	list.wantNoUpdate()
}

// TestUnchangedTextIsNotNotified touches a file and replaces it with the same text. The file is read, but its updates
// have neither a list nor an error.
func TestUnchangedTextIsNotNotified(t *testing.T) {
	fixture := newWatcherFixture(t)
	fixture.pollInterval = time.Hour
	path := fixture.path("a")
	writeFile(t, path, listText(1))
	list, read, err := Read(path)
	if err != nil || len(list.Nodes) != 1 {
		t.Fatal(list, err)
	}
	fixture.start()
	updates := make(chan Update, 100)
	subscription := fixture.Follow(path, read, func(update Update) { updates <- update })
	fixture.waitWatched(fixture.folder)
	touch := func() {
		if err := os.Chtimes(path, time.Time{}, time.Unix(1e9, 0)); err != nil {
			t.Fatal(err)
		}
	}
	replace := func() { replaceFile(t, path, listText(1)) }
	for _, change := range []func(){replace, touch, replace} {
		change()
		current, _, err := statFile(path)
		if err != nil {
			t.Fatal(err)
		}
		fixture.waitUntil("the new stamp is known", func() bool {
			return subscription.lastRead.stamp == current
		})
	}
	replaceFile(t, path, listText(2))
	count := 1
	for update := <-updates; update.List == nil; update = <-updates {
		count++
	}
	if count < 4 {
		t.Errorf("%d updates, want at least 4: each check that finds no change is an update too", count)
	}
}

// TestHungFileDelaysNoOtherList: the file system hangs in the check of one list. The other list still gets updates. The
// subscription of the first can be stopped meanwhile, and gets no update when the file system answers.
func TestHungFileDelaysNoOtherList(t *testing.T) {
	fixture := newWatcherFixture(t)
	hung := make(chan struct{})
	release := make(chan struct{})
	fixture.stat = func(path string) (stamp, bool, error) {
		if path == fixture.path("hung") {
			close(hung)
			<-release
		}
		return statFile(path)
	}
	writeFile(t, fixture.path("hung"), listText(1))
	writeFile(t, fixture.path("a"), listText(1))
	fixture.start()
	hungList := fixture.follow(fixture.path("hung"))
	other := fixture.follow(fixture.path("a"))
	<-hung
	other.wantPort(1)
	replaceFile(t, other.path, listText(2))
	other.wantPort(2)
	hungList.Stop()
	close(release)
	replaceFile(t, other.path, listText(3))
	other.wantPort(3)
	hungList.wantNoUpdate()
}

// TestChangeDuringCheckIsFound: a file changes after a running check has read its stamp. The change gives an update,
// and the last update has the last text.
func TestChangeDuringCheckIsFound(t *testing.T) {
	fixture := newWatcherFixture(t)
	fixture.pollInterval = time.Hour
	var pauseNext atomic.Bool
	paused := make(chan struct{})
	resume := make(chan struct{})
	fixture.stat = func(path string) (stamp, bool, error) {
		current, linked, err := statFile(path)
		if path == fixture.path("a") && pauseNext.CompareAndSwap(true, false) {
			paused <- struct{}{}
			<-resume
		}
		return current, linked, err
	}
	writeFile(t, fixture.path("a"), listText(1))
	fixture.start()
	list := fixture.follow(fixture.path("a"))
	list.wantPort(1)
	fixture.waitWatched(fixture.folder)
	checkWithoutChange := func() {
		fixture.do(func() { fixture.folderChanged(list.folder, "a") })
	}
	checkOfChange := func() { replaceFile(t, list.path, listText(4)) }
	for _, test := range []struct {
		startCheck func()
		lastPort   int // port of the list that is written during the check
	}{
		{checkWithoutChange, 3},
		{checkOfChange, 5},
	} {
		fixture.waitConfirmed(list)
		pauseNext.Store(true)
		test.startCheck()
		<-paused
		replaceFile(t, list.path, listText(test.lastPort))
		fixture.waitUntil("the event has arrived", func() bool { return list.recheck })
		resume <- struct{}{}
		update := list.nextUpdate()
		for update.List.Nodes[0].Address != localAddress(test.lastPort) {
			update = list.nextUpdate()
		}
	}
	fixture.waitConfirmed(list)
	current, _, err := statFile(list.path)
	if err != nil || list.lastRead.stamp != current {
		t.Errorf("stamp of the last read differs from that of the file, or error %v", err)
	}
	list.wantNoUpdate()
}

// TestTruncatedListIsNotifiedOnce truncates a list of 2,000 nodes in the middle. This gives one update with the
// position of the mistake, another list still gets updates, and the list gives an update when it is valid again.
func TestTruncatedListIsNotifiedOnce(t *testing.T) {
	fixture := newWatcherFixture(t)
	const size = 2000
	text := markedList(0, size, "long")
	writeFile(t, fixture.path("long"), text)
	writeFile(t, fixture.path("a"), listText(1))
	fixture.start()
	long := fixture.follow(fixture.path("long"))
	other := fixture.follow(fixture.path("a"))
	if update := long.nextUpdate(); update.Err != nil || len(update.List.Nodes) != size {
		t.Fatal(update.Err)
	}
	other.wantPort(1)
	fixture.waitWatched(fixture.folder)

	cut := strings.Index(text, "n-0-1000") + 20
	replaceFile(t, long.path, text[:cut])
	update := long.nextUpdate()
	if update.Err == nil || !strings.Contains(update.Err.Error(), long.path+":1003:") {
		t.Fatalf("truncated: %v", update.Err)
	}
	replaceFile(t, other.path, listText(2))
	other.wantPort(2)
	fixture.waitRepeatedFailure(long)
	long.wantNoUpdate()

	replaceFile(t, long.path, text[:cut-30])
	if update := long.nextUpdate(); update.Err == nil || update.Failed < 3 {
		t.Fatalf("truncated in another place: %+v", update)
	}
	replaceFile(t, long.path, text)
	if update := long.nextUpdate(); update.Err != nil || len(update.List.Nodes) != size || update.Failed < 1 {
		t.Fatalf("valid again: %v, after %d failures", update.Err, update.Failed)
	}
}
