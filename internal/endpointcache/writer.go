package endpointcache

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"

	"olivearch/internal/discovery"
	"olivearch/internal/disk"
)

// Writer writes the endpoint list of one pool to a file. Its methods may be called from many goroutines; one goroutine
// of its own does all writing, until Close.
type Writer struct {
	path string
	wake chan struct{} // has room for one signal; closed by Close
	done chan struct{} // closed when the last write has ended

	mu        sync.Mutex // guards what follows
	endpoints map[string]discovery.Member
	dirty     bool // endpoints has changes that are not written yet
	closed    bool

	lastError string // of the last write, empty if it succeeded; of the writing goroutine
}

// NewWriter returns a Writer for a file, and starts its goroutine. Changes apply to the list that Load returned for the
// file; it may be nil.
func NewWriter(path string, loaded *discovery.Listing) *Writer {
	w := &Writer{
		path:      path,
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		endpoints: map[string]discovery.Member{},
	}
	if loaded != nil {
		w.update(*loaded)
	}
	go w.writeLoop()
	return w
}

// Save takes a complete list, or changes to the one before, to be written soon. It does not wait for the disk. After
// Close it does nothing.
func (w *Writer) Save(list discovery.Listing) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.update(list)
	if !changed || w.closed {
		return
	}
	w.dirty = true
	select {
	case w.wake <- struct{}{}:
	default: // a signal is waiting already
	}
}

// update applies a list, and reports whether that changed anything. The caller holds mu, or has the only reference.
func (w *Writer) update(list discovery.Listing) (changed bool) {
	named := map[string]bool{}
	for _, endpoint := range list.Members {
		named[endpoint.ID] = true
		before, known := w.endpoints[endpoint.ID]
		switch {
		case endpoint.Phase == discovery.PhaseRemoved:
			delete(w.endpoints, endpoint.ID)
			changed = changed || known
		case before != endpoint:
			w.endpoints[endpoint.ID] = endpoint
			changed = true
		}
	}
	if !list.Complete {
		return changed
	}
	for id := range w.endpoints {
		if !named[id] {
			delete(w.endpoints, id)
			changed = true
		}
	}
	return changed
}

// Close writes the changes that are not written yet, and ends the Writer. It waits for that.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) writeLoop() {
	defer close(w.done)
	for range w.wake {
		text, changed := w.takeChanges()
		if !changed {
			continue
		}
		w.logResult(disk.Replace(w.path, text))
	}
}

// logResult logs the first of several equal errors, as a full disk stays full for long, and the first success after an
// error.
func (w *Writer) logResult(err error) {
	switch {
	case err == nil && w.lastError != "":
		w.lastError = ""
		slog.Info("endpoint list cached again", "path", w.path)
	case err != nil && err.Error() != w.lastError:
		w.lastError = err.Error()
		slog.Warn("endpoint list not cached", "path", w.path, "err", err)
	}
}

// takeChanges returns the encoded list if it has changes that are not written yet, and counts them as written.
func (w *Writer) takeChanges() (text []byte, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.dirty {
		return nil, false
	}
	w.dirty = false
	list := discovery.Listing{Complete: true}
	for _, endpoint := range w.endpoints {
		list.Members = append(list.Members, endpoint)
	}
	slices.SortFunc(list.Members, func(a, b discovery.Member) int { return strings.Compare(a.ID, b.ID) })
	text, err := json.Marshal(list)
	if err != nil { // a size that is infinite or not a number has no JSON form
		slog.Error("endpoint list not encoded", "path", w.path, "err", err)
		return nil, false
	}
	return text, true
}
