// Package history keeps what clients of the ledger asked and were answered, over all processes, and says whether it could have been: whether
// all promises and readings of each subject fit one order in which each took effect at a moment between its call and its answer
// (linearizability; Herlihy and Wing, 1990; checked by porcupine), whether leases of one bound ever exceeded it by their holders' own
// clocks, whether a second of slots was given out twice, and whether a copy was older than it said. It has no I/O and no clock.
package history

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind of call.
type Kind uint8

// The kinds.
const (
	Write Kind = iota
	Read
)

// Call is a promise that was asked for, or a reading, of one subject.
type Call struct {
	Client  int
	Subject string
	Kind    Kind
	Value   int64 // written, or read; 0: there is none
	From    int64 // ns of one clock
	To      int64
	Unsure  bool // of a write: nobody knows
}

// Lease is one that was granted: from when its holder first knew of it until it gave it back, or its end by its own clock.
type Lease struct {
	Bound, Holder string
	Parts         int64
	Fence         uint64
	Asked         int64 // when it was asked for
	From          int64 // when the holder knew of it
	Until         int64 // the holder's own end
	Limit         int64
}

// Slot are places in a second of the ledger's clock.
type Slot struct {
	Bound  string
	Second uint64
	Places int64
	Limit  int64
}

// Look is what a copy said of a subject that has one writer, whose values grow.
type Look struct {
	Who     string // and from whom it has it
	Subject string
	Value   int64
	At      int64
	Age     time.Duration
}

// History takes all of it. Its methods may be called from many goroutines.
type History struct {
	mu     sync.Mutex
	calls  []Call
	leases []Lease
	slots  []Slot
	looks  []Look
	kept   map[string]kept
	began  int64 // when times that are told begin
}

// kept is what was promised last of a subject of one writer, and what was found at the end.
type kept struct {
	promised, found int64
	acknowledged    int64          // how often
	looked          bool           // at the end
	unsure          map[int64]bool // values that may be held, or may yet be
}

// New returns an empty history that begins at a moment.
func New(began int64) *History { return &History{kept: map[string]kept{}, began: began} }

// Call adds a call.
func (h *History) Call(c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// Lease adds a lease.
func (h *History) Lease(l Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leases = append(h.leases, l)
}

// Slots adds places that were booked.
func (h *History) Slots(all ...Slot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slots = append(h.slots, all...)
}

// Look adds what a copy said.
func (h *History) Look(l Look) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.looks = append(h.looks, l)
}

// Promised notes that a value of a subject of one writer was promised.
func (h *History) Promised(subject string, value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.kept[subject]
	k.promised, k.acknowledged = max(k.promised, value), k.acknowledged+1
	h.kept[subject] = k
}

// Unsure notes that nobody knows whether a value of a subject of one writer holds: it may, from then on, take the place of a later one.
func (h *History) Unsure(subject string, value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.kept[subject]
	if k.unsure == nil {
		k.unsure = map[int64]bool{}
	}
	k.unsure[value] = true
	h.kept[subject] = k
}

// Found notes what is held at the end of a subject of one writer.
func (h *History) Found(subject string, value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.kept[subject]
	k.found, k.looked = value, true
	h.kept[subject] = k
}

// Subjects are those of one writer.
func (h *History) Subjects() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.kept))
}

// Verdict is what the history shows.
type Verdict struct {
	Calls, Unsure, Acknowledged int
	Leases, Slots, Looks        int
	Lost                        int      // promises of one writer that are not there at the end
	Wrong                       []string // each a sentence
	Open                        []string // subjects whose history could not be checked in time
}

// toldMost is how many wrongs of a kind are told.
const toldMost = 5

// register is one subject: a read brings what was written last.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(s, input, output any) (bool, any) {
		c := input.(Call)
		if c.Kind == Write {
			return true, c.Value
		}
		return s.(int64) == c.Value, s
	},
	Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
	DescribeOperation: func(input, _ any) string {
		c := input.(Call)
		return fmt.Sprintf("%d:%v %d", c.Client, c.Kind, c.Value)
	},
}

