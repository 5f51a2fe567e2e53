package state

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// OverrideKind is what an override changes. The numbers are stored and sent, and never change.
type OverrideKind uint8

// The kinds.
const (
	OutOfService   OverrideKind = 1 + iota // no new requests are sent there
	ConcurrencyCap                         // limits the attempts that one balancer may have in flight there
	TrafficShare                           // thousandths of the usual share, from 1 to 1,000
)

// Scope is the kind of thing that an override applies to. The numbers are stored and sent, and never change.
type Scope uint8

// The scopes. Concurrency caps and traffic shares apply to upstreams only.
const (
	ScopeUpstream Scope = 1 + iota
	ScopeZone
	ScopePool
)

var (
	kindNames  = map[OverrideKind]string{OutOfService: "out", ConcurrencyCap: "cap", TrafficShare: "share"}
	scopeNames = map[Scope]string{ScopeUpstream: "upstream", ScopeZone: "zone", ScopePool: "pool"}
)

func (k OverrideKind) String() string { return kindNames[k] }
func (s Scope) String() string        { return scopeNames[s] }

// ParseKind reads the name of a kind: out, cap or share.
func ParseKind(text string) (OverrideKind, error) {
	for kind, name := range kindNames {
		if name == text {
			return kind, nil
		}
	}
	return 0, fmt.Errorf("%q is none of out, cap and share", text)
}

// Subject is what an override applies to and what it changes there. A subject has at most one override at a time.
type Subject struct {
	Kind   OverrideKind
	Scope  Scope
	Target string // the upstream's id in the endpoint list, or the name of the zone or pool
}

// ParseTarget reads a scope and a name, as in zone/a. A name alone is an upstream's id.
func ParseTarget(text string) (Scope, string, error) {
	prefix, name, hasScope := strings.Cut(text, "/")
	if !hasScope {
		return ScopeUpstream, text, nil
	}
	for scope, scopeName := range scopeNames {
		if scopeName == prefix && name != "" {
			return scope, name, nil
		}
	}
	return 0, "", fmt.Errorf("%q is no target: an upstream's id, upstream/ID, zone/NAME or pool/NAME", text)
}

func (s Subject) String() string { return fmt.Sprintf("%s %s/%s", s.Kind, s.Scope, s.Target) }

func (s Subject) checkSubject() error {
	switch {
	case kindNames[s.Kind] == "":
		return fmt.Errorf("there is no kind of word %d", s.Kind)
	case scopeNames[s.Scope] == "":
		return fmt.Errorf("there is no scope %d", s.Scope)
	case s.Kind != OutOfService && s.Scope != ScopeUpstream:
		return fmt.Errorf("a %s is of an upstream, not of a %s", s.Kind, s.Scope)
	}
	return checkName("target", s.Target)
}

// Override is what operators have set by hand for a subject.
type Override struct {
	Subject
	Value      int64  // of concurrency caps (attempts in flight) and traffic shares (thousandths)
	By, Reason string // for people: who set it, and why
	At         int64  // Unix time in ms by the clock of the process that proposed it; for people, no decision uses it
	Until      uint64 // end in ms of the cluster's clock; 0: it lasts until it is cleared
	Revision   uint64 // of the state when it was set
}

func (o *Override) size() int64 { return entryOverhead + textSize(o.Target, o.By, o.Reason) }

// Overrides returns all overrides, by scope, target and kind.
func (s *State) Overrides() []Override {
	return slices.SortedFunc(maps.Values(s.overrides), func(a, b Override) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Kind, b.Kind))
	})
}

// Override returns the override of a subject, if it has one.
func (s *State) Override(of Subject) (Override, bool) {
	override, ok := s.overrides[of]
	return override, ok
}

// OverridesRevision grows whenever the overrides change. It counts changes of this copy of the state: copies differ
// in it.
func (s *State) OverridesRevision() uint64 { return s.overridesRevision }

func (s *State) removeOverride(of Subject) {
	if override, ok := s.overrides[of]; ok {
		s.usedBytes -= override.size()
		s.overridesRevision++
		delete(s.overrides, of)
	}
}

// SetOverride sets the override of a subject and replaces the one that it has.
type SetOverride struct {
	Subject
	Value      int64         // see Override
	By, Reason string        // see Override
	At         int64         // see Override
	Duration   time.Duration // 0: until it is cleared
}

// Check implements Command.
func (c *SetOverride) Check() error {
	return cmp.Or(
		c.checkSubject(),
		c.checkValue(),
		checkName("by", c.By),
		c.checkReason(),
		c.checkDuration(),
	)
}

func (c *SetOverride) checkValue() error {
	switch {
	case c.Kind == OutOfService && c.Value != 0:
		return errors.New("out has no value")
	case c.Kind == ConcurrencyCap && (c.Value < 1 || c.Value > maxConcurrencyCap):
		return errors.New("a cap is from 1 to 1,000,000")
	case c.Kind == TrafficShare && (c.Value < 1 || c.Value > maxTrafficShare):
		return errors.New("a share is from 1 to 1,000 thousandths: it is cut, never nothing")
	}
	return nil
}

func (c *SetOverride) checkReason() error {
	if len(c.Reason) > MaxReason {
		return fmt.Errorf("why: at most %d bytes", MaxReason)
	}
	return nil
}

func (c *SetOverride) checkDuration() error {
	if c.Duration < 0 || c.Duration > MaxOverrideDuration {
		return fmt.Errorf("for: from 0 (until it is cleared) to %v", MaxOverrideDuration)
	}
	return nil
}

func (c *SetOverride) apply(state *State) Result {
	override := Override{
		Subject:  c.Subject,
		Value:    c.Value,
		By:       c.By,
		Reason:   c.Reason,
		At:       c.At,
		Revision: state.revision,
	}
	if c.Duration > 0 {
		override.Until = state.deadline(c.Duration)
	}
	growth := override.size()
	if previous, exists := state.overrides[c.Subject]; exists {
		growth -= previous.size()
	}
	if state.exceedsCapacity(growth) {
		return state.rejectFull()
	}
	state.overrides[c.Subject] = override
	state.usedBytes += growth
	state.overridesRevision++
	if override.Until != 0 {
		state.scheduleExpiry(override.Until)
	}
	return Result{}
}

// ClearOverride removes the override of a subject. It is applied also if there is none, so it may be sent twice.
type ClearOverride struct {
	Subject
	By string // for people: who cleared it
}

// Check implements Command.
func (c *ClearOverride) Check() error { return cmp.Or(c.checkSubject(), checkName("by", c.By)) }

func (c *ClearOverride) apply(state *State) Result {
	state.removeOverride(c.Subject)
	return Result{}
}
