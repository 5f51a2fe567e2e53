package state

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// State is what the ledger holds. Its owner calls it from one goroutine.
type State struct {
	clock    uint64 // ms
	revision uint64
	raised   uint32 // commands up to this level may be given
	words    map[Subject]Override
	bounds   map[string]*Resource
	bookings map[string]booking // by bound and holder
	admitted map[string]string  // name -> address of those that may vote
	members  map[uint64]Member
	used     int64  // bytes, estimated
	due      uint64 // nothing ends before it
	spoken   uint64 // how often words have changed since this copy was made
}

// booking is a holder's last, kept so that it can be asked again.
type booking struct {
	bound, holder string
	sequence      uint64
	answer        []ReservedSlot
	until         uint64 // ms: later nobody asks again
}

// askedAgain is for how long a booking's answer is kept.
const askedAgain = 10 * time.Minute

// NewState returns an empty ledger.
func NewState() *State {
	return &State{raised: 1, words: map[Subject]Override{}, bounds: map[string]*Resource{}, bookings: map[string]booking{}, admitted: map[string]string{}, members: map[uint64]Member{}, due: never}
}

// Clock is the ledger's, in ms.
func (s *State) Clock() uint64 { return s.clock }

// Revision is the number of the last command.
func (s *State) Revision() uint64 { return s.revision }

// FeatureLevel is the level up to which commands may be given.
func (s *State) FeatureLevel() uint32 { return s.raised }

// UsedBytes is how much is held, in bytes by a fixed estimate, of MaxBytes.
func (s *State) UsedBytes() int64 { return s.used }

// OverridesRevision grows whenever words change. It is of this copy of the state alone.
func (s *State) OverridesRevision() uint64 { return s.spoken }

// Overrides are all that hold, by subject.
func (s *State) Overrides() []Override {
	return slices.SortedFunc(maps.Values(s.words), func(a, b Override) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Kind, b.Kind))
	})
}

// Override is the one that holds of a subject.
func (s *State) Override(of Subject) (Override, bool) {
	w, ok := s.words[of]
	return w, ok
}

// Resources are all that there are, by name.
func (s *State) Resources() []*Resource {
	return slices.SortedFunc(maps.Values(s.bounds), func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// Leases are those of a bound, by holder.
func (b *Resource) Leases() []Lease {
	return slices.SortedFunc(maps.Values(b.leases), func(x, y Lease) int { return cmp.Compare(x.Holder, y.Holder) })
}

// Reserved are the places of a bound by second.
func (b *Resource) Reserved() []ReservedSlot {
	var all []ReservedSlot
	for _, second := range slices.Sorted(maps.Keys(b.booked)) {
		all = append(all, ReservedSlot{second, b.booked[second]})
	}
	return all
}

// held is the sum of a bound's leases.
func (b *Resource) held() (sum int64) {
	for _, l := range b.leases {
		sum += l.Units
	}
	return sum
}

// AdmittedVoters are the names that may vote, with their addresses.
func (s *State) AdmittedVoters() map[string]string { return maps.Clone(s.admitted) }

// Members are all, by name; of one name the voter first.
func (s *State) Members() []Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b Member) int {
		order := cmp.Compare(a.Name, b.Name)
		if order == 0 && a.Learner != b.Learner {
			if order = 1; b.Learner {
				order = -1
			}
		}
		return cmp.Or(order, cmp.Compare(a.ID, b.ID))
	})
}

// Member is the one with an id.
func (s *State) Member(id uint64) (Member, bool) {
	m, ok := s.members[id]
	return m, ok
}

// Apply applies the command of a revision, which are given in order, at a moment of the ledger's clock. The error says that
// this version must not go on: the ledger has been raised to a level that it does not know.
func (s *State) Apply(revision, clock uint64, c Command) (Result, error) {
	s.clock, s.revision = max(s.clock, clock), revision
	s.expire()
	var r Result
	if err := c.Check(); err != nil {
		r = refuse(RejectedInvalid, "%v", err)
	} else if c.level() > s.raised {
		r = refuse(RejectedFeatureLevel, "this kind of promise wants level %d, and the ledger is at %d: not all voters are of that version yet", c.level(), s.raised)
	} else {
		r = c.apply(s)
	}
	r.Revision, r.Clock = s.revision, s.clock
	if s.raised > NewestFeatureLevel {
		return r, fmt.Errorf("the ledger is at level %d, and this version knows %d: a newer one is wanted", s.raised, NewestFeatureLevel)
	}
	return r, nil
}

func refuse(why Rejection, format string, values ...any) Result {
	return Result{Rejection: why, Message: fmt.Sprintf(format, values...)}
}

