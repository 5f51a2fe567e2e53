// Package promise is what balancers hold for each other: staff's word on upstreams, zones and pools, leases on parts of shared
// bounds, and places in time at which refused clients were told to come back. It decides what is granted. It has no I/O, clock or
// goroutine: a State is a function of the commands that were applied to it, in order, so every copy comes to the same.
//
// Time is the ledger's own: milliseconds that leaders have counted on their monotonic clocks and written into the commands. It never
// runs ahead of real time (but for the drift of one clock) and stands still while there is no leader. So nothing ends early.
package state

import (
	"fmt"
	"strings"
	"time"
)

// OverrideKind of a word of staff's.
type OverrideKind uint8

// The kinds.
const (
	OutOfService   OverrideKind = 1 + iota // nothing new goes there
	ConcurrencyCap                         // attempts out at once that one balancer may have there
	TrafficShare                           // thousandths of its usual share, over 0 and at most 1,000
)

// Scope is what a word is about.
type Scope uint8

// The scopes. Caps and shares are of upstreams alone.
const (
	ScopeUpstream Scope = 1 + iota
	ScopeZone
	ScopePool
)

var (
	kinds  = map[OverrideKind]string{OutOfService: "out", ConcurrencyCap: "cap", TrafficShare: "share"}
	scopes = map[Scope]string{ScopeUpstream: "upstream", ScopeZone: "zone", ScopePool: "pool"}
)

func (k OverrideKind) String() string { return kinds[k] }
func (s Scope) String() string        { return scopes[s] }

// ParseKind reads out, cap or share.
func ParseKind(text string) (OverrideKind, error) {
	for k, name := range kinds {
		if name == text {
			return k, nil
		}
	}
	return 0, fmt.Errorf("%q is none of out, cap and share", text)
}

// Subject is what a word says something about, and what it says there. One word holds of a subject at a time.
type Subject struct {
	Kind   OverrideKind
	Scope  Scope
	Target string // the upstream's id in the node list, the zone's or the pool's name
}

// ParseTarget reads a scope and a name, as in zone/a; a name alone is an upstream's.
func ParseTarget(text string) (Scope, string, error) {
	before, name, scoped := strings.Cut(text, "/")
	if !scoped {
		return ScopeUpstream, text, nil
	}
	for s, word := range scopes {
		if word == before && name != "" {
			return s, name, nil
		}
	}
	return 0, "", fmt.Errorf("%q is no target: an upstream's id, upstream/ID, zone/NAME or pool/NAME", text)
}

func (s Subject) String() string { return fmt.Sprintf("%s %s/%s", s.Kind, s.Scope, s.Target) }

// Override is what staff have said.
type Override struct {
	Subject
	Value      int64  // of caps and shares
	By, Reason string // for people
	At         int64  // Unix time in ms by the clock of whoever passed it on: for people alone, nothing goes by it
	Until      uint64 // ms of the ledger's clock; 0: until it is cleared
	Revision   uint64 // at which it was given
}

// Lease is a holder's part of a bound.
type Lease struct {
	Holder       string
	Units        int64
	Until        uint64 // ms of the ledger's clock; the holder's own end, by its own clock, comes before it
	FencingToken uint64 // a number that only grows from lease to lease: whoever acts under a lower one is late
}

// Resource is something of which balancers may use so much together: as leases at a time, or as places in each second.
type Resource struct {
	Name     string
	Slots    bool  // places in each second; else leases
	Limit    int64 // over all
	leases   map[string]Lease
	reserved map[uint64]int64 // second of the ledger's clock -> places
}

// ReservedSlot is a number of places in a second of the ledger's clock.
type ReservedSlot struct {
	Second uint64
	Places int64
}

// Member is a life of a voter's disk. A disk that is lost and comes back empty is another member, under the same name.
type Member struct {
	ID      uint64
	Name    string
	Address string
	Learner bool // it is being brought up to date and has no vote yet
}

// Limits of what is held. A promise that does not fit is refused, never an older one dropped.
const (
	MaxName               = 128     // bytes of names, ids and addresses
	MaxReason             = 512     // bytes of what is for people
	MaxBytes              = 4 << 20 // of all that is held, by a fixed estimate
	MinLeaseDuration      = 500 * time.Millisecond
	MaxLeaseDuration      = time.Hour
	MaxOverrideDuration   = 10 * 365 * 24 * time.Hour
	MaxReservationHorizon = 600     // s ahead that places may be booked
	MaxResourceLimit      = 1 << 40 // of a bound
)

// Rejection says why a promise was not given.
type Rejection uint8

// The reasons.
const (
	NotRejected          Rejection = iota
	RejectedInvalid                // the command itself is wrong
	RejectedNotFound               // it names nothing that is there
	RejectedNoCapacity             // the bound has no room left
	RejectedFenced                 // another life of the holder has, or had, the lease
	RejectedStateFull              // the ledger holds as much as it may
	RejectedFeatureLevel           // not all voters know this kind of command yet
)

// Result is the answer to a command.
type Result struct {
	Rejection    Rejection // None: it is promised
	Message      string    // for people, where it is not
	Revision     uint64    // of the ledger with the command applied
	Clock        uint64    // ms of the ledger's clock
	FencingToken uint64    // of a lease
	Free         int64     // parts of a bound that are left
	Reserved     []ReservedSlot
}

// OK tells whether the promise is given.
func (r Result) OK() bool { return r.Rejection == NotRejected }

// Err is nil if the promise is given.
func (r Result) Err() error {
	if r.OK() {
		return nil
	}
	return fmt.Errorf("refused: %s", r.Message)
}
