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
	// settle is how long after a change a file is read: a writer that does not replace it at once writes in pieces, and
	// each piece is a change. Under changes without a pause it is read after settleMost.
	settle     = 20 * time.Millisecond
	settleMost = 200 * time.Millisecond
	// pollEvery is how often a list is looked at while the system does not tell of its changes, or it is missing or bad, and
	// a folder whether it is still the one that is watched. With the reading it keeps a change in force within 1 s.
	pollEvery = 500 * time.Millisecond
	// retryFirst and retryMost bound the pauses between two tries to let the system tell of changes.
	retryFirst = time.Second
	retryMost  = time.Minute
	// slot is what regular looks are put together by: one wake-up serves them all.
	slot = 250 * time.Millisecond
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
	every, poll, retry time.Duration
	report             func(error)
	open               func() (notifier, error)
	stat               statter

	asks   chan func()
	looks  chan *seen
	rounds chan *round
	ended  <-chan struct{}
	turns  chan struct{} // held while a text is parsed

	folders    map[string]*folder
	names      map[fileID][]string // of folders that are watched
	dropped    []string            // folders that are watched and not followed
	followed   int                 // lists, since the start
	start      time.Time
	agenda     agenda
	notifier   notifier // nil: there is none
	events     <-chan fsnotify.Event
	errors     <-chan error
	rounding   bool
	roundAgain bool
	refused    bool // the system refuses to tell of changes, and it was said
	delay      time.Duration
	retryAt    time.Time
}

// Following is a list that is followed.
type Following struct {
	watcher *Watcher
	path    string
	folder  *folder
	name    string // in the folder
	tell    func(Word)

	last    Reading // the zero value: the next look reads and parses
	sure    bool    // the file was read after its stamp could be kept by a change
	trouble string  // found by the last look
	failed  int     // looks that have found it
	begun   bool    // it was looked at
	stopped bool

	phase   time.Duration // of its regular looks
	due     time.Time
	place   int       // in the agenda; -1: a look is under way
	pressed time.Time // the first sign of a change since the last look; zero: none
	again   bool      // one came during the look
}

// seen is a look that has ended.
type seen struct {
	*Following
	look
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
		every: every, poll: min(every, pollEvery), retry: retryFirst, report: report, open: openInotify, stat: statFile,
		asks: make(chan func()), looks: make(chan *seen), rounds: make(chan *round), ended: ctx.Done(),
		turns: make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2)),
		start: time.Now(), folders: map[string]*folder{}, names: map[fileID][]string{},
	}
}

// Follow follows the list in a file. tell gets each Word, from the Watcher's goroutine: it must not wait. A file that was read
// before is told when it differs from then; the zero Reading is of one that was not.
func (w *Watcher) Follow(path string, read Reading, tell func(Word)) *Following {
	f := &Following{watcher: w, path: path, name: filepath.Base(path), tell: tell, last: read}
	w.ask(func() {
		dir := filepath.Dir(path)
		if f.folder = w.folders[dir]; f.folder == nil {
			f.folder = &folder{path: dir, lists: map[string][]*Following{}}
			w.folders[dir] = f.folder
			w.dropped = slices.DeleteFunc(w.dropped, func(x string) bool { return x == dir })
			w.begin()
		}
		f.folder.lists[f.name] = append(f.folder.lists[f.name], f)
		w.followed++
		_, part := math.Modf(float64(w.followed) * 0.6180339887) // spread evenly, however many there are
		f.phase = time.Duration(part * float64(w.every)).Truncate(slot)
		f.due = time.Now()
		heap.Push(&w.agenda, f)
	})
	return f
}

// Stop ends the following. No Word is told once it has returned.
func (f *Following) Stop() {
	w := f.watcher
	w.ask(func() {
		f.stopped = true
		if f.place >= 0 {
			heap.Remove(&w.agenda, f.place)
		}
		same := slices.DeleteFunc(f.folder.lists[f.name], func(x *Following) bool { return x == f })
		if f.folder.lists[f.name] = same; len(same) == 0 {
			delete(f.folder.lists, f.name)
		}
		if len(f.folder.lists) == 0 {
			delete(w.folders, f.folder.path)
			w.dropped = append(w.dropped, f.folder.path)
			w.begin()
		}
	})
}

// ask lets the Watcher's goroutine do something, and returns when it has, or when it has ended.
func (w *Watcher) ask(f func()) {
	done := make(chan struct{})
	select {
	case w.asks <- func() { f(); close(done) }:
		<-done
	case <-w.ended:
	}
}

