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

// defaultPollInterval is how often a list is checked while the system sends no events for it, or it is missing or
// invalid, and how often each folder is checked for being the one that is watched. With the time to read a list it
// brings a change into force within 1 s.
const defaultPollInterval = 500 * time.Millisecond

// Update is an update of a list that is followed. With neither a list nor an error, the file was checked and has not
// changed.
type Update struct {
	List   *List // differs in its text from the one before
	Err    error // why the list before stays in force; notified once, until it is another
	Failed int   // how many checks in a row, before this one, failed with another error
}

// Watcher follows many lists in files, with one inotify instance for all. A file may be replaced, or reached by a
// symbolic link that is (as a Kubernetes ConfigMap does), so its folder is watched. In addition its stamp is checked at
// every interval: what the system sends no event for (network file systems, links into other folders) is then found
// late rather than never. Where the system refuses a watch, the lists are polled.
//
// One goroutine owns the Watcher and never blocks. Files and folders are checked on goroutines of their own, one for a
// list at a time. A file is read only if its stamp has changed, and parsed only if its text has.
type Watcher struct {
	checkInterval, pollInterval, firstBackoff time.Duration

	reportRefusal func(error)
	openNotifier  func() (notifier, error)
	stat          statFunc

	calls        chan func() // to run on the Watcher's goroutine
	checks       chan *checkResult
	folderChecks chan *folderCheck
	done         <-chan struct{}
	parseSlots   chan struct{} // one element for each text that is being parsed

	startedAt   time.Time
	followCount int // lists that were ever followed
	queue       checkQueue

	folders    map[string]*followedFolder // by path
	aliases    map[fileID][]string        // the paths of each watched folder
	unfollowed []string                   // folders that are watched and followed no more

	notifier        notifier // nil: there is none
	events          <-chan fsnotify.Event
	errors          <-chan error
	checkingFolders bool // a folder check is running
	recheckFolders  bool // another one is due after it
	refused         bool // the system refuses a watch, and this was reported
	backoff         time.Duration
	retryAt         time.Time
}

// Subscription is a list that is followed. The Watcher's goroutine owns its state.
type Subscription struct {
	watcher  *Watcher
	path     string
	folder   *followedFolder
	fileName string // in the folder
	notify   func(Update)

	lastRead  FileState // the zero value: the next check reads and parses
	confirmed bool      // the file was read again when its stamp was not ambiguous any more
	lastError string    // of the last check
	failures  int       // checks in a row that found it
	checked   bool      // a check was started
	stopped   bool

	checkOffset time.Duration // of its periodic checks
	due         time.Time     // of the next check
	queueIndex  int           // in the Watcher's queue, or checkRunning
	changeSeen  time.Time     // the first sign of a change since the last check; zero: none
	recheck     bool          // there was one during the check
}

// NewWatcher starts a Watcher that ends with the context. Each list is checked at every interval, whatever events the
// system sends. report is called with the error when the system refuses a watch, and with nil when it watches all
// folders again.
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

// Follow follows the list in a file. notify gets each update, on the Watcher's goroutine: it must not block. A file
// that was read before is notified when it differs from that reading; the zero Reading is of one that was not.
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
		folder.subscriptions[subscription.fileName] = append(folder.subscriptions[subscription.fileName], subscription)
		subscription.folder = folder
		w.followCount++
		subscription.checkOffset = checkOffset(w.followCount, w.checkInterval)
		subscription.due = time.Now()
		heap.Push(&w.queue, subscription)
	})
	return subscription
}

// followFolder returns the folder of a path, which is followed from now on.
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

// Stop ends the subscription. No update is notified once it has returned.
func (s *Subscription) Stop() {
	s.watcher.do(func() {
		s.stopped = true
		if s.queueIndex != checkRunning {
			heap.Remove(&s.watcher.queue, s.queueIndex)
		}
		s.watcher.unfollow(s)
	})
}

// unfollow removes a subscription from its folder, and the folder if it has no other.
func (w *Watcher) unfollow(subscription *Subscription) {
	folder := subscription.folder
	ofFile := folder.subscriptions[subscription.fileName]
	ofFile = slices.DeleteFunc(ofFile, func(other *Subscription) bool { return other == subscription })
	folder.subscriptions[subscription.fileName] = ofFile
	if len(ofFile) == 0 {
		delete(folder.subscriptions, subscription.fileName)
	}
	if len(folder.subscriptions) == 0 {
		delete(w.folders, folder.path)
		w.unfollowed = append(w.unfollowed, folder.path)
		w.startFolderCheck()
	}
}

// do runs a function on the Watcher's goroutine, and returns when it has run or the Watcher has ended.
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

// Watch follows the list in a file until the context ends: updated gets each list that differs in time, failed each
// reason why the one before stays in force.
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