// expire drops what has ended by the ledger's clock.
func (s *State) expire() {
	if s.clock < s.due {
		return
	}
	s.due = never
	for subject, w := range s.words {
		if w.Until != 0 && !s.lasts(w.Until) {
			s.dropWord(subject)
		}
	}
	for _, b := range s.bounds {
		for holder, l := range b.leases {
			if !s.lasts(l.Until) {
				s.dropLease(b, holder)
			}
		}
		for second := range b.booked {
			if !s.lasts(pastSecond(second)) {
				delete(b.booked, second)
				s.used -= costBooked
			}
		}
	}
	for key, x := range s.bookings {
		if !s.lasts(x.until) {
			s.used -= x.cost()
			delete(s.bookings, key)
		}
	}
}

// never is a moment that does not come.
const never = math.MaxUint64

// lasts tells whether something that ends at a moment has not ended yet, and sees to it that it will.
func (s *State) lasts(until uint64) bool {
	if until <= s.clock {
		return false
	}
	s.due = min(s.due, until)
	return true
}

// pastSecond is when a second of the ledger's clock is over, in ms.
func pastSecond(second uint64) uint64 { return (min(second, never/1000-1) + 1) * 1000 }

// NextExpiry is when the next thing that is held ends by the ledger's clock, in ms; the greatest number: nothing does.
func (s *State) NextExpiry() uint64 { return s.due }

// What each entry counts for, beside its texts: maps, log and snapshots have it more than once.
const (
	costEntry  = 160
	costBooked = 48
)

func (w *Override) cost() int64 { return costEntry + int64(len(w.Target)+len(w.By)+len(w.Reason)) }
func (l *Lease) cost() int64 {
	return costEntry + int64(len(l.Holder))
}
func (b *Resource) cost() int64 { return costEntry + int64(len(b.Name)) }
func (b *booking) cost() int64 {
	return costEntry + int64(len(b.bound)+len(b.holder)) + costBooked*int64(len(b.answer))
}

// full tells whether so much more would be too much.
func (s *State) full(more int64) bool { return more > 0 && s.used+more > MaxBytes }

func (s *State) refuseFull() Result {
	return refuse(RejectedStateFull, "the ledger is full: %d of %d bytes are held, and what is held is never dropped for what is new", s.used, int64(MaxBytes))
}

func (s *State) dropWord(of Subject) {
	if w, ok := s.words[of]; ok {
		s.used -= w.cost()
		s.spoken++
		delete(s.words, of)
	}
}

func (s *State) dropLease(b *Resource, holder string) {
	if l, ok := b.leases[holder]; ok {
		s.used -= l.cost()
		delete(b.leases, holder)
	}
}

// later is a moment of the ledger's clock from now, in ms; an odd part of one counts whole.
func (s *State) later(d time.Duration) uint64 {
	return s.clock + uint64((d+time.Millisecond-1)/time.Millisecond)
}

func (c *SetOverride) apply(s *State) Result {
	w := Override{Subject: c.Subject, Value: c.Value, By: c.By, Reason: c.Reason, At: c.At, Revision: s.revision}
	if c.Duration > 0 {
		w.Until = s.later(c.Duration)
	}
	before, had := s.words[c.Subject]
	more := w.cost()
	if had {
		more -= before.cost()
	}
	if s.full(more) {
		return s.refuseFull()
	}
	s.words[c.Subject] = w
	s.used += more
	s.spoken++
	if w.Until > 0 {
		s.due = min(s.due, w.Until)
	}
	return Result{}
}

func (c *ClearOverride) apply(s *State) Result {
	s.dropWord(c.Subject)
	return Result{}
}

func (c *SetResource) apply(s *State) Result {
	b, ok := s.bounds[c.Name]
	switch {
	case ok && b.Slots != c.Slots:
		return refuse(RejectedInvalid, "the bound %s is of the other kind: slots and leases do not mix", c.Name)
	case ok && c.Limit == 0 && len(b.leases)+len(b.booked) > 0:
		return refuse(RejectedNoCapacity, "of the bound %s something is still held", c.Name)
	case ok && c.Limit == 0:
		s.used -= b.cost()
		delete(s.bounds, c.Name)
	case ok: // what is held over a lower limit stays until it ends; nothing new is given before
		b.Limit = c.Limit
	case c.Limit > 0:
		b = &Resource{Name: c.Name, Slots: c.Slots, Limit: c.Limit, leases: map[string]Lease{}, booked: map[uint64]int64{}}
		if s.full(b.cost()) {
			return s.refuseFull()
		}
		s.bounds[c.Name] = b
		s.used += b.cost()
	}
	return Result{}
}

// bound finds one of a kind.
func (s *State) bound(name string, slots bool) (*Resource, Result) {
	b, ok := s.bounds[name]
	switch {
	case !ok:
		return nil, refuse(RejectedNotFound, "there is no bound %s", name)
	case b.Slots != slots:
		return nil, refuse(RejectedInvalid, "the bound %s is of the other kind: slots and leases do not mix", name)
	}
	return b, Result{}
}

