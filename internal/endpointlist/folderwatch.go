package endpointlist

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"

	"github.com/fsnotify/fsnotify"
)

// notifier sends events about changes in folders.
type notifier interface {
	Add(folder string) error
	Remove(folder string) error
	WatchList() []string
	Close() error
	// Channels returns the channels of events and of the notifier's own errors.
	Channels() (<-chan fsnotify.Event, <-chan error)
}

// inotifyNotifier is the notifier of the system.
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

// followedFolder is a folder with lists that are followed. While it is not watched its lists are polled.
type followedFolder struct {
	path          string
	subscriptions map[string][]*Subscription // by file name
	watched       fileID                     // the folder that is watched under this path; the zero value: none
}

// folderCheck checks that each folder is watched, and that its path still leads to the folder that is watched. It runs
// on a goroutine of its own, one at a time, as a file system may block it.
type folderCheck struct {
	notifier     notifier // nil: to be opened
	openNotifier func() (notifier, error)
	stat         statFunc
	mayAdd       bool              // watches may be added: no backoff is running
	followed     map[string]fileID // what was watched under the path of each folder before
	unfollowed   []string          // paths that are followed no more

	// The results.
	opened  bool
	watched map[string]fileID // what is watched under each path now
	added   []string          // paths whose watches are new
	refusal error             // the first of the system's

	owners map[fileID]string // the path under which a folder is watched
}

func (c *folderCheck) run() {
	c.watched = map[string]fileID{}
	c.owners = map[fileID]string{}
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

// remove removes a watch. That fails if the system has removed it already, as the folder is gone.
func (c *folderCheck) remove(path string) { _ = c.notifier.Remove(path) }

// findUnwatched records the folders that are still watched. It returns the others that exist, and removes watches of
// paths that lead to another folder now.
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
			c.owners[before] = path
			continue
		}
		if hasWatch[path] {
			c.remove(path)
		}
		if err == nil { // a missing folder is an error of its lists
			unwatched[path] = current.id()
		}
	}
	return unwatched
}

// addWatches adds watches of folders, one for all paths of a folder.
func (c *folderCheck) addWatches(unwatched map[string]fileID) {
	paths := make([]string, 0, len(unwatched))
	for path := range unwatched {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		folder := unwatched[path]
		if c.owners[folder] != "" { // watched under another path
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
		c.owners[folder] = path
		c.added = append(c.added, path)
	}
}

// recordRefusal records the first refusal of a watch. A missing folder is none.
func (c *folderCheck) recordRefusal(path string, err error) {
	if c.refusal == nil && !errors.Is(err, fs.ErrNotExist) {
		c.refusal = fmt.Errorf("watching %s: %w", path, err)
	}
}
