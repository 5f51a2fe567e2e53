// Package state is the replicated state machine of the coordination cluster. It stores the grants to balancers and
// the members of the cluster. Grants are overrides of upstreams, zones and pools that operators have set, leases on
// units of shared resources, and reservations of slots in future seconds, at which rejected clients were told to
// return. Coordination servers and their clients apply the commands of the Raft log to their copies of the state.
//
// The package does no I/O, reads no clock and starts no goroutines. The state depends only on the applied commands,
// their revisions and clock values, so all copies that apply the same log are equal.
//
// Time is the cluster clock: milliseconds that the leader counts on its monotonic clock and writes into log entries.
// The cluster clock never runs ahead of real time by more than the drift of the leader's clock, and stops while there
// is no leader. Therefore no grant ends early.
package state

import (
	"fmt"
	"math"
	"time"
)

// State is one copy of the coordination cluster's state. It is not safe for concurrent use.
type State struct {
	clock             uint64 // cluster clock, in ms
	revision          uint64
	featureLevel      uint32 // commands above this level are rejected
	overrides         map[Subject]Override
	resources         map[string]*Resource   // by name
	reservations      map[string]reservation // by reservationKey
	admittedVoters    map[string]string      // name -> address of servers that may vote
	members           map[uint64]Member      // by id
	usedBytes         int64                  // estimate, see limits.go
	nextExpiry        uint64                 // no entry expires before this cluster clock, in ms
	overridesRevision uint64
}

const (
	// never is a cluster clock value that is never reached.
	never = math.MaxUint64

	millisPerSecond = 1000
)

// NewState returns an empty state.
func NewState() *State {
	return &State{
		featureLevel:   initialFeatureLevel,
		overrides:      map[Subject]Override{},
		resources:      map[string]*Resource{},
		reservations:   map[string]reservation{},
		admittedVoters: map[string]string{},
		members:        map[uint64]Member{},
		nextExpiry:     never,
	}
}

// Clock returns the cluster clock, in ms.
func (s *State) Clock() uint64 { return s.clock }

// Revision returns the revision of the last command, whether it was applied or rejected.
func (s *State) Revision() uint64 { return s.revision }

// FeatureLevel returns the cluster's feature level. Commands above it are rejected.
func (s *State) FeatureLevel() uint32 { return s.featureLevel }

// UsedBytes returns the estimated size of the state, in bytes. Members and admitted voters are not counted. Commands
// keep it at or below MaxBytes.
func (s *State) UsedBytes() int64 { return s.usedBytes }

// NextExpiry returns a cluster clock value, in ms, before which no entry expires. It is math.MaxUint64 if no entry
// expires.
func (s *State) NextExpiry() uint64 { return s.nextExpiry }

// Apply sets the revision, advances the cluster clock to clock, in ms, removes expired entries and applies a command.
// Commands must be applied in the order of their revisions. A rejected command still advances the clock and the
// revision and removes expired entries, but changes nothing else. Apply returns an error if the cluster's feature
// level is above NewestFeatureLevel; a coordination server must stop then.
func (s *State) Apply(revision, clock uint64, command Command) (Result, error) {
	s.clock = max(s.clock, clock)
	s.revision = revision
	s.expire()
	result := s.checkAndApply(command)
	result.Revision = s.revision
	result.Clock = s.clock
	if s.featureLevel > NewestFeatureLevel {
		const format = "the state is at feature level %d, but this version knows %d: a newer version is required"
		return result, fmt.Errorf(format, s.featureLevel, NewestFeatureLevel)
	}
	return result, nil
}

func (s *State) checkAndApply(command Command) Result {
	if err := command.Check(); err != nil {
		return reject(RejectedInvalid, "%v", err)
	}
	if command.level() > s.featureLevel {
		const format = "this kind of promise wants level %d, and the ledger is at %d: not all voters are of that version yet"
		return reject(RejectedFeatureLevel, format, command.level(), s.featureLevel)
	}
	return command.apply(s)
}

// expire removes expired entries and recalculates nextExpiry.
func (s *State) expire() {
	if s.clock < s.nextExpiry {
		return
	}
	s.nextExpiry = never
	s.expireOverrides()
	for _, resource := range s.resources {
		s.expireLeases(resource)
		s.expireSlots(resource)
	}
	s.expireReservations()
}

func (s *State) expireOverrides() {
	for subject, override := range s.overrides {
		switch {
		case override.Until == 0: // no end: kept until cleared
		case s.hasExpired(override.Until):
			s.removeOverride(subject)
		default:
			s.scheduleExpiry(override.Until)
		}
	}
}

func (s *State) expireLeases(resource *Resource) {
	for holder, lease := range resource.leases {
		if s.hasExpired(lease.Until) {
			s.removeLease(resource, holder)
		} else {
			s.scheduleExpiry(lease.Until)
		}
	}
}

func (s *State) expireSlots(resource *Resource) {
	for second := range resource.reserved {
		end := endOfSecond(second)
		if s.hasExpired(end) {
			delete(resource.reserved, second)
			s.usedBytes -= slotOverhead
		} else {
			s.scheduleExpiry(end)
		}
	}
}

func (s *State) expireReservations() {
	for key, reservation := range s.reservations {
		if s.hasExpired(reservation.until) {
			s.usedBytes -= reservation.size()
			delete(s.reservations, key)
		} else {
			s.scheduleExpiry(reservation.until)
		}
	}
}

// hasExpired reports whether an entry whose end is until, in ms of the cluster clock, has expired.
func (s *State) hasExpired(until uint64) bool { return until <= s.clock }

// scheduleExpiry makes expire check all entries no later than when the cluster clock reaches at, in ms.
func (s *State) scheduleExpiry(at uint64) { s.nextExpiry = min(s.nextExpiry, at) }

// expiryAfter returns the cluster clock, in ms, at which a grant that starts now and lasts for duration ends. It rounds
// up to a full millisecond.
func (s *State) expiryAfter(duration time.Duration) uint64 {
	return s.clock + uint64((duration+time.Millisecond-1)/time.Millisecond)
}

// endOfSecond returns the cluster clock, in ms, at which a second of that clock ends. It caps the result so that very
// large seconds, which a malformed snapshot may hold, do not overflow.
func endOfSecond(second uint64) uint64 {
	const last = never/millisPerSecond - 1
	return (min(second, last) + 1) * millisPerSecond
}
