package endpointlist

import (
	"container/heap"
	"context"
	"math"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	// settleTime is how long after a change a file is read: a writer that does not replace it at once writes in pieces, and
	// each piece is a change. Under changes without a pause it is read after settleMost.
	settleTime     = 20 * time.Millisecond
	maxSettleTime = 200 * time.Millisecond
	// defaultPollInterval is how often a list is looked at while the system does not tell of its changes, or it is missing or bad, and
	// a folder whether it is still the one that is watched. With the reading it keeps a change in force within 1 s.
	defaultPollInterval = 500 * time.Millisecond
	// minRetryBackoff and retryMost bound the pauses between two tries to let the system tell of changes.
	minRetryBackoff = time.Second
	maxRetryBackoff  = time.Minute
	// wakeupSlot is what regular looks are put together by: one wake-up serves them all.
	wakeupSlot = 250 * time.Millisecond
)

// Word is what following a list has found. With neither a list nor an error the file was looked at and stays as it was.
type Word struct {
	List   *List // differs in its text from the one before
	Err    error // why the list before still holds; told once, until it is another
	Failed int   // how many looks before this one found another error, one after the other
}

// Watcher follows many lists in files, with one inotify instance for all. A file may be replaced, or reached by a
// symbolic link that is (as a Kubernetes ConfigMap does), so its folder is watched; and at every interval its stamp is
// looked at in any case: what is not told by the system (network file systems, links into other folders) is then found
// late rather than never. Where the system refuses to tell of changes, the lists are looked at every pollEvery.
//
// One goroutine owns it and waits for nothing. Files and folders are looked at from goroutines of their own, one to a list
// at a time, and a file is read only if its stamp is another, and parsed only if its text is.
type Watcher struct {
	checkInterval, pollInterval, firstBackoff time.Duration
	reportRefusal             func(error)
	openNotifier               func() (notifier, error)
	stat               statFunc

	calls   chan func()
	checks  chan *checkResult
	folderChecks chan *folderCheck
	done  <-chan struct{}
	parseSlots  chan struct{} // held while a text is parsed

	folders    map[string]*followedFolder
	aliases      map[fileID][]string // of folders that are watched
	unfollowed    []string            // folders that are watched and not followed
	followCount   int                 // lists, since the start
	startedAt      time.Time
	queue     checkQueue
	notifier   notifier // nil: there is none
	events     <-chan fsnotify.Event
	errors     <-chan error
	checkingFolders   bool
	recheckFolders bool
	refused    bool // the system refuses to tell of changes, and it was said
	backoff      time.Duration
	retryAt    time.Time
}

// Subscription is a list that is followed.
type Subscription struct {
	watcher *Watcher
	path    string
	folder  *followedFolder
	fileName    string // in the folder
	notify    func(Word)

	lastRead    Reading // the zero value: the next look reads and parses
	confirmed    bool    // the file was read after its stamp could be kept by a change
	lastError string  // found by the last look
	failures  int     // looks that have found it
	checked   bool    // it was looked at
	stopped bool

	checkOffset   time.Duration // of its regular looks
	due     time.Time
	index   int       // in the agenda; -1: a look is under way
	changeSeen time.Time // the first sign of a change since the last look; zero: none
	recheck   bool      // one came during the look
}

// checkResult is a look that has ended.
type checkResult struct {
	*Subscription
	fileCheck
}

// NewWatcher starts a Watcher that ends with the context. Each list is looked at every so often, whatever the system tells.
// report is called when the system refuses to tell of changes, with its error, and with nil when it tells of all again.
func NewWatcher(ctx context.Context, every time.Duration, report func(error)) *Watcher {
	w := newWatcher(ctx, every, report)
	go w.run(ctx)
	return w
}

func newWatcher(ctx context.Context, every time.Duration, report func(error)) *Watcher {
	return &Watcher{
		checkInterval: every, pollInterval: min(every, defaultPollInterval), firstBackoff: minRetryBackoff, reportRefusal: report, openNotifier: openInotify, stat: statFile,
		calls: make(chan func()), checks: make(chan *checkResult), folderChecks: make(chan *folderCheck), done: ctx.Done(),
		parseSlots: make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2)),
		startedAt: time.Now(), folders: map[string]*followedFolder{}, aliases: map[fileID][]string{},
	}
}

