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

// OverrideKind is the property that an override sets. The numbers are stored and sent, and never change.
type OverrideKind uint8

// Kinds of overrides.
const (
	OutOfService   OverrideKind = 1 + iota // the target gets no new requests
	ConcurrencyCap                         // limit on the attempts in flight from one balancer to the target
	TrafficShare                           // thousandths of the usual share of traffic, from 1 to 1,000
)

// Scope says whether an override applies to an upstream, a zone or a pool. The numbers are stored and sent, and never
// change.
type Scope uint8

// Scopes of overrides. Concurrency caps and traffic shares apply to upstreams only.
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

// ParseKind parses the name of a kind: out, cap or share.
func ParseKind(text string) (OverrideKind, error) {
	for kind, name := range kindNames {
		if name == text {
			return kind, nil
		}
	}
	return 0, fmt.Errorf("%q is none of out, cap and share", text)
}

// Subject identifies an override: its kind and its target. A subject has at most one override.
type Subject struct {
	Kind   OverrideKind
	Scope  Scope
	Target string // the upstream's id in the endpoint list, or the name of the zone or pool
}

// ParseTarget parses a target in the form SCOPE/NAME, for example zone/a. A text without a slash is an upstream's id.
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

// Override is a value that operators have set for a subject.
type Override struct {
	Subject
	Value      int64  // of a concurrency cap (attempts in flight) or a traffic share (thousandths), else 0
	By, Reason string // who set the override, and why; for display only
	At         int64  // Unix time in ms at which it was set, by the proposer's clock; for display only
	Until      uint64 // end, in ms of the cluster clock; 0: until cleared
	Revision   uint64 // of the command that set the override
}

func (o *Override) size() int64 { return entryOverhead + textSize(o.Target, o.By, o.Reason) }

// Overrides returns all overrides, sorted by scope, target and kind.
func (s *State) Overrides() []Override {
	return slices.SortedFunc(maps.Values(s.overrides), func(a, b Override) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Kind, b.Kind))
	})
}

// Override returns the override of a subject, and whether it has one.
func (s *State) Override(subject Subject) (Override, bool) {
	override, ok := s.overrides[subject]
	return override, ok
}

// OverridesRevision returns a counter that increases with each change to the overrides. The counter is local to this
// copy of the state and not part of snapshots, so copies differ in it.
func (s *State) OverridesRevision() uint64 { return s.overridesRevision }

func (s *State) removeOverride(subject Subject) {
	if override, ok := s.overrides[subject]; ok {
		s.usedBytes -= override.size()
		s.overridesRevision++
		delete(s.overrides, subject)
	}
}

// SetOverride sets the override of a subject, and replaces an earlier override of the subject.
type SetOverride struct {
	Subject
	Value      int64         // see Override
	By, Reason string        // see Override
	At         int64         // see Override
	Duration   time.Duration // 0: until cleared
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
		override.Until = state.expiryAfter(c.Duration)
	}
	growth := override.size()
	if previous, exists := state.overrides[c.Subject]; exists {
		growth -= previous.size()
	}
	if state.exceedsMaxBytes(growth) {
		return state.rejectStateFull()
	}
	state.overrides[c.Subject] = override
	state.usedBytes += growth
	state.overridesRevision++
	if override.Until != 0 {
		state.scheduleExpiry(override.Until)
	}
	return Result{}
}

// ClearOverride removes the override of a subject. It is not rejected if there is none, so retries are safe.
type ClearOverride struct {
	Subject
	By string // who cleared the override
}

// Check implements Command.
func (c *ClearOverride) Check() error { return cmp.Or(c.checkSubject(), checkName("by", c.By)) }

func (c *ClearOverride) apply(state *State) Result {
	state.removeOverride(c.Subject)
	return Result{}
}
