package endpointlist

import (
	"container/heap"
	"context"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

// defaultPollInterval is the interval between checks of a list that is missing or invalid, or for which the system
// sends no events. It is also the interval between folder checks. A change takes effect within 1 s, including the time
// to read the list.
const defaultPollInterval = 500 * time.Millisecond

// Update is the result of a check of a followed list. If it has neither a list nor an error, the text of the file has
// not changed.
type Update struct {
	List   *List // its text differs from that of the last list, or the previous check failed
	Err    error // why the last list stays in force; not repeated while the error stays the same
	Failed int   // number of failed checks in a row, just before this one, that had the previous error
}

// Watcher follows many lists in files with a single inotify instance. It watches the folder of a file, as the file may
// be replaced, or be reached by a symbolic link that is replaced (as in a Kubernetes ConfigMap). In addition it checks
// the stamp of each file at every interval. This finds changes for which the system sends no event: those on network
// file systems, or behind links into other folders. If the system refuses a watch, the lists are polled.
//
// One goroutine owns the Watcher and never blocks. Each check of a file or of the folders runs on its own goroutine,
// and a list has at most one check at a time. A file is read only if its stamp has changed or is ambiguous, and parsed
// only if its text has changed.
type Watcher struct {
	checkInterval, pollInterval, firstBackoff time.Duration

	reportRefusal func(error)
	openNotifier  func() (notifier, error)
	stat          statFunc

	calls        chan func() // to run on the Watcher's goroutine
	checks       chan *checkResult
	folderChecks chan *folderCheck
	done         <-chan struct{}
	parseSlots   chan struct{} // has one element for each text that is being parsed

	startedAt   time.Time
	followCount int // number of calls of Follow
	queue       checkQueue

	folders    map[string]*followedFolder // by path
	aliases    map[fileID][]string        // the followed paths of each watched folder
	unfollowed []string                   // paths that are no longer followed, and may still be watched

	notifier        notifier // nil if none is open
	events          <-chan fsnotify.Event
	errors          <-chan error
	checkingFolders bool // a folder check is running
	recheckFolders  bool // another folder check is due after it
	refused         bool // the system has refused a watch, and this was reported
	backoff         time.Duration
	retryAt         time.Time // end of the backoff: no watch is added before it
}

// Subscription is a followed list. The goroutine of its Watcher owns it.
type Subscription struct {
	watcher  *Watcher
	path     string
	folder   *followedFolder
	fileName string // last element of path
	notify   func(Update)

	lastRead  FileState // if zero, the next check reads and parses the file
	confirmed bool      // the file was read again after its stamp had stopped being ambiguous
	lastError string    // error of the last check; empty if it succeeded
	failures  int       // number of checks in a row that failed with lastError
	checked   bool      // the first check was started
	stopped   bool

	checkOffset  time.Duration // offset of the periodic checks in their interval
	due          time.Time     // time of the next check
	queueIndex   int           // index in the Watcher's queue, or checkRunning
	changeSeenAt time.Time     // time of the first sign of a change since the last check; zero if none
	recheck      bool          // there was a sign of a change during the check that is running
}

// NewWatcher starts a Watcher that ends with the context. Each list is checked at every interval, even if the system
// sends no event. The Watcher calls report with the error when the system refuses a watch or its events fail, and
// with nil when all folders are watched again.
func NewWatcher(ctx context.Context, interval time.Duration, report func(error)) *Watcher {
	w := newWatcher(ctx, interval, report)
	go w.run(ctx)
	return w
}

func newWatcher(ctx context.Context, interval time.Duration, report func(error)) *Watcher {
	return &Watcher{
		checkInterval: interval,
		pollInterval:  min(interval, defaultPollInterval),
		firstBackoff:  minRetryBackoff,
		reportRefusal: report,
		openNotifier:  openInotify,
		stat:          statFile,
		calls:         make(chan func()),
		checks:        make(chan *checkResult),
		folderChecks:  make(chan *folderCheck),
		done:          ctx.Done(),
		parseSlots:    make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2)),
		startedAt:     time.Now(),
		folders:       map[string]*followedFolder{},
		aliases:       map[fileID][]string{},
	}
}

