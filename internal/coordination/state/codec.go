package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"olivearch/internal/protomsg"
)

// The wire format is that of Protocol Buffers; docs/design/promises.md lists the fields. Numbers of kinds and fields are never used
// again for anything else. Whoever reads passes over fields that it does not know; of a kind that it does not know it says so.

type (
	writer = *protomsg.Writer
	field  = protomsg.Field
)

// Version of the form of snapshots. A reader refuses a newer one.
const Version = 1

// ErrUnknownKind is wrapped by an error about a command of a kind that this version does not know.
var ErrUnknownKind = errors.New("a kind of promise that this version does not know")

// known are the kinds of command, by number.
var known = map[uint32]func() Command{
	1: func() Command { return new(SetOverride) }, 2: func() Command { return new(ClearOverride) }, 3: func() Command { return new(SetResource) },
	4: func() Command { return new(AcquireLease) }, 5: func() Command { return new(ReleaseLease) }, 6: func() Command { return new(Reserve) },
	7: func() Command { return new(RaiseFeatureLevel) }, 8: func() Command { return new(AddVoter) }, 9: func() Command { return new(RemoveVoter) },
	10: func() Command { return new(AdvanceClock) }, 11: func() Command { return new(RegisterMember) }, 12: func() Command { return new(UnregisterMember) },
}

// 13 to 19 are kept for the fates of keyed requests.

func (*SetOverride) number() uint32       { return 1 }
func (*ClearOverride) number() uint32     { return 2 }
func (*SetResource) number() uint32       { return 3 }
func (*AcquireLease) number() uint32      { return 4 }
func (*ReleaseLease) number() uint32      { return 5 }
func (*Reserve) number() uint32           { return 6 }
func (*RaiseFeatureLevel) number() uint32 { return 7 }
func (*AddVoter) number() uint32          { return 8 }
func (*RemoveVoter) number() uint32       { return 9 }
func (*AdvanceClock) number() uint32      { return 10 }
func (*RegisterMember) number() uint32    { return 11 }
func (*UnregisterMember) number() uint32  { return 12 }

func (*SetOverride) level() uint32       { return 1 }
func (*ClearOverride) level() uint32     { return 1 }
func (*SetResource) level() uint32       { return 1 }
func (*AcquireLease) level() uint32      { return 1 }
func (*ReleaseLease) level() uint32      { return 1 }
func (*Reserve) level() uint32           { return 1 }
func (*RaiseFeatureLevel) level() uint32 { return 1 }
func (*AddVoter) level() uint32          { return 1 }
func (*RemoveVoter) level() uint32       { return 1 }
func (*AdvanceClock) level() uint32      { return 1 }
func (*RegisterMember) level() uint32    { return 1 }
func (*UnregisterMember) level() uint32  { return 1 }

// IsInternal tells whether a command comes with changes of the voters alone, and is never asked for from outside.
func IsInternal(c Command) bool {
	switch c.(type) {
	case *RaiseFeatureLevel, *AdvanceClock, *RegisterMember, *UnregisterMember:
		return true
	}
	return false
}

// Envelope is a command as it stands in the log.
type Envelope struct {
	ID      uint64 // of the proposal, drawn by whoever proposed it
	Clock   uint64 // of the ledger, in ms, as the leader has counted it
	Command Command
}

// Encode writes a command, without an envelope.
func Encode(c Command) []byte {
	var w protomsg.Writer
	w.Uint(1, uint64(c.number()))
	w.Message(2, func(w writer) { c.encode(w) })
	return w.Bytes()
}

// Decode reads a command. The error wraps protomsg.ErrMalformed or ErrUnknownKind.
func Decode(b []byte) (Command, error) {
	var number uint64
	var body []byte
	err := protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			number = f.Uint
		case 2:
			body = f.Raw
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if number > 1<<31 || known[uint32(number)] == nil {
		return nil, fmt.Errorf("%w: number %d", ErrUnknownKind, number)
	}
	c := known[uint32(number)]()
	if err := protomsg.Each(body, c.decode); err != nil {
		return nil, fmt.Errorf("command %d: %w", number, err)
	}
	return c, nil
}

// Encode writes an envelope.
func (e Envelope) Encode() []byte {
	var w protomsg.Writer
	w.Uint(1, e.ID)
	w.Uint(2, e.Clock)
	w.Raw(3, Encode(e.Command))
	return w.Bytes()
}

