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
	clock             uint64 // ms
	revision          uint64
	featureLevel      uint32 // commands up to this level may be given
	overrides         map[Subject]Override
	resources         map[string]*Resource
	reservations      map[string]reservation // by bound and holder
	admittedVoters    map[string]string      // name -> address of those that may vote
	members           map[uint64]Member
	usedBytes         int64  // bytes, estimated
	nextExpiry        uint64 // nothing ends before it
	overridesRevision uint64 // how often words have changed since this copy was made
}

// reservation is a holder's last, kept so that it can be asked again.
type reservation struct {
	resource, holder string
	sequence         uint64
	slots            []ReservedSlot
	until            uint64 // ms: later nobody asks again
}

// reservationRetention is for how long a booking's answer is kept.
const reservationRetention = 10 * time.Minute

// NewState returns an empty ledger.
func NewState() *State {
	return &State{featureLevel: 1, overrides: map[Subject]Override{}, resources: map[string]*Resource{}, reservations: map[string]reservation{}, admittedVoters: map[string]string{}, members: map[uint64]Member{}, nextExpiry: never}
}

// Clock is the ledger's, in ms.
func (s *State) Clock() uint64 { return s.clock }

// Revision is the number of the last command.
func (s *State) Revision() uint64 { return s.revision }

// FeatureLevel is the level up to which commands may be given.
func (s *State) FeatureLevel() uint32 { return s.featureLevel }

// UsedBytes is how much is held, in bytes by a fixed estimate, of MaxBytes.
func (s *State) UsedBytes() int64 { return s.usedBytes }

// OverridesRevision grows whenever words change. It is of this copy of the state alone.
func (s *State) OverridesRevision() uint64 { return s.overridesRevision }

// Overrides are all that hold, by subject.
func (s *State) Overrides() []Override {
	return slices.SortedFunc(maps.Values(s.overrides), func(a, b Override) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Kind, b.Kind))
	})
}

// Override is the one that holds of a subject.
func (s *State) Override(of Subject) (Override, bool) {
	w, ok := s.overrides[of]
	return w, ok
}

// Resources are all that there are, by name.
func (s *State) Resources() []*Resource {
	return slices.SortedFunc(maps.Values(s.resources), func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
}

// Leases are those of a bound, by holder.
func (b *Resource) Leases() []Lease {
	return slices.SortedFunc(maps.Values(b.leases), func(x, y Lease) int { return cmp.Compare(x.Holder, y.Holder) })
}

// Reserved are the places of a bound by second.
func (b *Resource) Reserved() []ReservedSlot {
	var all []ReservedSlot
	for _, second := range slices.Sorted(maps.Keys(b.reserved)) {
		all = append(all, ReservedSlot{second, b.reserved[second]})
	}
	return all
}

// leasedUnits is the sum of a bound's leases.
func (b *Resource) leasedUnits() (sum int64) {
	for _, l := range b.leases {
		sum += l.Units
	}
	return sum
}

// AdmittedVoters are the names that may vote, with their addresses.
func (s *State) AdmittedVoters() map[string]string { return maps.Clone(s.admittedVoters) }

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
		r = reject(RejectedInvalid, "%v", err)
	} else if c.level() > s.featureLevel {
		r = reject(RejectedFeatureLevel, "this kind of promise wants level %d, and the ledger is at %d: not all voters are of that version yet", c.level(), s.featureLevel)
	} else {
		r = c.apply(s)
	}
	r.Revision, r.Clock = s.revision, s.clock
	if s.featureLevel > NewestFeatureLevel {
		return r, fmt.Errorf("the ledger is at level %d, and this version knows %d: a newer one is wanted", s.featureLevel, NewestFeatureLevel)
	}
	return r, nil
}

func reject(why Rejection, format string, values ...any) Result {
	return Result{Rejection: why, Message: fmt.Sprintf(format, values...)}
}

// expire drops what has ended by the ledger's clock.
func (s *State) expire() {
	if s.clock < s.nextExpiry {
		return
	}
	s.nextExpiry = never
	for subject, w := range s.overrides {
		if w.Until != 0 && !s.trackExpiry(w.Until) {
			s.removeOverride(subject)
		}
	}
	for _, b := range s.resources {
		for holder, l := range b.leases {
			if !s.trackExpiry(l.Until) {
				s.removeLease(b, holder)
			}
		}
		for second := range b.reserved {
			if !s.trackExpiry(endOfSecond(second)) {
				delete(b.reserved, second)
				s.usedBytes -= slotOverhead
			}
		}
	}
	for key, x := range s.reservations {
		if !s.trackExpiry(x.until) {
			s.usedBytes -= x.size()
			delete(s.reservations, key)
		}
	}
}

