// Package state is the replicated state machine of the coordination cluster. It decides which grants balancers get:
// overrides of upstreams, zones and pools that operators have set, leases on parts of shared resources, and
// reservations of slots in seconds to come, at which rejected clients were told to return. It also stores who the
// cluster's members are.
//
// The package has no I/O, clock or goroutine. A State is a function of the commands that were applied to it, in
// order, so all copies agree.
//
// Time is the cluster's clock: milliseconds that leaders count on their monotonic clocks and write into the commands.
// It never runs ahead of real time, except for the drift of one clock, and stands still while there is no leader. So
// no grant ends early.
package state

import (
	"fmt"
	"math"
	"time"
)

// State is a copy of the coordination cluster's state. It is not safe for concurrent use.
type State struct {
	clock             uint64 // of the cluster, in ms
	revision          uint64
	featureLevel      uint32 // commands up to this level may be applied
	overrides         map[Subject]Override
	resources         map[string]*Resource   // by name
	reservations      map[string]reservation // by reservationKey
	admittedVoters    map[string]string      // name -> address of the servers that may vote
	members           map[uint64]Member      // by id
	usedBytes         int64                  // estimated
	nextExpiry        uint64                 // no entry ends before it, in ms of the clock
	overridesRevision uint64
}

const (
	// never is a moment of the cluster's clock that does not come.
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

// Clock returns the cluster's clock, in ms.
func (s *State) Clock() uint64 { return s.clock }

// Revision returns the number of the last command that was applied.
func (s *State) Revision() uint64 { return s.revision }

// FeatureLevel returns the highest level of commands that may be applied.
func (s *State) FeatureLevel() uint32 { return s.featureLevel }

// UsedBytes returns the size of the state by a fixed estimate, in bytes. It is at most MaxBytes.
func (s *State) UsedBytes() int64 { return s.usedBytes }

// NextExpiry returns a moment of the cluster's clock, in ms, before which no entry ends; math.MaxUint64: none will
// end.
func (s *State) NextExpiry() uint64 { return s.nextExpiry }

// Apply applies a command under its revision, at a moment of the cluster's clock in ms. Commands have to be applied
// in the order of their revisions. A rejected command changes the clock and the revision, and so what ends by the
// clock, but nothing else. The error says that this version must not go on: the cluster's feature level is above
// NewestFeatureLevel.
func (s *State) Apply(revision, clock uint64, command Command) (Result, error) {
	s.clock = max(s.clock, clock)
	s.revision = revision
	s.expire()
	result := s.checkAndApply(command)
	result.Revision = s.revision
	result.Clock = s.clock
	if s.featureLevel > NewestFeatureLevel {
		const format = "the ledger is at level %d, and this version knows %d: a newer one is wanted"
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

// expire removes the entries that have ended and determines nextExpiry anew.
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
		case override.Until == 0: // it lasts until it is cleared
		case s.hasEnded(override.Until):
			s.removeOverride(subject)
		default:
			s.scheduleExpiry(override.Until)
		}
	}
}

func (s *State) expireLeases(resource *Resource) {
	for holder, lease := range resource.leases {
		if s.hasEnded(lease.Until) {
			s.removeLease(resource, holder)
		} else {
			s.scheduleExpiry(lease.Until)
		}
	}
}

func (s *State) expireSlots(resource *Resource) {
	for second := range resource.reserved {
		end := endOfSecond(second)
		if s.hasEnded(end) {
			delete(resource.reserved, second)
			s.usedBytes -= slotOverhead
		} else {
			s.scheduleExpiry(end)
		}
	}
}

func (s *State) expireReservations() {
	for key, reservation := range s.reservations {
		if s.hasEnded(reservation.until) {
			s.usedBytes -= reservation.size()
			delete(s.reservations, key)
		} else {
			s.scheduleExpiry(reservation.until)
		}
	}
}

// hasEnded reports whether a moment of the cluster's clock, in ms, has come.
func (s *State) hasEnded(until uint64) bool { return until <= s.clock }

// scheduleExpiry makes expire look at all entries when the clock reaches a moment, in ms, or earlier.
func (s *State) scheduleExpiry(at uint64) { s.nextExpiry = min(s.nextExpiry, at) }

// deadline returns the moment of the cluster's clock, in ms, that is a duration from now. A part of a millisecond
// counts as a full one.
func (s *State) deadline(duration time.Duration) uint64 {
	return s.clock + uint64((duration+time.Millisecond-1)/time.Millisecond)
}

// endOfSecond returns when a second of the cluster's clock is over, in ms. Far beyond any real clock it is limited
// so that it does not overflow.
func endOfSecond(second uint64) uint64 {
	const last = never/millisPerSecond - 1
	return (min(second, last) + 1) * millisPerSecond
}