// Follow follows the list in a file. It calls notify with each Update on the Watcher's goroutine, so notify must not
// block. read is the state of a file that the caller has read: the first list is notified only if the file differs from
// it. If read is zero, the first list is always notified.
func (w *Watcher) Follow(path string, read FileState, notify func(Update)) *Subscription {
	subscription := &Subscription{
		watcher:  w,
		path:     path,
		fileName: filepath.Base(path),
		notify:   notify,
		lastRead: read,
	}
	w.do(func() {
		folder := w.followFolder(filepath.Dir(path))
		folder.subscriptions[subscription.fileName] = append(
			folder.subscriptions[subscription.fileName], subscription)
		subscription.folder = folder
		w.followCount++
		subscription.checkOffset = checkOffset(w.followCount, w.checkInterval)
		subscription.due = time.Now()
		heap.Push(&w.queue, subscription)
	})
	return subscription
}

// followFolder returns the followed folder of a path. It starts to follow the folder if needed.
func (w *Watcher) followFolder(path string) *followedFolder {
	folder := w.folders[path]
	if folder != nil {
		return folder
	}
	folder = &followedFolder{path: path, subscriptions: map[string][]*Subscription{}}
	w.folders[path] = folder
	w.unfollowed = slices.DeleteFunc(w.unfollowed, func(unfollowed string) bool { return unfollowed == path })
	w.startFolderCheck()
	return folder
}

// Stop ends the subscription. No update is notified after Stop has returned.
func (s *Subscription) Stop() {
	s.watcher.do(func() {
		s.stopped = true
		if s.queueIndex != checkRunning {
			heap.Remove(&s.watcher.queue, s.queueIndex)
		}
		s.watcher.unfollow(s)
	})
}

// unfollow removes a subscription from its folder, and the folder if no subscription remains.
func (w *Watcher) unfollow(subscription *Subscription) {
	folder := subscription.folder
	remaining := folder.subscriptions[subscription.fileName]
	remaining = slices.DeleteFunc(remaining, func(other *Subscription) bool { return other == subscription })
	folder.subscriptions[subscription.fileName] = remaining
	if len(remaining) == 0 {
		delete(folder.subscriptions, subscription.fileName)
	}
	if len(folder.subscriptions) == 0 {
		delete(w.folders, folder.path)
		w.unfollowed = append(w.unfollowed, folder.path)
		w.startFolderCheck()
	}
}

// do runs a function on the Watcher's goroutine, and waits until it has returned or the Watcher has ended.
func (w *Watcher) do(call func()) {
	returned := make(chan struct{})
	wrapped := func() {
		call()
		close(returned)
	}
	select {
	case w.calls <- wrapped:
		<-returned
	case <-w.done:
	}
}

func (w *Watcher) run(ctx context.Context) {
	defer func() {
		if w.notifier != nil {
			w.notifier.Close()
		}
	}()
	nextCheck := time.NewTimer(0)
	folderTicker := time.NewTicker(w.pollInterval)
	defer folderTicker.Stop()
	for {
		w.startDueChecks(time.Now())
		if len(w.queue) > 0 {
			nextCheck.Reset(time.Until(w.queue[0].due))
		}
		select {
		case call := <-w.calls:
			call()
		case result := <-w.checks:
			w.checkFinished(result)
		case check := <-w.folderChecks:
			w.folderCheckFinished(check)
		case event, open := <-w.events:
			if !open {
				w.dropNotifier(fsnotify.ErrClosed)
				continue
			}
			w.eventArrived(event)
		case err, open := <-w.errors:
			if !open {
				err = fsnotify.ErrClosed
			}
			w.notifierFailed(err)
		case <-folderTicker.C:
			w.startFolderCheck()
		case <-nextCheck.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watcher) startDueChecks(now time.Time) {
	for len(w.queue) > 0 && !w.queue[0].due.After(now) {
		w.startCheck(heap.Pop(&w.queue).(*Subscription))
	}
}

// Watch follows the list in a file until the context ends. It calls updated with each list that differs from the last
// one, and failed with each error because of which the last list stays in force or the folder cannot be watched.
func Watch(ctx context.Context, path string, interval time.Duration, updated func(List), failed func(error)) error {
	watcher := newWatcher(ctx, interval, func(err error) {
		if err != nil {
			failed(err)
		}
	})
	watcher.pollInterval = interval
	go watcher.Follow(path, FileState{}, func(update Update) {
		switch {
		case update.Err != nil:
			failed(update.Err)
		case update.List != nil:
			updated(*update.List)
		}
	})
	watcher.run(ctx)
	return nil
}