// never is a moment that does not come.
const never = math.MaxUint64

// trackExpiry tells whether something that ends at a moment has not ended yet, and sees to it that it will.
func (s *State) trackExpiry(until uint64) bool {
	if until <= s.clock {
		return false
	}
	s.nextExpiry = min(s.nextExpiry, until)
	return true
}

// endOfSecond is when a second of the ledger's clock is over, in ms.
func endOfSecond(second uint64) uint64 { return (min(second, never/1000-1) + 1) * 1000 }

// NextExpiry is when the next thing that is held ends by the ledger's clock, in ms; the greatest number: nothing does.
func (s *State) NextExpiry() uint64 { return s.nextExpiry }

// What each entry counts for, beside its texts: maps, log and snapshots have it more than once.
const (
	entryOverhead = 160
	slotOverhead  = 48
)

func (w *Override) size() int64 { return entryOverhead + int64(len(w.Target)+len(w.By)+len(w.Reason)) }

func (l *Lease) size() int64 {
	return entryOverhead + int64(len(l.Holder))
}
func (b *Resource) size() int64 { return entryOverhead + int64(len(b.Name)) }
func (b *reservation) size() int64 {
	return entryOverhead + int64(len(b.resource)+len(b.holder)) + slotOverhead*int64(len(b.slots))
}

// exceedsCapacity tells whether so much more would be too much.
func (s *State) exceedsCapacity(more int64) bool { return more > 0 && s.usedBytes+more > MaxBytes }

func (s *State) rejectFull() Result {
	return reject(RejectedStateFull, "the ledger is full: %d of %d bytes are held, and what is held is never dropped for what is new", s.usedBytes, int64(MaxBytes))
}

func (s *State) removeOverride(of Subject) {
	if w, ok := s.overrides[of]; ok {
		s.usedBytes -= w.size()
		s.overridesRevision++
		delete(s.overrides, of)
	}
}

func (s *State) removeLease(b *Resource, holder string) {
	if l, ok := b.leases[holder]; ok {
		s.usedBytes -= l.size()
		delete(b.leases, holder)
	}
}

// deadline is a moment of the ledger's clock from now, in ms; an odd part of one counts whole.
func (s *State) deadline(d time.Duration) uint64 {
	return s.clock + uint64((d+time.Millisecond-1)/time.Millisecond)
}

func (c *SetOverride) apply(s *State) Result {
	w := Override{Subject: c.Subject, Value: c.Value, By: c.By, Reason: c.Reason, At: c.At, Revision: s.revision}
	if c.Duration > 0 {
		w.Until = s.deadline(c.Duration)
	}
	before, had := s.overrides[c.Subject]
	more := w.size()
	if had {
		more -= before.size()
	}
	if s.exceedsCapacity(more) {
		return s.rejectFull()
	}
	s.overrides[c.Subject] = w
	s.usedBytes += more
	s.overridesRevision++
	if w.Until > 0 {
		s.nextExpiry = min(s.nextExpiry, w.Until)
	}
	return Result{}
}

func (c *ClearOverride) apply(s *State) Result {
	s.removeOverride(c.Subject)
	return Result{}
}

func (c *SetResource) apply(s *State) Result {
	b, ok := s.resources[c.Name]
	switch {
	case ok && b.Slots != c.Slots:
		return reject(RejectedInvalid, "the bound %s is of the other kind: slots and leases do not mix", c.Name)
	case ok && c.Limit == 0 && len(b.leases)+len(b.reserved) > 0:
		return reject(RejectedNoCapacity, "of the bound %s something is still held", c.Name)
	case ok && c.Limit == 0:
		s.usedBytes -= b.size()
		delete(s.resources, c.Name)
	case ok: // what is held over a lower limit stays until it ends; nothing new is given before
		b.Limit = c.Limit
	case c.Limit > 0:
		b = &Resource{Name: c.Name, Slots: c.Slots, Limit: c.Limit, leases: map[string]Lease{}, reserved: map[uint64]int64{}}
		if s.exceedsCapacity(b.size()) {
			return s.rejectFull()
		}
		s.resources[c.Name] = b
		s.usedBytes += b.size()
	}
	return Result{}
}

// findResource finds one of a kind.
func (s *State) findResource(name string, slots bool) (*Resource, Result) {
	b, ok := s.resources[name]
	switch {
	case !ok:
		return nil, reject(RejectedNotFound, "there is no bound %s", name)
	case b.Slots != slots:
		return nil, reject(RejectedInvalid, "the bound %s is of the other kind: slots and leases do not mix", name)
	}
	return b, Result{}
}