// DecodeEnvelope reads an envelope. An error that wraps ErrUnknownKind comes with the rest of it.
func DecodeEnvelope(b []byte) (e Envelope, err error) {
	var body []byte
	err = protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			e.ID = f.Uint
		case 2:
			e.Clock = f.Uint
		case 3:
			body = f.Raw
		}
		return nil
	})
	if err == nil {
		e.Command, err = Decode(body)
	}
	return e, err
}

// encodeMillis writes a duration in ms.
func encodeMillis(w writer, n protomsg.Number, d time.Duration) { w.Int(n, d.Milliseconds()) }

// decodeMillis reads one; what no duration can hold is the longest.
func decodeMillis(f field) time.Duration {
	const most = int64(MaxOverrideDuration/time.Millisecond) + 1 // Check refuses it
	return time.Duration(min(max(f.Int(), -1), most)) * time.Millisecond
}

func (s *Subject) write(w writer) {
	w.Uint(1, uint64(s.Kind))
	w.Uint(2, uint64(s.Scope))
	w.String(3, s.Target)
}

// read takes a field if it is one of the subject's.
func (s *Subject) read(f field) error {
	switch f.Number {
	case 1:
		s.Kind = OverrideKind(min(f.Uint, 255))
	case 2:
		s.Scope = Scope(min(f.Uint, 255))
	case 3:
		return f.Text(&s.Target, MaxName)
	}
	return nil
}

func (c *SetOverride) encode(w writer) {
	c.Subject.write(w)
	w.Int(4, c.Value)
	w.String(5, c.By)
	w.String(6, c.Reason)
	w.Int(7, c.At)
	encodeMillis(w, 8, c.Duration)
}

func (c *SetOverride) decode(f field) error {
	switch f.Number {
	case 4:
		c.Value = f.Int()
	case 5:
		return f.Text(&c.By, MaxName)
	case 6:
		return f.Text(&c.Reason, MaxReason)
	case 7:
		c.At = f.Int()
	case 8:
		c.Duration = decodeMillis(f)
	default:
		return c.Subject.read(f)
	}
	return nil
}

func (c *ClearOverride) encode(w writer) {
	c.Subject.write(w)
	w.String(5, c.By)
}

func (c *ClearOverride) decode(f field) error {
	if f.Number == 5 {
		return f.Text(&c.By, MaxName)
	}
	return c.Subject.read(f)
}

func (c *SetResource) encode(w writer) {
	w.String(1, c.Name)
	w.Bool(2, c.Slots)
	w.Int(3, c.Limit)
}

func (c *SetResource) decode(f field) error {
	switch f.Number {
	case 1:
		return f.Text(&c.Name, MaxName)
	case 2:
		c.Slots = f.Bool()
	case 3:
		c.Limit = f.Int()
	}
	return nil
}

func (c *AcquireLease) encode(w writer) {
	w.String(1, c.Resource)
	w.String(2, c.Holder)
	w.Int(3, c.Units)
	encodeMillis(w, 4, c.Duration)
	w.Uint(5, c.FencingToken)
}

func (c *AcquireLease) decode(f field) error {
	switch f.Number {
	case 1:
		return f.Text(&c.Resource, MaxName)
	case 2:
		return f.Text(&c.Holder, MaxName)
	case 3:
		c.Units = f.Int()
	case 4:
		c.Duration = decodeMillis(f)
	case 5:
		c.FencingToken = f.Uint
	}
	return nil
}

func (c *ReleaseLease) encode(w writer) {
	w.String(1, c.Resource)
	w.String(2, c.Holder)
	w.Uint(5, c.FencingToken)
}

func (c *ReleaseLease) decode(f field) error {
	switch f.Number {
	case 1:
		return f.Text(&c.Resource, MaxName)
	case 2:
		return f.Text(&c.Holder, MaxName)
	case 5:
		c.FencingToken = f.Uint
	}
	return nil
}

func (c *Reserve) encode(w writer) {
	w.String(1, c.Resource)
	w.String(2, c.Holder)
	w.Uint(3, c.Sequence)
	w.Int(4, c.Places)
	w.Uint(5, uint64(c.After))
	w.Uint(6, uint64(c.Within))
}

func (c *Reserve) decode(f field) error {
	switch f.Number {
	case 1:
		return f.Text(&c.Resource, MaxName)
	case 2:
		return f.Text(&c.Holder, MaxName)
	case 3:
		c.Sequence = f.Uint
	case 4:
		c.Places = f.Int()
	case 5:
		c.After = uint32(min(f.Uint, 1<<20))
	case 6:
		c.Within = uint32(min(f.Uint, 1<<20))
	}
	return nil
}

