package endpointlist

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestListsOfOneFolderShareAWatch: a change of one list gives no update of the other, and the end of one subscription
// doesn't end the watch that the other needs.
func TestListsOfOneFolderShareAWatch(t *testing.T) {
	fixture := newWatcherFixture(t)
	fixture.pollInterval = time.Hour // so that only events lead to checks
	writeFile(t, fixture.path("a"), listText(1))
	writeFile(t, fixture.path("b"), listText(2))
	fixture.start()
	listA := fixture.follow(fixture.path("a"))
	listB := fixture.follow(fixture.path("b"))
	listA.wantPort(1)
	listB.wantPort(2)
	fixture.waitWatched(fixture.folder)
	if watches := len(fixture.notifier.WatchList()); watches != 1 || fixture.openCount.Load() != 1 {
		t.Errorf("%d watches of %d instances for one folder", watches, fixture.openCount.Load())
	}

	replaceFile(t, fixture.path("a"), listText(3))
	listA.wantPort(3)
	replaceFile(t, fixture.path("b"), listText(4))
	listB.wantPort(4)

	listA.Stop()
	replaceFile(t, fixture.path("a"), listText(5))
	replaceFile(t, fixture.path("b"), listText(6))
	listB.wantPort(6)
	listA.wantNoUpdate()
	listB.wantNoUpdate()

	listB.Stop()
	fixture.waitUntil("nothing is watched", func() bool {
		return fixture.notifier == nil || len(fixture.notifier.WatchList()) == 0
	})
	followedAgain := fixture.follow(fixture.path("a"))
	followedAgain.wantPort(5)
	fixture.waitWatched(fixture.folder)
	replaceFile(t, fixture.path("a"), listText(7))
	followedAgain.wantPort(7)
}

// TestFolderUnderTwoPathsHasOneWatch: a folder is followed under two paths, but the system sends its events under only
// one. Both lists get updates, and the second list still does when the first is no longer followed.
func TestFolderUnderTwoPathsHasOneWatch(t *testing.T) {
	fixture := newWatcherFixture(t)
	link := filepath.Join(t.TempDir(), "link")
	makeLink(t, fixture.folder, link)
	writeFile(t, fixture.path("a"), listText(1))
	fixture.start()
	direct := fixture.follow(fixture.path("a"))
	direct.wantPort(1)
	fixture.waitWatched(fixture.folder)
	linked := fixture.follow(filepath.Join(link, "a"))
	linked.wantPort(1)
	fixture.waitWatched(fixture.folder, link)
	fixture.waitConfirmed(direct, linked)
	replaceFile(t, fixture.path("a"), listText(2))
	direct.wantPort(2)
	linked.wantPort(2)

	direct.Stop()
	fixture.waitUntil("the other path is watched", func() bool {
		return fixture.notifier != nil && strings.Join(fixture.notifier.WatchList(), " ") == link
	})
	fixture.waitConfirmed(linked)
	replaceFile(t, fixture.path("a"), listText(3))
	linked.wantPort(3)
}

// TestFolderLinkIsRedirected: the path of a followed folder is a symbolic link, and its target changes. The watch of
// the old folder sends no events of the new one, so that needs a new watch.
func TestFolderLinkIsRedirected(t *testing.T) {
	fixture := newWatcherFixture(t)
	for i, version := range []string{"v1", "v2"} {
		makeFolder(t, fixture.path(version))
		writeFile(t, fixture.path(version+"/a"), listText(1+i))
	}
	folder := fixture.path("current")
	makeLink(t, "v1", folder)
	fixture.start()
	list := fixture.follow(filepath.Join(folder, "a"))
	list.wantPort(1)
	fixture.waitWatched(folder)
	fixture.waitConfirmed(list)
	replaceLink(t, "v2", folder)
	list.wantPort(2)
	fixture.waitConfirmed(list)
	replaceFile(t, fixture.path("v2/a"), listText(3))
	list.wantPort(3)
}

// TestRecreatedFolderIsWatchedAnew: a folder is removed and created again with the same list. The removal gives one
// update with an error, and the new folder is watched again.
func TestRecreatedFolderIsWatchedAnew(t *testing.T) {
	fixture := newWatcherFixture(t)
	folder := fixture.path("lists")
	makeFolder(t, folder)
	writeFile(t, filepath.Join(folder, "a"), listText(1))
	fixture.start()
	list := fixture.follow(filepath.Join(folder, "a"))
	list.wantPort(1)
	for round := range 3 {
		fixture.waitWatched(folder)
		if err := os.RemoveAll(folder); err != nil {
			t.Fatal(err)
		}
		if update := list.nextUpdate(); !errors.Is(update.Err, fs.ErrNotExist) {
			t.Fatalf("round %d: %+v", round, update)
		}
		fixture.waitRepeatedFailure(list)
		makeFolder(t, folder)
		writeFile(t, filepath.Join(folder, "b"), listText(1))
		// The text is unchanged. There is an update nevertheless, as the list was missing.
		replaceFile(t, filepath.Join(folder, "a"), listText(1))
		if update := list.wantPort(1); update.Failed < 3 {
			t.Errorf("%d failed checks, want at least 3", update.Failed)
		}
	}
	fixture.wantNoReport() // a missing folder is not a refusal
}