func (c *AcquireLease) apply(s *State) Result {
	b, r := s.findResource(c.Resource, false)
	if b == nil {
		return r
	}
	mine, held := b.leases[c.Holder]
	free := b.Limit - b.leasedUnits() + mine.Units
	switch {
	case held && c.FencingToken != mine.FencingToken: // a new life of the holder: the old one may still act on it
		r = reject(RejectedFenced, "%s holds it under fence %d until %d ms from now", c.Holder, mine.FencingToken, mine.Until-s.clock)
		return r
	case !held && c.FencingToken != 0:
		return reject(RejectedFenced, "the lease under fence %d has ended", c.FencingToken)
	case c.Units > free:
		r = reject(RejectedNoCapacity, "of %d parts of %s %d are free, and %d are asked", b.Limit, c.Resource, max(0, free), c.Units)
		r.Free = max(0, free)
		return r
	}
	l := Lease{Holder: c.Holder, Units: c.Units, Until: s.deadline(c.Duration), FencingToken: cmp.Or(mine.FencingToken, s.revision)}
	if !held {
		if s.exceedsCapacity(l.size()) {
			return s.rejectFull()
		}
		s.usedBytes += l.size()
	}
	b.leases[c.Holder] = l
	s.nextExpiry = min(s.nextExpiry, l.Until)
	return Result{FencingToken: l.FencingToken, Free: free - c.Units}
}

func (c *ReleaseLease) apply(s *State) Result {
	b, r := s.findResource(c.Resource, false)
	if b == nil {
		return r
	}
	if mine, held := b.leases[c.Holder]; held && mine.FencingToken != c.FencingToken {
		return reject(RejectedFenced, "%s holds it under fence %d, not %d", c.Holder, mine.FencingToken, c.FencingToken)
	}
	s.removeLease(b, c.Holder)
	return Result{Free: b.Limit - b.leasedUnits()}
}

func (c *Reserve) apply(s *State) Result {
	b, r := s.findResource(c.Resource, true)
	if b == nil {
		return r
	}
	key := c.Resource + " " + c.Holder // neither has a space
	last, asked := s.reservations[key]
	switch {
	case asked && c.Sequence == last.sequence:
		return Result{Reserved: slices.Clone(last.slots)}
	case asked && c.Sequence < last.sequence:
		return reject(RejectedFenced, "%s has booked number %d already", c.Holder, last.sequence)
	}
	now := s.clock / 1000
	var got []ReservedSlot
	left := c.Places
	for second := now + uint64(c.After); second <= now+uint64(c.Within) && left > 0; second++ {
		if n := min(left, b.Limit-b.reserved[second]); n > 0 {
			got = append(got, ReservedSlot{second, n})
			left -= n
		}
	}
	if len(got) == 0 {
		return reject(RejectedNoCapacity, "no second from %d to %d s ahead has a place left", c.After, c.Within)
	}
	next := reservation{c.Resource, c.Holder, c.Sequence, got, s.deadline(reservationRetention)}
	more := next.size() + slotOverhead*int64(len(got))
	if asked {
		more -= last.size()
	}
	if s.exceedsCapacity(more) {
		return s.rejectFull()
	}
	for _, x := range got {
		if b.reserved[x.Second] == 0 {
			s.usedBytes += slotOverhead
		}
		b.reserved[x.Second] += x.Places
		s.nextExpiry = min(s.nextExpiry, endOfSecond(x.Second))
	}
	s.usedBytes += next.size()
	if asked {
		s.usedBytes -= last.size()
	}
	s.reservations[key] = next
	s.nextExpiry = min(s.nextExpiry, next.until)
	return Result{Reserved: slices.Clone(got)}
}

func (c *AddVoter) apply(s *State) Result {
	for name, address := range s.admittedVoters {
		if address == c.Address && name != c.Name {
			return reject(RejectedInvalid, "%s has the address %s already", name, address)
		}
	}
	s.admittedVoters[c.Name] = c.Address
	return Result{}
}

func (c *RemoveVoter) apply(s *State) Result {
	if _, ok := s.admittedVoters[c.Name]; !ok {
		return reject(RejectedNotFound, "there is no voter %s", c.Name)
	}
	if len(s.admittedVoters) == 1 {
		return reject(RejectedInvalid, "%s is the last one", c.Name)
	}
	delete(s.admittedVoters, c.Name)
	return Result{}
}

func (c *RaiseFeatureLevel) apply(s *State) Result {
	s.featureLevel = max(s.featureLevel, c.To)
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