// Check checks it, each subject's calls within a time.
func (h *History) Check(within time.Duration) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := Verdict{Calls: len(h.calls), Leases: len(h.leases), Slots: len(h.slots), Looks: len(h.looks)}
	by := map[string][]porcupine.Operation{}
	for _, c := range h.calls {
		end := c.To
		if c.Unsure { // it may take effect at any time from its call on
			v.Unsure++
			end = math.MaxInt64
		}
		by[c.Subject] = append(by[c.Subject], porcupine.Operation{ClientId: c.Client, Input: c, Call: c.From, Output: nil, Return: end})
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, subject := range slices.Sorted(maps.Keys(by)) {
		all.Go(func() {
			result := porcupine.CheckOperationsTimeout(register, by[subject], within)
			mu.Lock()
			defer mu.Unlock()
			switch result {
			case porcupine.Illegal:
				v.Wrong = append(v.Wrong, fmt.Sprintf("the calls of %s fit no order", subject))
			case porcupine.Unknown:
				v.Open = append(v.Open, subject)
			}
		})
	}
	all.Wait()
	slices.Sort(v.Wrong)
	slices.Sort(v.Open)
	for _, subject := range slices.Sorted(maps.Keys(h.kept)) {
		k := h.kept[subject]
		v.Acknowledged += int(k.acknowledged)
		if k.looked && k.found < k.promised && !k.unsure[k.found] {
			v.Lost++
			if v.Lost <= toldMost {
				v.Wrong = append(v.Wrong, fmt.Sprintf("%d was promised of %s, and %d is held", k.promised, subject, k.found))
			}
		}
	}
	v.Wrong = append(v.Wrong, h.overdrawn()...)
	v.Wrong = append(v.Wrong, h.doubled()...)
	v.Wrong = append(v.Wrong, h.older()...)
	return v
}

// overdrawn are the moments at which leases of a bound came to more than it, by their holders' clocks, and fences that did not grow.
func (h *History) overdrawn() (wrong []string) {
	type edge struct {
		at    int64
		parts int64
		l     Lease
	}
	by := map[string][]edge{}
	for _, l := range h.leases {
		if l.From < l.Until {
			by[l.Bound] = append(by[l.Bound], edge{l.From, l.Parts, l}, edge{l.Until, -l.Parts, l})
		}
	}
	for _, bound := range slices.Sorted(maps.Keys(by)) {
		edges := by[bound]
		slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.parts, b.parts)) })
		sum := int64(0)
		for _, e := range edges {
			if sum += e.parts; sum > e.l.Limit && e.parts > 0 {
				wrong = append(wrong, fmt.Sprintf("%d parts of %s are held at once, and there are %d: the last by %s under fence %d", sum, bound, e.l.Limit, e.l.Holder, e.l.Fence))
				break
			}
		}
	}
	for _, a := range h.leases {
		for _, b := range h.leases {
			if a.Bound == b.Bound && a.From < b.Asked && b.Fence <= a.Fence {
				wrong = append(wrong, fmt.Sprintf("the fence of %s was %d, and %d for the next lease", a.Bound, a.Fence, b.Fence))
				if len(wrong) > toldMost {
					return wrong
				}
			}
		}
	}
	return wrong
}

// doubled are seconds of which more places were given than there are.
func (h *History) doubled() (wrong []string) {
	type key struct {
		bound  string
		second uint64
	}
	sums := map[key]int64{}
	for _, s := range h.slots {
		k := key{s.Bound, s.Second}
		if sums[k] += s.Places; sums[k] > s.Limit && sums[k]-s.Places <= s.Limit {
			wrong = append(wrong, fmt.Sprintf("%d places of second %d of %s were given, and there are %d", sums[k], s.Second, s.Bound, s.Limit))
		}
	}
	return wrong[:min(len(wrong), toldMost)]
}

// older are copies that lacked what had been promised before the moment of which they said that they know it.
func (h *History) older() (wrong []string) {
	type write struct{ at, value int64 }
	by := map[string][]write{}
	for _, c := range h.calls {
		if c.Kind == Write && !c.Unsure {
			by[c.Subject] = append(by[c.Subject], write{c.To, c.Value})
		}
	}
	for _, l := range h.looks {
		least, at := int64(0), int64(0)
		for _, w := range by[l.Subject] {
			if w.at < l.At-int64(l.Age) && w.value > least {
				least, at = w.value, w.at
			}
		}
		if l.Value < least && !h.kept[l.Subject].unsure[l.Value] {
			wrong = append(wrong, fmt.Sprintf("%s says at %.3f s that it is %v old and has %d of %s, of which %d was promised at %.3f s", l.Who, time.Duration(l.At-h.began).Seconds(), l.Age, l.Value, l.Subject, least, time.Duration(at-h.began).Seconds()))
			if len(wrong) == toldMost {
				break
			}
		}
	}
	return wrong
}
