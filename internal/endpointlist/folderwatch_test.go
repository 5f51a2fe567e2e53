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

// TestListsOfOneFolderShareAWatch: each list gets updates of its own changes, and one that is followed no more takes
// nothing from the other.
func TestListsOfOneFolderShareAWatch(t *testing.T) {
	fixture := newWatcherFixture(t)
	fixture.pollInterval = time.Hour // so that only events count
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

// TestFolderUnderTwoPathsHasOneWatch: the system sends events of a folder under one path. The list that is followed
// under the other gets updates too, and still does when the first is followed no more.
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

// TestFolderLinkIsRedirected: the folder's path is a link that leads to another folder now, for which the watch of the
// old one gives no events.
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

// TestRecreatedFolderIsWatchedAnew: the folder is removed with its list, of which there is one update, and comes back.
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
		// The text is that of before; there is an update as the list is valid again.
		replaceFile(t, filepath.Join(folder, "a"), listText(1))
		if update := list.wantPort(1); update.Failed < 3 {
			t.Errorf("%d failed checks, want at least 3", update.Failed)
		}
	}
	fixture.wantNoReport() // a missing folder is no refusal
}
