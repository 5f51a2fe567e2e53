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
	Words() (<-chan fsnotify.Event, <-chan error)
}

// inotify is the system's.
type inotify struct{ *fsnotify.Watcher }

func (i inotify) Words() (<-chan fsnotify.Event, <-chan error) { return i.Events, i.Errors }

func openInotify() (notifier, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	return inotify{w}, nil
}

// folder is one in which lists are followed. Its lists are looked at often while the system does not tell of its changes.
type folder struct {
	path    string
	lists   map[string][]*Following // by the name there
	watched fileID                  // what the system watches for it; the zero value: nothing
}

// round is a round over the folders: each is to be watched, and to be the one that is watched. It runs on a goroutine of its
// own, one at a time: a file system may keep it waiting.
type round struct {
	notifier notifier // nil: to be opened, if try
	open     func() (notifier, error)
	stat     statter
	try      bool // to watch what is not
	folders  map[string]fileID
	dropped  []string // that are not followed any more

	opened  bool
	watched map[string]fileID // after the round
	added   []string          // to what is watched
	refused error             // by the system, the first
}

func (r *round) run() {
	r.watched = map[string]fileID{}
	if r.notifier == nil {
		if r.notifier, r.refused = r.open(); r.refused != nil {
			return
		}
		r.opened = true
	}
	for _, path := range r.dropped {
		r.notifier.Remove(path) // it may have gone by itself
	}
	known := map[string]bool{} // what the notifier watches, by the name that it was given
	for _, path := range r.notifier.WatchList() {
		known[path] = true
	}
	owner := map[fileID]string{}
	ids := map[string]fileID{}
	var fresh []string
	for path, before := range r.folders {
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
		if !r.try {
			continue
		}
		if err := r.notifier.Add(path); err != nil {
			if r.refused == nil && !errors.Is(err, fs.ErrNotExist) {
				r.refused = fmt.Errorf("watching %s: %w", path, err)
			}
			continue
		}
		r.watched[path], owner[id] = id, path
		r.added = append(r.added, path)
	}
}

// begin starts a round, unless one is under way.
func (w *Watcher) begin() {
	if w.rounding {
		w.roundAgain = true
		return
	}
	r := &round{notifier: w.notifier, open: w.open, stat: w.stat, try: !time.Now().Before(w.retryAt), folders: map[string]fileID{}, dropped: w.dropped}
	if r.notifier == nil && (!r.try || len(w.folders) == 0) {
		return
	}
	w.dropped = nil
	for path, f := range w.folders {
		r.folders[path] = f.watched
	}
	w.rounding = true
	go func() {
		r.run()
		select {
		case w.rounds <- r:
		case <-w.ended:
			if r.opened {
				r.notifier.Close()
			}
		}
	}()
}

// rounded takes what a round has found.
func (w *Watcher) rounded(r *round) {
	w.rounding = false
	if r.opened {
		w.notifier = r.notifier
		w.events, w.errors = r.notifier.Words()
	}
	if r.notifier == w.notifier { // else it was lost meanwhile
		for path := range r.folders {
			if f := w.folders[path]; f != nil {
				f.watched = r.watched[path]
			}
		}
		clear(w.names)
		for path, f := range w.folders {
			if f.watched != (fileID{}) {
				w.names[f.watched] = append(w.names[f.watched], path)
			}
		}
		for _, path := range r.added {
			if f := w.folders[path]; f != nil { // what changed before it was watched
				w.press(f, "")
			}
		}
		for path, id := range r.watched {
			if r.folders[path] != id && w.folders[path] != nil {
				w.press(w.folders[path], "")
			}
		}
	}
	switch {
	case r.notifier != w.notifier:
	case r.refused != nil:
		w.refuse(r.refused)
	case r.try:
		w.delay = 0
		if w.refused {
			w.refused = false
			w.report(nil)
		}
	}
	if w.roundAgain {
		w.roundAgain = false
		w.begin()
	}
}

// refuse notes that the system refuses to tell of changes: it is said once, and tried again after a pause that grows.
func (w *Watcher) refuse(why error) {
	w.delay = min(max(2*w.delay, w.retry), retryMost)
	w.retryAt = time.Now().Add(w.delay)
	if !w.refused {
		w.refused = true
		w.report(why)
	}
}

// failed takes an error of the notifier.
func (w *Watcher) failed(err error) {
	if !errors.Is(err, fsnotify.ErrEventOverflow) { // else changes came faster than they were taken, and some were not told
		w.lose(err)
	}
	for _, f := range w.folders {
		w.press(f, "")
	}
}

// lose gives the notifier up.
func (w *Watcher) lose(why error) {
	go w.notifier.Close() // it may wait for a word that nobody takes
	w.notifier, w.events, w.errors = nil, nil, nil
	for _, f := range w.folders {
		f.watched = fileID{}
	}
	clear(w.names)
	w.refuse(why)
}

// told takes an event: it makes the lists be looked at that it may be about.
func (w *Watcher) told(e fsnotify.Event) {
	if f := w.folders[e.Name]; f != nil { // itself was removed or renamed, or it stands in another one that is followed
		w.press(f, "")
		w.begin()
	}
	f := w.folders[filepath.Dir(e.Name)]
	if f == nil {
		return
	}
	name := filepath.Base(e.Name)
	w.press(f, name)
	for _, path := range w.names[f.watched] {
		if other := w.folders[path]; other != nil && other != f {
			w.press(other, name)
		}
	}
}