func (c *RaiseFeatureLevel) encode(w writer) { w.Uint(1, uint64(c.To)) }

func (c *RaiseFeatureLevel) decode(f field) error {
	if f.Number == 1 {
		c.To = uint32(min(f.Uint, 1<<31))
	}
	return nil
}

func (c *AddVoter) encode(w writer) {
	w.String(1, c.Name)
	w.String(2, c.Address)
}

func (c *AddVoter) decode(f field) error {
	switch f.Number {
	case 1:
		return f.Text(&c.Name, MaxName)
	case 2:
		return f.Text(&c.Address, MaxName)
	}
	return nil
}

func (c *RemoveVoter) encode(w writer) { w.String(1, c.Name) }

func (c *RemoveVoter) decode(f field) error {
	if f.Number == 1 {
		return f.Text(&c.Name, MaxName)
	}
	return nil
}

func (*AdvanceClock) encode(writer)      {}
func (*AdvanceClock) decode(field) error { return nil }

// Write adds its fields to a message.
func (m *Member) Write(w *protomsg.Writer) {
	w.Uint(1, m.ID)
	w.String(2, m.Name)
	w.String(3, m.Address)
	w.Bool(4, m.Learner)
}

// Read takes a field of a message.
func (m *Member) Read(f protomsg.Field) error {
	switch f.Number {
	case 1:
		m.ID = f.Uint
	case 2:
		return f.Text(&m.Name, MaxName)
	case 3:
		return f.Text(&m.Address, MaxName)
	case 4:
		m.Learner = f.Bool()
	}
	return nil
}

func (c *RegisterMember) encode(w writer)      { c.Member.Write(w) }
func (c *RegisterMember) decode(f field) error { return c.Member.Read(f) }

func (c *UnregisterMember) encode(w writer) { w.Uint(1, c.ID) }

func (c *UnregisterMember) decode(f field) error {
	if f.Number == 1 {
		c.ID = f.Uint
	}
	return nil
}

// Encode writes the whole state, always in the same order: states that are alike have the same bytes.
func (s *State) Encode() []byte {
	var w protomsg.Writer
	w.Uint(1, Version)
	w.Uint(2, s.clock)
	w.Uint(3, s.revision)
	w.Uint(4, uint64(s.featureLevel))
	for _, x := range s.Overrides() {
		w.Message(5, func(w writer) {
			x.Subject.write(w)
			w.Int(4, x.Value)
			w.String(5, x.By)
			w.String(6, x.Reason)
			w.Int(7, x.At)
			w.Uint(8, x.Until)
			w.Uint(9, x.Revision)
		})
	}
	for _, b := range s.Resources() {
		w.Message(6, func(w writer) {
			w.String(1, b.Name)
			w.Bool(2, b.Slots)
			w.Int(3, b.Limit)
			for _, l := range b.Leases() {
				w.Message(4, func(w writer) {
					w.String(1, l.Holder)
					w.Int(2, l.Units)
					w.Uint(3, l.Until)
					w.Uint(4, l.FencingToken)
				})
			}
			WriteReserved(w, 5, b.Reserved())
		})
	}
	for _, key := range slices.Sorted(maps.Keys(s.reservations)) {
		x := s.reservations[key]
		w.Message(7, func(w writer) {
			w.String(1, x.resource)
			w.String(2, x.holder)
			w.Uint(3, x.sequence)
			w.Uint(4, x.until)
			WriteReserved(w, 5, x.slots)
		})
	}
	for _, name := range slices.Sorted(maps.Keys(s.admittedVoters)) {
		w.Message(8, func(w writer) { (&AddVoter{name, s.admittedVoters[name]}).encode(w) })
	}
	for _, m := range s.Members() {
		w.Message(9, func(w writer) { m.Write(w) })
	}
	return w.Bytes()
}

// WriteReserved adds places to a message, under a field's number.
func WriteReserved(w *protomsg.Writer, n protomsg.Number, all []ReservedSlot) {
	for _, x := range all {
		w.Message(n, func(w writer) {
			w.Uint(1, x.Second)
			w.Int(2, x.Places)
		})
	}
}

// ReadReserved reads places from a field's bytes.
func ReadReserved(b []byte) (x ReservedSlot, err error) {
	err = protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			x.Second = f.Uint
		case 2:
			x.Places = f.Int()
		}
		return nil
	})
	return x, err
}

