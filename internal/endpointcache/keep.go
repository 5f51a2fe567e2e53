// Package keep keeps the list that a pool was last told on a disk, so that a process that starts while its list's source is down
// begins with it. It is not in the way of anything: the pool hands lists over and goes on, and of several that come while one is
// written only the last is written.
package endpointcache

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"

	"olivearch/internal/discovery"
	"olivearch/internal/disk"
)

// most bounds a kept list, in bytes.
const most = 64 << 20

// Load reads a kept list; nil: none is there. A list that is damaged, or holds what no list may, is an error that names the file: the
// process then starts without it.
func Load(path string) (*discovery.Listing, error) {
	text, err := disk.Read(path, most)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, fmt.Errorf("the kept list: %w", err)
	}
	var l discovery.Listing
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("the kept list: %s: %w", path, err)
	}
	for i := range l.Members {
		if err := l.Members[i].Check(); err != nil {
			return nil, fmt.Errorf("the kept list: %s: %w", path, err)
		}
	}
	// Its revision is of a source that may have begun anew since: the first call asks for the whole list.
	l.Revision, l.Complete = 0, true
	return &l, nil
}

// Writer writes lists.
type Writer struct {
	path  string
	mu    sync.Mutex
	list  map[string]discovery.Member
	dirty bool
	ended bool
	kick  chan struct{}
	done  chan struct{}
}

// NewWriter returns a Keeper for a file. The list that was loaded from it, if there was one, is where changes begin.
func NewWriter(path string, loaded *discovery.Listing) *Writer {
	k := &Writer{path: path, list: map[string]discovery.Member{}, kick: make(chan struct{}, 1), done: make(chan struct{})}
	if loaded != nil {
		k.take(*loaded)
	}
	go k.run()
	return k
}

// Save takes a list, or changes to it. It does not wait.
func (k *Writer) Save(l discovery.Listing) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.take(l) || k.ended {
		return
	}
	k.dirty = true
	select {
	case k.kick <- struct{}{}:
	default: // it is awake already
	}
}

// take applies a list, and tells whether that changed anything. The caller holds the lock, or has the Keeper alone.
func (k *Writer) take(l discovery.Listing) (changed bool) {
	named := map[string]bool{}
	for _, m := range l.Members {
		named[m.ID] = true
		before, known := k.list[m.ID]
		switch {
		case m.Phase == "removed":
			delete(k.list, m.ID)
			changed = changed || known
		case before != m:
			k.list[m.ID], changed = m, true
		}
	}
	if l.Complete {
		for id := range k.list {
			if !named[id] {
				delete(k.list, id)
				changed = true
			}
		}
	}
	return changed
}

// Close writes what is still to be written, and ends.
func (k *Writer) Close() {
	k.mu.Lock()
	if !k.ended {
		k.ended = true
		close(k.kick)
	}
	k.mu.Unlock()
	<-k.done
}

func (k *Writer) run() {
	defer close(k.done)
	why := ""
	for range k.kick {
		text, dirty := k.text()
		if !dirty {
			continue
		}
		err := disk.Replace(k.path, text)
		switch {
		case err == nil && why != "":
			slog.Info("the list is kept again", "file", k.path)
			why = ""
		case err != nil && err.Error() != why: // once for each cause: a full disk stays full for long
			why = err.Error()
			slog.Warn("the list could not be kept: a restart begins with an older one", "file", k.path, "err", err)
		}
	}
}

func (k *Writer) text() (text []byte, dirty bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if dirty, k.dirty = k.dirty, false; !dirty {
		return nil, false
	}
	l := discovery.Listing{Complete: true}
	for _, m := range k.list {
		l.Members = append(l.Members, m)
	}
	slices.SortFunc(l.Members, func(a, b discovery.Member) int { return strings.Compare(a.ID, b.ID) })
	text, err := json.Marshal(l)
	if err != nil {
		slog.Error("the list could not be kept", "file", k.path, "err", err) // a figure in it is no number
		return nil, false
	}
	return text, true
}
