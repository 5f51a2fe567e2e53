package endpointlist

import (
	"errors"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

// The limits of the backoff between attempts to watch folders after the system has refused a watch.
const (
	minRetryBackoff = time.Second
	maxRetryBackoff = time.Minute
)

// startFolderCheck starts a check of all folders. If one is running, the next starts when it has ended.
func (w *Watcher) startFolderCheck() {
	if w.checkingFolders {
		w.recheckFolders = true
		return
	}
	check := &folderCheck{
		notifier:     w.notifier,
		openNotifier: w.openNotifier,
		stat:         w.stat,
		mayAdd:       !time.Now().Before(w.retryAt),
		followed:     map[string]fileID{},
		unfollowed:   w.unfollowed,
	}
	mayOpen := check.mayAdd && len(w.folders) > 0
	if check.notifier == nil && !mayOpen {
		return
	}
	w.unfollowed = nil
	for path, folder := range w.folders {
		check.followed[path] = folder.watched
	}
	w.checkingFolders = true
	go func() {
		check.run()
		select {
		case w.folderChecks <- check:
		case <-w.done:
			if check.opened {
				check.notifier.Close()
			}
		}
	}()
}

// folderCheckFinished records the result of a folder check, and starts the next one if it is due.
func (w *Watcher) folderCheckFinished(check *folderCheck) {
	w.checkingFolders = false
	if check.opened {
		w.notifier = check.notifier
		w.events, w.errors = check.notifier.Channels()
	}
	if check.notifier == w.notifier { // otherwise the notifier was dropped during the check
		w.recordWatched(check)
		w.recordOutcome(check)
	}
	if w.recheckFolders {
		w.recheckFolders = false
		w.startFolderCheck()
	}
}

// recordWatched records which folders are watched. It schedules checks of the lists in newly watched folders, as they
// may have changed before the watch was added.
func (w *Watcher) recordWatched(check *folderCheck) {
	for path := range check.followed {
		if folder := w.folders[path]; folder != nil {
			folder.watched = check.watched[path]
		}
	}
	clear(w.aliases)
	for path, folder := range w.folders {
		if folder.watched != (fileID{}) {
			w.aliases[folder.watched] = append(w.aliases[folder.watched], path)
		}
	}
	for _, path := range check.added {
		if folder := w.folders[path]; folder != nil {
			w.folderChanged(folder, "")
		}
	}
	for path, watched := range check.watched {
		folder := w.folders[path]
		if folder != nil && check.followed[path] != watched {
			w.folderChanged(folder, "")
		}
	}
}

// recordOutcome records whether the system has refused a watch.
func (w *Watcher) recordOutcome(check *folderCheck) {
	if check.refusal != nil {
		w.recordRefusal(check.refusal)
		return
	}
	if !check.mayAdd { // no watch was attempted
		return
	}
	w.backoff = 0
	if w.refused {
		w.refused = false
		w.reportRefusal(nil)
	}
}

// recordRefusal starts or doubles the backoff after the system has refused a watch or the notifier has failed. It
// reports only the first of several such errors.
func (w *Watcher) recordRefusal(refusal error) {
	w.backoff = min(max(2*w.backoff, w.firstBackoff), maxRetryBackoff)
	w.retryAt = time.Now().Add(w.backoff)
	if !w.refused {
		w.refused = true
		w.reportRefusal(refusal)
	}
}

// notifierFailed handles an error of the notifier. Events may be lost, so all lists are checked. The notifier is kept
// only if its queue of events overflowed.
func (w *Watcher) notifierFailed(err error) {
	if !errors.Is(err, fsnotify.ErrEventOverflow) {
		w.dropNotifier(err)
	}
	for _, folder := range w.folders {
		w.folderChanged(folder, "")
	}
}

// dropNotifier closes the notifier. A later folder check opens a new one.
func (w *Watcher) dropNotifier(reason error) {
	go w.notifier.Close() // may block until an event is received
	w.notifier = nil
	w.events = nil
	w.errors = nil
	for _, folder := range w.folders {
		folder.watched = fileID{}
	}
	clear(w.aliases)
	w.recordRefusal(reason)
}

// eventArrived schedules checks of the lists that an event may concern.
func (w *Watcher) eventArrived(event fsnotify.Event) {
	// A followed folder was removed or renamed, or is an entry of another followed folder.
	if folder := w.folders[event.Name]; folder != nil {
		w.folderChanged(folder, "")
		w.startFolderCheck()
	}
	folder := w.folders[filepath.Dir(event.Name)]
	if folder == nil {
		return
	}
	fileName := filepath.Base(event.Name)
	w.folderChanged(folder, fileName)
	for _, path := range w.aliases[folder.watched] {
		other := w.folders[path]
		if other != nil && other != folder {
			w.folderChanged(other, fileName)
		}
	}
}
