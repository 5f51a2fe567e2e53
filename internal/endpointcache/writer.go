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

// Writer writes the endpoint list of one pool to a file, from a goroutine of its own that ends with Close. Its methods
// are safe for concurrent use.
type Writer struct {
	path string
	wake chan struct{} // has room for one signal; closed by Close
	done chan struct{} // closed when the last write has ended

	mu        sync.Mutex                  // guards the next three fields
	endpoints map[string]discovery.Member // by ID
	dirty     bool                        // endpoints has changes that are not written yet
	closed    bool

	lastError string // text of the last write's error, empty if it succeeded; used by writeLoop only
}

// NewWriter returns a Writer for a file, and starts its goroutine. loaded is the list that Load returned for the file,
// to which changes apply; it may be nil.
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

// Save applies a complete list, or changes to the list so far, and has the result written. It does not wait for the
// disk. After Close nothing more is written.
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
	default: // a signal is already pending
	}
}

// update applies a list, and reports whether that changed anything. The caller holds mu or has the only reference to w.
func (w *Writer) update(list discovery.Listing) (changed bool) {
	listed := map[string]bool{}
	for _, endpoint := range list.Members {
		listed[endpoint.ID] = true
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
		if !listed[id] {
			delete(w.endpoints, id)
			changed = true
		}
	}
	return changed
}

// Close writes the changes that are not written yet, ends the Writer's goroutine and waits for its end.
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

// logResult logs the result of a write if it is a new error or the first success after an error. It does not repeat an
// error, since a full disk may stay full for long.
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

// takeChanges returns the encoded list if it has changes that are not written yet, and marks them as written.
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
	if err != nil { // JSON cannot represent a size that is infinite or not a number
		slog.Error("endpoint list not encoded", "path", w.path, "err", err)
		return nil, false
	}
	return text, true
}
