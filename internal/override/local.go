package override

import (
	"maps"
	"time"
)

// Entry is the last local override of one upstream. Processes exchange entries at a hot restart, so the JSON keys are
// fixed.
type Entry struct {
	Out bool  `json:"out"` // true: taken out of service; false: put back
	At  int64 `json:"at"`  // when it was set, Unix time in nanoseconds
}

// TakeOut takes an upstream out of service. Nothing changes if it is out already.
func (t *Table) TakeOut(id string, now time.Duration) { t.setLocal(id, true, now) }

// PutBack undoes TakeOut, however often that was called. It reports whether the upstream was out.
func (t *Table) PutBack(id string, now time.Duration) bool {
	if !t.OutLocally(id) {
		return false
	}
	t.setLocal(id, false, now)
	return true
}

// setLocal stores a local override and forgets upstreams that were put back long ago. The time of an entry always
// grows, so that Merge in another process takes the later of two calls within one tick of the clock.
func (t *Table) setLocal(id string, out bool, now time.Duration) {
	if current, ok := t.local[id]; ok && current.Out == out {
		return
	}
	if t.local == nil {
		t.local = map[string]Entry{}
	}
	maps.DeleteFunc(t.local, func(_ string, entry Entry) bool {
		return !entry.Out && time.Duration(entry.At) < now-putBackMemory
	})
	t.local[id] = Entry{Out: out, At: max(int64(now), t.local[id].At+1)}
}

// OutLocally reports whether a local override takes an upstream out of service.
func (t *Table) OutLocally(id string) bool { return t.local[id].Out }

// putBackLocallyAt returns when PutBack ended a local override, as Unix time; 0 if that was not lately.
func (t *Table) putBackLocallyAt(id string) time.Duration {
	if entry, ok := t.local[id]; ok && !entry.Out {
		return time.Duration(entry.At)
	}
	return 0
}

// Entries returns a copy of the local overrides, for another process.
func (t *Table) Entries() map[string]Entry { return maps.Clone(t.local) }

// Merge adds the local overrides of another process. Of two entries of an upstream the later one wins; of two with the
// same time, the one that takes it out of service.
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

// supersedes reports whether e stays in force against another entry of the same upstream.
func (e Entry) supersedes(other Entry) bool {
	return e.At > other.At || (e.At == other.At && e.Out)
}