func (c *AcquireLease) apply(s *State) Result {
	b, r := s.bound(c.Resource, false)
	if b == nil {
		return r
	}
	mine, held := b.leases[c.Holder]
	free := b.Limit - b.held() + mine.Units
	switch {
	case held && c.FencingToken != mine.FencingToken: // a new life of the holder: the old one may still act on it
		r = refuse(RejectedFenced, "%s holds it under fence %d until %d ms from now", c.Holder, mine.FencingToken, mine.Until-s.clock)
		return r
	case !held && c.FencingToken != 0:
		return refuse(RejectedFenced, "the lease under fence %d has ended", c.FencingToken)
	case c.Units > free:
		r = refuse(RejectedNoCapacity, "of %d parts of %s %d are free, and %d are asked", b.Limit, c.Resource, max(0, free), c.Units)
		r.Free = max(0, free)
		return r
	}
	l := Lease{Holder: c.Holder, Units: c.Units, Until: s.later(c.Duration), FencingToken: cmp.Or(mine.FencingToken, s.revision)}
	if !held {
		if s.full(l.cost()) {
			return s.refuseFull()
		}
		s.used += l.cost()
	}
	b.leases[c.Holder] = l
	s.due = min(s.due, l.Until)
	return Result{FencingToken: l.FencingToken, Free: free - c.Units}
}

func (c *ReleaseLease) apply(s *State) Result {
	b, r := s.bound(c.Resource, false)
	if b == nil {
		return r
	}
	if mine, held := b.leases[c.Holder]; held && mine.FencingToken != c.FencingToken {
		return refuse(RejectedFenced, "%s holds it under fence %d, not %d", c.Holder, mine.FencingToken, c.FencingToken)
	}
	s.dropLease(b, c.Holder)
	return Result{Free: b.Limit - b.held()}
}

func (c *Reserve) apply(s *State) Result {
	b, r := s.bound(c.Resource, true)
	if b == nil {
		return r
	}
	key := c.Resource + " " + c.Holder // neither has a space
	last, asked := s.bookings[key]
	switch {
	case asked && c.Sequence == last.sequence:
		return Result{Reserved: slices.Clone(last.answer)}
	case asked && c.Sequence < last.sequence:
		return refuse(RejectedFenced, "%s has booked number %d already", c.Holder, last.sequence)
	}
	now := s.clock / 1000
	var got []ReservedSlot
	left := c.Places
	for second := now + uint64(c.After); second <= now+uint64(c.Within) && left > 0; second++ {
		if n := min(left, b.Limit-b.booked[second]); n > 0 {
			got = append(got, ReservedSlot{second, n})
			left -= n
		}
	}
	if len(got) == 0 {
		return refuse(RejectedNoCapacity, "no second from %d to %d s ahead has a place left", c.After, c.Within)
	}
	next := booking{c.Resource, c.Holder, c.Sequence, got, s.later(askedAgain)}
	more := next.cost() + costBooked*int64(len(got))
	if asked {
		more -= last.cost()
	}
	if s.full(more) {
		return s.refuseFull()
	}
	for _, x := range got {
		if b.booked[x.Second] == 0 {
			s.used += costBooked
		}
		b.booked[x.Second] += x.Places
		s.due = min(s.due, pastSecond(x.Second))
	}
	s.used += next.cost()
	if asked {
		s.used -= last.cost()
	}
	s.bookings[key] = next
	s.due = min(s.due, next.until)
	return Result{Reserved: slices.Clone(got)}
}

func (c *AddVoter) apply(s *State) Result {
	for name, address := range s.admitted {
		if address == c.Address && name != c.Name {
			return refuse(RejectedInvalid, "%s has the address %s already", name, address)
		}
	}
	s.admitted[c.Name] = c.Address
	return Result{}
}

func (c *RemoveVoter) apply(s *State) Result {
	if _, ok := s.admitted[c.Name]; !ok {
		return refuse(RejectedNotFound, "there is no voter %s", c.Name)
	}
	if len(s.admitted) == 1 {
		return refuse(RejectedInvalid, "%s is the last one", c.Name)
	}
	delete(s.admitted, c.Name)
	return Result{}
}

func (c *RaiseFeatureLevel) apply(s *State) Result {
	s.raised = max(s.raised, c.To)
	return Result{}
}

func (*AdvanceClock) apply(*State) Result { return Result{} }

func (c *RegisterMember) apply(s *State) Result {
	s.members[c.ID] = c.Member
	return Result{}
}

func (c *UnregisterMember) apply(s *State) Result {
	delete(s.members, c.ID)
	return Result{}
}
