package override

import (
	"maps"
	"time"
)

// Entry is the last local override of one upstream. Processes exchange entries at a hot restart, so the JSON keys must
// not change.
type Entry struct {
	Out bool  `json:"out"` // true: taken out of service; false: put back
	At  int64 `json:"at"`  // when it was set, Unix time in nanoseconds
}

// TakeOut takes an upstream out of service by a local override. Nothing changes if it is already out by one.
func (t *Table) TakeOut(id string, now time.Duration) { t.setLocal(id, true, now) }

// PutBack ends the local override of an upstream, however often TakeOut was called. It reports whether there was one.
func (t *Table) PutBack(id string, now time.Duration) bool {
	if !t.OutOfServiceLocally(id) {
		return false
	}
	t.setLocal(id, false, now)
	return true
}

// setLocal stores a local override, and forgets upstreams that were put back more than putBackRetention ago. A new
// entry always has a later time than the one it replaces, so that Merge in another process takes the later of two calls
// even if both were made within one tick of the clock.
func (t *Table) setLocal(id string, out bool, now time.Duration) {
	if current, ok := t.local[id]; ok && current.Out == out {
		return
	}
	if t.local == nil {
		t.local = map[string]Entry{}
	}
	maps.DeleteFunc(t.local, func(_ string, entry Entry) bool {
		return !entry.Out && time.Duration(entry.At) < now-putBackRetention
	})
	t.local[id] = Entry{Out: out, At: max(int64(now), t.local[id].At+1)}
}

// OutOfServiceLocally reports whether a local override takes an upstream out of service.
func (t *Table) OutOfServiceLocally(id string) bool { return t.local[id].Out }

// putBackLocallyAt returns when PutBack last ended a local override, as Unix time; 0 if that is not remembered or the
// upstream is out.
func (t *Table) putBackLocallyAt(id string) time.Duration {
	if entry, ok := t.local[id]; ok && !entry.Out {
		return time.Duration(entry.At)
	}
	return 0
}

// Entries returns a copy of the local overrides, for Merge in another process.
func (t *Table) Entries() map[string]Entry { return maps.Clone(t.local) }

// Merge adds the local overrides of another process. Of two entries of the same upstream it keeps the later one. If
// both have the same time, it keeps the one that takes the upstream out of service.
func (t *Table) Merge(other map[string]Entry) {
	for id, theirs := range other {
		if ours, ok := t.local[id]; ok && ours.supersedes(theirs) {
			continue
		}
		if t.local == nil {
			t.local = map[string]Entry{}
		}
		t.local[id] = theirs
	}
}

// supersedes reports whether Merge keeps e and drops another entry of the same upstream.
func (e Entry) supersedes(other Entry) bool {
	return e.At > other.At || (e.At == other.At && e.Out)
}
