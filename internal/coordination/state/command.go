package state

import (
	"fmt"
	"strings"
	"time"
	"unicode"
)

// Command is something that is asked of the ledger.
type Command interface {
	// Check says what is wrong with it, whatever the ledger holds.
	Check() error
	apply(s *State) Result
	number() uint32 // of its kind on the wire and in logs; never used again for another
	level() uint32  // of the first version that knew it
	encode(w writer)
	decode(f field) error
}

// SetOverride gives staff's word, in the place of the one that holds of the subject.
type SetOverride struct {
	Subject
	Value      int64
	By, Reason string
	At         int64         // see Word
	Duration   time.Duration // 0: until it is cleared
}

// ClearOverride takes a word back. That there is none is no error: it may be asked twice.
type ClearOverride struct {
	Subject
	By string
}

// SetResource makes a bound or changes its limit; 0 removes it, if nothing is held of it.
type SetResource struct {
	Name  string
	Slots bool
	Limit int64
}

// AcquireLease asks for a lease of so many parts, or renews the one that the holder has under this fence.
type AcquireLease struct {
	Resource, Holder string
	Units            int64
	Duration         time.Duration
	FencingToken     uint64 // 0: a new lease
}

// ReleaseLease gives a lease back before its end.
type ReleaseLease struct {
	Resource, Holder string
	FencingToken     uint64
}

// Reserve asks for places in the seconds to come, the earliest first. Asked again with the same number it brings the same answer.
type Reserve struct {
	Resource, Holder string
	Sequence         uint64 // grows with each of the holder's bookings
	Places           int64
	After, Within    uint32 // s from now: not before, not after
}

// AddVoter lets a voter of this name join; Dismiss takes a name out, once its vote is gone.
type AddVoter struct{ Name, Address string }

// RemoveVoter see Admit.
type RemoveVoter struct{ Name string }

// RaiseFeatureLevel lets commands of a level be given, now that all voters know them.
type RaiseFeatureLevel struct{ To uint32 }

// AdvanceClock lets the ledger's clock go on, for what ends by it.
type AdvanceClock struct{}

// RegisterMember notes a member, and Strike that it is none any more. They come with changes of the voters alone.
type RegisterMember struct{ Member }

// UnregisterMember see Enrol.
type UnregisterMember struct{ ID uint64 }

func checkName(what, text string) error {
	switch {
	case text == "" || len(text) > MaxName:
		return fmt.Errorf("%s: 1 to %d bytes are wanted", what, MaxName)
	case strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) || r == unicode.ReplacementChar }):
		return fmt.Errorf("%s: %.40q has a space or a character that can't be shown", what, text)
	}
	return nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func failIf(wrong bool, format string, values ...any) error {
	if !wrong {
		return nil
	}
	return fmt.Errorf(format, values...)
}

func (s Subject) check() error {
	return first(failIf(kinds[s.Kind] == "", "there is no kind of word %d", s.Kind), failIf(scopes[s.Scope] == "", "there is no scope %d", s.Scope),
		failIf(s.Kind != OutOfService && s.Scope != ScopeUpstream, "a %s is of an upstream, not of a %s", s.Kind, s.Scope), checkName("target", s.Target))
}

// Check implements Command.
func (c *SetOverride) Check() error {
	return first(c.Subject.check(),
		failIf(c.Kind == OutOfService && c.Value != 0, "out has no value"),
		failIf(c.Kind == ConcurrencyCap && (c.Value < 1 || c.Value > 1e6), "a cap is from 1 to 1,000,000"),
		failIf(c.Kind == TrafficShare && (c.Value < 1 || c.Value > 1000), "a share is from 1 to 1,000 thousandths: it is cut, never nothing"),
		checkName("by", c.By), failIf(len(c.Reason) > MaxReason, "why: at most %d bytes", MaxReason),
		failIf(c.Duration < 0 || c.Duration > MaxOverrideDuration, "for: from 0 (until it is cleared) to %v", MaxOverrideDuration))
}

// Check implements Command.
func (c *ClearOverride) Check() error { return first(c.Subject.check(), checkName("by", c.By)) }

// Check implements Command.
func (c *SetResource) Check() error {
	return first(checkName("bound", c.Name), failIf(c.Limit < 0 || c.Limit > MaxResourceLimit, "limit: from 0 to %d", int64(MaxResourceLimit)))
}

// Check implements Command.
func (c *AcquireLease) Check() error {
	return first(checkName("bound", c.Resource), checkName("holder", c.Holder), failIf(c.Units < 1 || c.Units > MaxResourceLimit, "parts: from 1 to %d", int64(MaxResourceLimit)),
		failIf(c.Duration < MinLeaseDuration || c.Duration > MaxLeaseDuration, "for: from %v to %v", MinLeaseDuration, MaxLeaseDuration))
}

// Check implements Command.
func (c *ReleaseLease) Check() error {
	return first(checkName("bound", c.Resource), checkName("holder", c.Holder), failIf(c.FencingToken == 0, "fence: the number of the lease is wanted"))
}

// Check implements Command.
func (c *Reserve) Check() error {
	return first(checkName("bound", c.Resource), checkName("holder", c.Holder), failIf(c.Sequence == 0, "sequence: over 0"),
		failIf(c.Places < 1 || c.Places > MaxResourceLimit, "places: from 1 to %d", int64(MaxResourceLimit)),
		failIf(c.Within > MaxReservationHorizon || c.After > c.Within, "after and within: at most %d s ahead, and after no later than within", MaxReservationHorizon))
}

// Check implements Command.
func (c *AddVoter) Check() error {
	return first(checkName("name", c.Name), checkName("address", c.Address))
}

// Check implements Command.
func (c *RemoveVoter) Check() error { return checkName("name", c.Name) }

// Check implements Command.
func (c *RaiseFeatureLevel) Check() error { return failIf(c.To == 0, "level: over 0") }

// Check implements Command.
func (*AdvanceClock) Check() error { return nil }

// Check implements Command.
func (c *RegisterMember) Check() error {
	return first(checkName("name", c.Name), checkName("address", c.Address), failIf(c.ID == 0, "a member's id is over 0"))
}

// Check implements Command.
func (c *UnregisterMember) Check() error { return failIf(c.ID == 0, "a member's id is over 0") }