// Follow follows the list in a file. tell gets each Word, from the Watcher's goroutine: it must not wait. A file that was read
// before is told when it differs from then; the zero Reading is of one that was not.
func (w *Watcher) Follow(path string, read Reading, tell func(Word)) *Subscription {
	f := &Subscription{watcher: w, path: path, fileName: filepath.Base(path), notify: tell, lastRead: read}
	w.do(func() {
		dir := filepath.Dir(path)
		if f.folder = w.folders[dir]; f.folder == nil {
			f.folder = &followedFolder{path: dir, subscriptions: map[string][]*Subscription{}}
			w.folders[dir] = f.folder
			w.unfollowed = slices.DeleteFunc(w.unfollowed, func(x string) bool { return x == dir })
			w.startFolderCheck()
		}
		f.folder.subscriptions[f.fileName] = append(f.folder.subscriptions[f.fileName], f)
		w.followCount++
		_, part := math.Modf(float64(w.followCount) * 0.6180339887) // spread evenly, however many there are
		f.checkOffset = time.Duration(part * float64(w.checkInterval)).Truncate(wakeupSlot)
		f.due = time.Now()
		heap.Push(&w.queue, f)
	})
	return f
}

// Stop ends the following. No Word is told once it has returned.
func (f *Subscription) Stop() {
	w := f.watcher
	w.do(func() {
		f.stopped = true
		if f.index >= 0 {
			heap.Remove(&w.queue, f.index)
		}
		same := slices.DeleteFunc(f.folder.subscriptions[f.fileName], func(x *Subscription) bool { return x == f })
		if f.folder.subscriptions[f.fileName] = same; len(same) == 0 {
			delete(f.folder.subscriptions, f.fileName)
		}
		if len(f.folder.subscriptions) == 0 {
			delete(w.folders, f.folder.path)
			w.unfollowed = append(w.unfollowed, f.folder.path)
			w.startFolderCheck()
		}
	})
}

// do lets the Watcher's goroutine do something, and returns when it has, or when it has ended.
func (w *Watcher) do(f func()) {
	done := make(chan struct{})
	select {
	case w.calls <- func() { f(); close(done) }:
		<-done
	case <-w.done:
	}
}

func (w *Watcher) run(ctx context.Context) {
	defer func() {
		if w.notifier != nil {
			w.notifier.Close()
		}
	}()
	clock := time.NewTimer(0)
	rounds := time.NewTicker(w.pollInterval)
	defer rounds.Stop()
	for {
		now := time.Now()
		for len(w.queue) > 0 && !w.queue[0].due.After(now) {
			w.startCheck(heap.Pop(&w.queue).(*Subscription))
		}
		if len(w.queue) > 0 {
			clock.Reset(time.Until(w.queue[0].due))
		}
		select {
		case f := <-w.calls:
			f()
		case x := <-w.checks:
			w.checkFinished(x)
		case r := <-w.folderChecks:
			w.folderCheckFinished(r)
		case e, open := <-w.events:
			if !open {
				w.dropNotifier(fsnotify.ErrClosed)
				continue
			}
			w.eventArrived(e)
		case err, open := <-w.errors:
			if !open {
				err = fsnotify.ErrClosed
			}
			w.notifierFailed(err)
		case <-rounds.C:
			w.startFolderCheck()
		case <-clock.C:
		case <-ctx.Done():
			return
		}
	}
}

// folderChanged lets the lists of a folder be looked at once they have settled: the one of that name, and those that are reached by
// a link or are missing or bad, as these hang on other names too. No name: all.
func (w *Watcher) folderChanged(x *followedFolder, name string) {
	now := time.Now()
	if same := x.subscriptions[name]; same != nil {
		for _, f := range same {
			w.fileChanged(f, now)
		}
		return
	}
	for _, same := range x.subscriptions {
		for _, f := range same {
			if name == "" || f.lastRead.linked || f.lastRead.readAt.IsZero() {
				w.fileChanged(f, now)
			}
		}
	}
}