func (w *Watcher) run(ctx context.Context) {
	defer func() {
		if w.notifier != nil {
			w.notifier.Close()
		}
	}()
	clock := time.NewTimer(0)
	rounds := time.NewTicker(w.poll)
	defer rounds.Stop()
	for {
		now := time.Now()
		for len(w.agenda) > 0 && !w.agenda[0].due.After(now) {
			w.look(heap.Pop(&w.agenda).(*Following))
		}
		if len(w.agenda) > 0 {
			clock.Reset(time.Until(w.agenda[0].due))
		}
		select {
		case f := <-w.asks:
			f()
		case x := <-w.looks:
			w.looked(x)
		case r := <-w.rounds:
			w.rounded(r)
		case e, open := <-w.events:
			if !open {
				w.lose(fsnotify.ErrClosed)
				continue
			}
			w.told(e)
		case err, open := <-w.errors:
			if !open {
				err = fsnotify.ErrClosed
			}
			w.failed(err)
		case <-rounds.C:
			w.begin()
		case <-clock.C:
		case <-ctx.Done():
			return
		}
	}
}

// press lets the lists of a folder be looked at once they have settled: the one of that name, and those that are reached by
// a link or are missing or bad, as these hang on other names too. No name: all.
func (w *Watcher) press(x *folder, name string) {
	now := time.Now()
	if same := x.lists[name]; same != nil {
		for _, f := range same {
			w.pressOne(f, now)
		}
		return
	}
	for _, same := range x.lists {
		for _, f := range same {
			if name == "" || f.last.linked || f.last.at.IsZero() {
				w.pressOne(f, now)
			}
		}
	}
}

func (w *Watcher) pressOne(f *Following, now time.Time) {
	if f.place < 0 {
		f.again = true
		return
	}
	if f.pressed.IsZero() {
		f.pressed = now
	}
	due := now.Add(settle)
	if most := f.pressed.Add(settleMost); due.After(most) {
		due = most
	}
	f.due = due
	heap.Fix(&w.agenda, f.place)
}

// look begins a look at a list.
func (w *Watcher) look(f *Following) {
	settled := !f.pressed.IsZero() || !f.begun
	f.pressed, f.begun = time.Time{}, true
	x := &seen{f, look{path: f.path, before: f.last, settled: settled, read: !f.sure && !f.last.at.IsZero() && time.Since(f.last.at) >= f.last.stamp.unsure()}}
	go func() {
		x.run(w.stat, w.turns)
		select {
		case w.looks <- x:
		case <-w.ended:
		}
	}()
}

// looked takes what a look has found.
func (w *Watcher) looked(x *seen) {
	f := x.Following
	if f.stopped {
		return
	}
	if x.unsettled {
		f.pressed = time.Now()
		f.due = f.pressed.Add(settle)
		heap.Push(&w.agenda, f)
		return
	}
	f.last.linked = x.linked
	switch {
	case x.done:
		f.sure = !x.differ && x.read
		if x.differ {
			f.last.at = x.at
		}
		f.last.stamp, f.last.text = x.stamp, x.text
	case x.err != nil:
		f.last = Reading{} // whatever comes next is read
	}
	switch {
	case x.err != nil:
		f.fail(x.err)
	case x.parsed:
		failed := f.failed
		f.trouble, f.failed = "", 0
		f.tell(Word{List: &x.list, Failed: failed})
	case f.trouble != "":
		f.failed++
	default:
		f.tell(Word{})
	}
	w.next(f)
}

// fail notes an error, and tells it unless it was the last look's too.
func (f *Following) fail(err error) {
	if text := err.Error(); text != f.trouble {
		f.tell(Word{Err: err, Failed: f.failed})
		f.trouble, f.failed = text, 0
	}
	f.failed++
}

// next sets the time of the next look.
func (w *Watcher) next(f *Following) {
	now := time.Now()
	every := w.every
	if f.trouble != "" || f.folder.watched == (fileID{}) {
		every = w.poll
	}
	phase := f.phase % every
	f.due = w.start.Add(phase + (now.Sub(w.start) - phase + every).Truncate(every))
	if !f.sure && !f.last.at.IsZero() {
		if at := f.last.at.Add(f.last.stamp.unsure()); at.Before(f.due) {
			f.due = at
		}
	}
	heap.Push(&w.agenda, f)
	if f.again {
		f.again = false
		w.pressOne(f, now)
	}
}

// agenda is the lists by the time of their next look.
type agenda []*Following

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].due.Before(a[j].due) }
func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].place, a[j].place = i, j
}

func (a *agenda) Push(x any) {
	f := x.(*Following)
	f.place = len(*a)
	*a = append(*a, f)
}

func (a *agenda) Pop() any {
	last := len(*a) - 1
	f := (*a)[last]
	(*a)[last] = nil
	*a = (*a)[:last]
	f.place = -1
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
	w.poll = every
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
