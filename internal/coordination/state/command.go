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

// SetWord gives staff's word, in the place of the one that holds of the subject.
type SetWord struct {
	Subject
	Value   int64
	By, Why string
	At      int64         // see Word
	For     time.Duration // 0: until it is cleared
}

// ClearWord takes a word back. That there is none is no error: it may be asked twice.
type ClearWord struct {
	Subject
	By string
}

// SetBound makes a bound or changes its limit; 0 removes it, if nothing is held of it.
type SetBound struct {
	Name  string
	Slots bool
	Limit int64
}

// Take asks for a lease of so many parts, or renews the one that the holder has under this fence.
type Take struct {
	Bound, Holder string
	Parts         int64
	For           time.Duration
	Fence         uint64 // 0: a new lease
}

// Release gives a lease back before its end.
type Release struct {
	Bound, Holder string
	Fence         uint64
}

// Book asks for places in the seconds to come, the earliest first. Asked again with the same number it brings the same answer.
type Book struct {
	Bound, Holder string
	Sequence      uint64 // grows with each of the holder's bookings
	Places        int64
	After, Within uint32 // s from now: not before, not after
}

// Admit lets a voter of this name join; Dismiss takes a name out, once its vote is gone.
type Admit struct{ Name, Address string }

// Dismiss see Admit.
type Dismiss struct{ Name string }

// Raise lets commands of a level be given, now that all voters know them.
type Raise struct{ To uint32 }

// Pass lets the ledger's clock go on, for what ends by it.
type Pass struct{}

// Enrol notes a member, and Strike that it is none any more. They come with changes of the voters alone.
type Enrol struct{ Member }

// Strike see Enrol.
type Strike struct{ ID uint64 }

func named(what, text string) error {
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
		failIf(s.Kind != Out && s.Scope != Upstream, "a %s is of an upstream, not of a %s", s.Kind, s.Scope), named("target", s.Target))
}

// Check implements Command.
func (c *SetWord) Check() error {
	return first(c.Subject.check(),
		failIf(c.Kind == Out && c.Value != 0, "out has no value"),
		failIf(c.Kind == Cap && (c.Value < 1 || c.Value > 1e6), "a cap is from 1 to 1,000,000"),
		failIf(c.Kind == Share && (c.Value < 1 || c.Value > 1000), "a share is from 1 to 1,000 thousandths: it is cut, never nothing"),
		named("by", c.By), failIf(len(c.Why) > MaxWhy, "why: at most %d bytes", MaxWhy),
		failIf(c.For < 0 || c.For > MaxWord, "for: from 0 (until it is cleared) to %v", MaxWord))
}

// Check implements Command.
func (c *ClearWord) Check() error { return first(c.Subject.check(), named("by", c.By)) }

// Check implements Command.
func (c *SetBound) Check() error {
	return first(named("bound", c.Name), failIf(c.Limit < 0 || c.Limit > MaxLimit, "limit: from 0 to %d", int64(MaxLimit)))
}

// Check implements Command.
func (c *Take) Check() error {
	return first(named("bound", c.Bound), named("holder", c.Holder), failIf(c.Parts < 1 || c.Parts > MaxLimit, "parts: from 1 to %d", int64(MaxLimit)),
		failIf(c.For < MinLease || c.For > MaxLease, "for: from %v to %v", MinLease, MaxLease))
}

// Check implements Command.
func (c *Release) Check() error {
	return first(named("bound", c.Bound), named("holder", c.Holder), failIf(c.Fence == 0, "fence: the number of the lease is wanted"))
}

// Check implements Command.
func (c *Book) Check() error {
	return first(named("bound", c.Bound), named("holder", c.Holder), failIf(c.Sequence == 0, "sequence: over 0"),
		failIf(c.Places < 1 || c.Places > MaxLimit, "places: from 1 to %d", int64(MaxLimit)),
		failIf(c.Within > MaxHorizon || c.After > c.Within, "after and within: at most %d s ahead, and after no later than within", MaxHorizon))
}

// Check implements Command.
func (c *Admit) Check() error { return first(named("name", c.Name), named("address", c.Address)) }

// Check implements Command.
func (c *Dismiss) Check() error { return named("name", c.Name) }

// Check implements Command.
func (c *Raise) Check() error { return failIf(c.To == 0, "level: over 0") }

// Check implements Command.
func (*Pass) Check() error { return nil }

// Check implements Command.
func (c *Enrol) Check() error {
	return first(named("name", c.Name), named("address", c.Address), failIf(c.ID == 0, "a member's id is over 0"))
}

// Check implements Command.
func (c *Strike) Check() error { return failIf(c.ID == 0, "a member's id is over 0") }