// DecodeState reads a state.
func DecodeState(b []byte) (*State, error) {
	s := NewState()
	version := uint64(0)
	err := protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			version = f.Uint
		case 2:
			s.clock = f.Uint
		case 3:
			s.revision = f.Uint
		case 4:
			s.featureLevel = uint32(min(f.Uint, 1<<31))
		case 5:
			return s.decodeOverride(f.Raw)
		case 6:
			return s.decodeResource(f.Raw)
		case 7:
			return s.decodeReservation(f.Raw)
		case 8:
			var c AddVoter
			if err := protomsg.Each(f.Raw, c.decode); err != nil {
				return err
			}
			s.admittedVoters[c.Name] = c.Address
		case 9:
			var m Member
			if err := protomsg.Each(f.Raw, m.Read); err != nil {
				return err
			}
			s.members[m.ID] = m
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, fmt.Errorf("the ledger's state: %w", err)
	case version != Version:
		return nil, fmt.Errorf("the ledger's state is of version %d, and %d is known", version, Version)
	}
	s.nextExpiry = 0 // what ends when is found at the next command
	return s, nil
}

func (s *State) decodeOverride(b []byte) error {
	var c SetOverride // whose fields a word has too, but for the last two
	var x Override
	err := protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 8:
			x.Until = f.Uint
		case 9:
			x.Revision = f.Uint
		default:
			return c.decode(f)
		}
		return nil
	})
	if err = cmp.Or(err, c.Subject.check()); err != nil {
		return err
	}
	x.Subject, x.Value, x.By, x.Reason, x.At = c.Subject, c.Value, c.By, c.Reason, c.At
	if _, twice := s.overrides[x.Subject]; twice {
		return fmt.Errorf("%w: two words on %v", protomsg.ErrMalformed, x.Subject)
	}
	s.overrides[x.Subject] = x
	s.usedBytes += x.size()
	return nil
}

func (s *State) decodeResource(raw []byte) error {
	b := &Resource{leases: map[string]Lease{}, reserved: map[uint64]int64{}}
	err := protomsg.Each(raw, func(f field) error {
		switch f.Number {
		case 1:
			return f.Text(&b.Name, MaxName)
		case 2:
			b.Slots = f.Bool()
		case 3:
			b.Limit = f.Int()
		case 4:
			var l Lease
			err := protomsg.Each(f.Raw, func(f field) error {
				switch f.Number {
				case 1:
					return f.Text(&l.Holder, MaxName)
				case 2:
					l.Units = f.Int()
				case 3:
					l.Until = f.Uint
				case 4:
					l.FencingToken = f.Uint
				}
				return nil
			})
			if _, twice := b.leases[l.Holder]; err == nil && twice {
				err = fmt.Errorf("%w: two leases of %s", protomsg.ErrMalformed, l.Holder)
			}
			b.leases[l.Holder] = l
			s.usedBytes += l.size()
			return err
		case 5:
			x, err := ReadReserved(f.Raw)
			if b.reserved[x.Second] == 0 {
				s.usedBytes += slotOverhead
			}
			b.reserved[x.Second] = max(1, x.Places)
			return err
		}
		return nil
	})
	if err = cmp.Or(err, checkName("bound", b.Name)); err != nil {
		return err
	}
	if s.resources[b.Name] != nil {
		return fmt.Errorf("%w: two bounds %s", protomsg.ErrMalformed, b.Name)
	}
	s.resources[b.Name] = b
	s.usedBytes += b.size()
	return nil
}

func (s *State) decodeReservation(raw []byte) error {
	var x reservation
	err := protomsg.Each(raw, func(f field) error {
		switch f.Number {
		case 1:
			return f.Text(&x.resource, MaxName)
		case 2:
			return f.Text(&x.holder, MaxName)
		case 3:
			x.sequence = f.Uint
		case 4:
			x.until = f.Uint
		case 5:
			one, err := ReadReserved(f.Raw)
			x.slots = append(x.slots, one)
			return err
		}
		return nil
	})
	if err = cmp.Or(err, checkName("bound", x.resource), checkName("holder", x.holder)); err != nil {
		return err
	}
	key := x.resource + " " + x.holder
	if _, twice := s.reservations[key]; twice {
		return fmt.Errorf("%w: two bookings of %s", protomsg.ErrMalformed, x.holder)
	}
	s.reservations[key] = x
	s.usedBytes += x.size()
	return nil
}
