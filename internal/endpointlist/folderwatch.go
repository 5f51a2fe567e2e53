package endpointlist

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"github.com/fsnotify/fsnotify"
)

// notifier sends events about changes in watched folders.
type notifier interface {
	Add(folder string) error
	Remove(folder string) error
	WatchList() []string
	Close() error
	// Channels returns the channels of events and of the notifier's own errors.
	Channels() (<-chan fsnotify.Event, <-chan error)
}

// inotifyNotifier is the notifier that uses the inotify events of the system.
type inotifyNotifier struct{ *fsnotify.Watcher }

// Channels returns the channels of events and of the notifier's own errors.
func (n inotifyNotifier) Channels() (<-chan fsnotify.Event, <-chan error) { return n.Events, n.Errors }

func openInotify() (notifier, error) {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	return inotifyNotifier{watcher}, nil
}

// followedFolder is a folder with followed lists. While the folder is not watched, its lists are polled.
type followedFolder struct {
	path          string
	subscriptions map[string][]*Subscription // by file name
	watched       fileID                     // the folder that is watched under this path; zero if none
}

// folderCheck checks that each followed folder is watched, and that its path still leads to the watched folder. It runs
// on its own goroutine, as a slow file system may block it. Only one check runs at a time.
type folderCheck struct {
	notifier     notifier // nil: run opens one
	openNotifier func() (notifier, error)
	stat         statFunc
	mayAdd       bool              // watches may be added: no backoff is running
	followed     map[string]fileID // by path: the folder that was watched under it before
	unfollowed   []string          // paths that are no longer followed

	// The results of run.
	opened  bool
	watched map[string]fileID // by path: the folder that is watched under it now
	added   []string          // paths whose watches are new
	refusal error             // the first error with which the system refused a watch

	watchPaths map[fileID]string // the path under which each watched folder has its watch
}

func (c *folderCheck) run() {
	c.watched = map[string]fileID{}
	c.watchPaths = map[fileID]string{}
	if c.notifier == nil {
		c.notifier, c.refusal = c.openNotifier()
		if c.refusal != nil {
			return
		}
		c.opened = true
	}
	for _, path := range c.unfollowed {
		c.remove(path)
	}
	c.addWatches(c.findUnwatched())
}

// remove removes a watch. Its error is ignored: the system has already removed the watch if the folder is gone.
func (c *folderCheck) remove(path string) { _ = c.notifier.Remove(path) }

// findUnwatched records the folders that are still watched, and removes the watches of paths that no longer lead to the
// watched folder. It returns the existing folders that are not watched, by path.
func (c *folderCheck) findUnwatched() map[string]fileID {
	hasWatch := map[string]bool{}
	for _, path := range c.notifier.WatchList() {
		hasWatch[path] = true
	}
	unwatched := map[string]fileID{}
	for path, before := range c.followed {
		current, _, err := c.stat(path)
		if err == nil && current.id() == before && hasWatch[path] {
			c.watched[path] = before
			c.watchPaths[before] = path
			continue
		}
		if hasWatch[path] {
			c.remove(path)
		}
		if err == nil { // the checks of its lists report a missing folder
			unwatched[path] = current.id()
		}
	}
	return unwatched
}

// addWatches adds watches of folders. A folder that is followed under several paths gets only one watch.
func (c *folderCheck) addWatches(unwatched map[string]fileID) {
	paths := make([]string, 0, len(unwatched))
	for path := range unwatched {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		folder := unwatched[path]
		if c.watchPaths[folder] != "" { // watched under another path
			c.watched[path] = folder
			continue
		}
		if !c.mayAdd {
			continue
		}
		err := c.notifier.Add(path)
		if err != nil {
			c.recordRefusal(path, err)
			continue
		}
		c.watched[path] = folder
		c.watchPaths[folder] = path
		c.added = append(c.added, path)
	}
}

// recordRefusal records the first refusal of a watch. A missing folder is not a refusal.
func (c *folderCheck) recordRefusal(path string, err error) {
	if c.refusal == nil && !errors.Is(err, fs.ErrNotExist) {
		c.refusal = fmt.Errorf("watching %s: %w", path, err)
	}
}
