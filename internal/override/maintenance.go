// Package maintenance keeps which upstreams operators have taken out by hand. It is free of I/O, clock and goroutines.
package override

import (
	"maps"
	"time"
)

// keepBack is how long it is remembered when an upstream was called back: it counts as started then, and is warm long
// before.
const keepBack = 2 * time.Minute

// Entry is the last call on one upstream.
type Entry struct {
	Out bool  `json:"out"` // it is out; else it has been called back
	At  int64 `json:"at"`  // when, Unix time in nanoseconds
}

// Table holds the last call on each upstream, by its id in the node list. The zero value is empty. Its owner calls it from one
// goroutine.
type Table struct {
	entries  map[string]Entry
	shared   Shared
	returned map[string]time.Duration // what the ledger of promises had out, and when it no longer had
}

// TakeOut takes an upstream out. Taken out already it stays so.
func (l *Table) TakeOut(id string, now time.Duration) { l.set(id, true, now) }

// PutBack undoes Out, however often that was called. It tells whether the upstream was out.
func (l *Table) PutBack(id string, now time.Duration) bool {
	if !l.OutLocally(id) {
		return false
	}
	l.set(id, false, now)
	return true
}

func (l *Table) set(id string, out bool, now time.Duration) {
	if l.entries == nil {
		l.entries = map[string]Entry{}
	}
	if e, ok := l.entries[id]; ok && e.Out == out {
		return
	}
	maps.DeleteFunc(l.entries, func(_ string, e Entry) bool { return !e.Out && time.Duration(e.At) < now-keepBack })
	l.entries[id] = Entry{Out: out, At: max(int64(now), l.entries[id].At+1)}
}

// OutLocally tells whether an upstream is out.
func (l *Table) OutLocally(id string) bool { return l.entries[id].Out }

// PutBackAt is when an upstream was called back; 0: not lately.
func (l *Table) PutBackAt(id string) time.Duration {
	if e, ok := l.entries[id]; ok && !e.Out {
		return time.Duration(e.At)
	}
	return 0
}

// Entries returns a copy of what is held, for another process.
func (l *Table) Entries() map[string]Entry { return maps.Clone(l.entries) }

// Merge takes in what another process holds. Of two calls on an upstream the later one counts; at the same moment, the
// one that keeps it out.
func (l *Table) Merge(other map[string]Entry) {
	for id, e := range other {
		if mine, ok := l.entries[id]; ok && (mine.At > e.At || (mine.At == e.At && mine.Out)) {
			continue
		}
		if l.entries == nil {
			l.entries = map[string]Entry{}
		}
		l.entries[id] = e
	}
}
