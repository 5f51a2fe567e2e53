package endpointlist

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

// notifier tells of changes in folders.
type notifier interface {
	Add(folder string) error
	Remove(folder string) error
	WatchList() []string
	Close() error
	Channels() (<-chan fsnotify.Event, <-chan error)
}

// inotifyNotifier is the system's.
type inotifyNotifier struct{ *fsnotify.Watcher }

func (i inotifyNotifier) Channels() (<-chan fsnotify.Event, <-chan error) { return i.Events, i.Errors }

func openInotify() (notifier, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	return inotifyNotifier{w}, nil
}

// followedFolder is one in which lists are followed. Its lists are looked at often while the system does not tell of its changes.
type followedFolder struct {
	path    string
	subscriptions   map[string][]*Subscription // by the name there
	watched fileID                  // what the system watches for it; the zero value: nothing
}

// folderCheck is a round over the folders: each is to be watched, and to be the one that is watched. It runs on a goroutine of its
// own, one at a time: a file system may keep it waiting.
type folderCheck struct {
	notifier notifier // nil: to be opened, if try
	openNotifier     func() (notifier, error)
	stat     statFunc
	mayAdd      bool // to watch what is not
	followed  map[string]fileID
	unfollowed  []string // that are not followed any more

	opened  bool
	watched map[string]fileID // after the round
	added   []string          // to what is watched
	refusal error             // by the system, the first
}

func (r *folderCheck) run() {
	r.watched = map[string]fileID{}
	if r.notifier == nil {
		if r.notifier, r.refusal = r.openNotifier(); r.refusal != nil {
			return
		}
		r.opened = true
	}
	for _, path := range r.unfollowed {
		r.notifier.Remove(path) // it may have gone by itself
	}
	known := map[string]bool{} // what the notifier watches, by the name that it was given
	for _, path := range r.notifier.WatchList() {
		known[path] = true
	}
	owner := map[fileID]string{}
	ids := map[string]fileID{}
	var fresh []string
	for path, before := range r.followed {
		s, _, err := r.stat(path)
		if err == nil && s.id() == before && known[path] {
			r.watched[path], owner[before] = before, path
			continue
		}
		if known[path] { // it is gone, or another one now
			r.notifier.Remove(path)
		}
		if err == nil { // a missing folder is its lists' trouble
			ids[path] = s.id()
			fresh = append(fresh, path)
		}
	}
	slices.Sort(fresh)
	for _, path := range fresh {
		id := ids[path]
		if owner[id] != "" { // watched by another name
			r.watched[path] = id
			continue
		}
		if !r.mayAdd {
			continue
		}
		if err := r.notifier.Add(path); err != nil {
			if r.refusal == nil && !errors.Is(err, fs.ErrNotExist) {
				r.refusal = fmt.Errorf("watching %s: %w", path, err)
			}
			continue
		}
		r.watched[path], owner[id] = id, path
		r.added = append(r.added, path)
	}
}

// startFolderCheck starts a round, unless one is under way.
func (w *Watcher) startFolderCheck() {
	if w.checkingFolders {
		w.recheckFolders = true
		return
	}
	r := &folderCheck{notifier: w.notifier, openNotifier: w.openNotifier, stat: w.stat, mayAdd: !time.Now().Before(w.retryAt), followed: map[string]fileID{}, unfollowed: w.unfollowed}
	if r.notifier == nil && (!r.mayAdd || len(w.folders) == 0) {
		return
	}
	w.unfollowed = nil
	for path, f := range w.folders {
		r.followed[path] = f.watched
	}
	w.checkingFolders = true
	go func() {
		r.run()
		select {
		case w.folderChecks <- r:
		case <-w.done:
			if r.opened {
				r.notifier.Close()
			}
		}
	}()
}

// folderCheckFinished takes what a round has found.
func (w *Watcher) folderCheckFinished(r *folderCheck) {
	w.checkingFolders = false
	if r.opened {
		w.notifier = r.notifier
		w.events, w.errors = r.notifier.Channels()
	}
	if r.notifier == w.notifier { // else it was lost meanwhile
		for path := range r.followed {
			if f := w.folders[path]; f != nil {
				f.watched = r.watched[path]
			}
		}
		clear(w.aliases)
		for path, f := range w.folders {
			if f.watched != (fileID{}) {
				w.aliases[f.watched] = append(w.aliases[f.watched], path)
			}
		}
		for _, path := range r.added {
			if f := w.folders[path]; f != nil { // what changed before it was watched
				w.folderChanged(f, "")
			}
		}
		for path, id := range r.watched {
			if r.followed[path] != id && w.folders[path] != nil {
				w.folderChanged(w.folders[path], "")
			}
		}
	}
	switch {
	case r.notifier != w.notifier:
	case r.refusal != nil:
		w.recordRefusal(r.refusal)
	case r.mayAdd:
		w.backoff = 0
		if w.refused {
			w.refused = false
			w.reportRefusal(nil)
		}
	}
	if w.recheckFolders {
		w.recheckFolders = false
		w.startFolderCheck()
	}
}

// recordRefusal notes that the system refuses to tell of changes: it is said once, and tried again after a pause that grows.
func (w *Watcher) recordRefusal(why error) {
	w.backoff = min(max(2*w.backoff, w.firstBackoff), maxRetryBackoff)
	w.retryAt = time.Now().Add(w.backoff)
	if !w.refused {
		w.refused = true
		w.reportRefusal(why)
	}
}

// notifierFailed takes an error of the notifier.
func (w *Watcher) notifierFailed(err error) {
	if !errors.Is(err, fsnotify.ErrEventOverflow) { // else changes came faster than they were taken, and some were not told
		w.dropNotifier(err)
	}
	for _, f := range w.folders {
		w.folderChanged(f, "")
	}
}

// dropNotifier gives the notifier up.
func (w *Watcher) dropNotifier(why error) {
	go w.notifier.Close() // it may wait for a word that nobody takes
	w.notifier, w.events, w.errors = nil, nil, nil
	for _, f := range w.folders {
		f.watched = fileID{}
	}
	clear(w.aliases)
	w.recordRefusal(why)
}

// eventArrived takes an event: it makes the lists be looked at that it may be about.
func (w *Watcher) eventArrived(e fsnotify.Event) {
	if f := w.folders[e.Name]; f != nil { // itself was removed or renamed, or it stands in another one that is followed
		w.folderChanged(f, "")
		w.startFolderCheck()
	}
	f := w.folders[filepath.Dir(e.Name)]
	if f == nil {
		return
	}
	name := filepath.Base(e.Name)
	w.folderChanged(f, name)
	for _, path := range w.aliases[f.watched] {
		if other := w.folders[path]; other != nil && other != f {
			w.folderChanged(other, name)
		}
	}
}