func (w *Watcher) fileChanged(f *Subscription, now time.Time) {
	if f.index < 0 {
		f.recheck = true
		return
	}
	if f.changeSeen.IsZero() {
		f.changeSeen = now
	}
	due := now.Add(settleTime)
	if most := f.changeSeen.Add(maxSettleTime); due.After(most) {
		due = most
	}
	f.due = due
	heap.Fix(&w.queue, f.index)
}

// startCheck begins a look at a list.
func (w *Watcher) startCheck(f *Subscription) {
	settled := !f.changeSeen.IsZero() || !f.checked
	f.changeSeen, f.checked = time.Time{}, true
	x := &checkResult{f, fileCheck{path: f.path, before: f.lastRead, settled: settled, reread: !f.confirmed && !f.lastRead.readAt.IsZero() && time.Since(f.lastRead.readAt) >= f.lastRead.stamp.ambiguousFor()}}
	go func() {
		x.run(w.stat, w.parseSlots)
		select {
		case w.checks <- x:
		case <-w.done:
		}
	}()
}

// checkFinished takes what a look has found.
func (w *Watcher) checkFinished(x *checkResult) {
	f := x.Subscription
	if f.stopped {
		return
	}
	if x.unsettled {
		f.changeSeen = time.Now()
		f.due = f.changeSeen.Add(settleTime)
		heap.Push(&w.queue, f)
		return
	}
	f.lastRead.linked = x.linked
	switch {
	case x.wasRead:
		f.confirmed = !x.stampChanged && x.reread
		if x.stampChanged {
			f.lastRead.readAt = x.startedAt
		}
		f.lastRead.stamp, f.lastRead.hash = x.stamp, x.hash
	case x.err != nil:
		f.lastRead = Reading{} // whatever comes next is read
	}
	switch {
	case x.err != nil:
		f.recordError(x.err)
	case x.parsed:
		failed := f.failures
		f.lastError, f.failures = "", 0
		f.notify(Word{List: &x.list, Failed: failed})
	case f.lastError != "":
		f.failures++
	default:
		f.notify(Word{})
	}
	w.scheduleNextCheck(f)
}

// recordError notes an error, and tells it unless it was the last look's too.
func (f *Subscription) recordError(err error) {
	if text := err.Error(); text != f.lastError {
		f.notify(Word{Err: err, Failed: f.failures})
		f.lastError, f.failures = text, 0
	}
	f.failures++
}

// scheduleNextCheck sets the time of the next look.
func (w *Watcher) scheduleNextCheck(f *Subscription) {
	now := time.Now()
	every := w.checkInterval
	if f.lastError != "" || f.folder.watched == (fileID{}) {
		every = w.pollInterval
	}
	phase := f.checkOffset % every
	f.due = w.startedAt.Add(phase + (now.Sub(w.startedAt) - phase + every).Truncate(every))
	if !f.confirmed && !f.lastRead.readAt.IsZero() {
		if at := f.lastRead.readAt.Add(f.lastRead.stamp.ambiguousFor()); at.Before(f.due) {
			f.due = at
		}
	}
	heap.Push(&w.queue, f)
	if f.recheck {
		f.recheck = false
		w.fileChanged(f, now)
	}
}

// checkQueue is the lists by the time of their next look.
type checkQueue []*Subscription

func (a checkQueue) Len() int           { return len(a) }
func (a checkQueue) Less(i, j int) bool { return a[i].due.Before(a[j].due) }
func (a checkQueue) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}

func (a *checkQueue) Push(x any) {
	f := x.(*Subscription)
	f.index = len(*a)
	*a = append(*a, f)
}

func (a *checkQueue) Pop() any {
	last := len(*a) - 1
	f := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	f.index = -1
	return f
}

// Watch follows the list in a file until the context ends: told gets each list that differs in time, failed each reason
// why the one before still holds.
func Watch(ctx context.Context, path string, every time.Duration, told func(List), failed func(error)) error {
	w := newWatcher(ctx, every, func(err error) {
		if err != nil {
			failed(err)
		}
	})
	w.pollInterval = every
	go w.Follow(path, Reading{}, func(x Word) {
		if x.Err != nil {
			failed(x.Err)
		} else if x.List != nil {
			told(*x.List)
		}
	})
	w.run(ctx)
	return nil
}
