package state

import (
	"errors"
	"fmt"
)

// Rejection is the reason why a command was rejected. The numbers are sent to clients and never change.
type Rejection uint8

// The reasons.
const (
	NotRejected          Rejection = iota
	RejectedInvalid                // the command itself is wrong
	RejectedNotFound               // the command names something that does not exist
	RejectedNoCapacity             // too little of the resource is free
	RejectedFenced                 // another incarnation of the holder has, or had, the lease or the reservation
	RejectedStateFull              // the state stores as much as it may: MaxBytes
	RejectedFeatureLevel           // not all voters know this kind of command yet
)

// The errors that a RejectionError matches by errors.Is, one for each reason.
var (
	ErrInvalid      = errors.New("the command is invalid")
	ErrNotFound     = errors.New("not found")
	ErrNoCapacity   = errors.New("too little capacity is free")
	ErrFenced       = errors.New("fenced by another lease or reservation of the holder")
	ErrStateFull    = errors.New("the state is full")
	ErrFeatureLevel = errors.New("not all voters know this kind of command")
)

// sentinel returns the error that stands for a reason; nil for NotRejected and for a reason of a newer version.
func (r Rejection) sentinel() error {
	switch r {
	case RejectedInvalid:
		return ErrInvalid
	case RejectedNotFound:
		return ErrNotFound
	case RejectedNoCapacity:
		return ErrNoCapacity
	case RejectedFenced:
		return ErrFenced
	case RejectedStateFull:
		return ErrStateFull
	case RejectedFeatureLevel:
		return ErrFeatureLevel
	}
	return nil
}

// RejectionError says that a command was rejected: it is certain that it changed nothing. By errors.Is it matches the
// error of its reason, such as ErrNoCapacity.
type RejectionError struct {
	Rejection Rejection
	Message   string // for people
}

func (e *RejectionError) Error() string { return "refused: " + e.Message }

// Unwrap returns the error of the reason.
func (e *RejectionError) Unwrap() error { return e.Rejection.sentinel() }

// Result is the answer to a command.
type Result struct {
	Rejection    Rejection      // NotRejected: the command was applied
	Message      string         // for people, if it was rejected
	Revision     uint64         // of the state with the command applied
	Clock        uint64         // the cluster's clock, in ms
	FencingToken uint64         // of the lease that was granted
	Free         int64          // units of the resource that are not leased
	Reserved     []ReservedSlot // slots that were reserved
}

// OK reports whether the command was applied.
func (r Result) OK() bool { return r.Rejection == NotRejected }

// Err returns a *RejectionError if the command was rejected, else nil.
func (r Result) Err() error {
	if r.OK() {
		return nil
	}
	return &RejectionError{Rejection: r.Rejection, Message: r.Message}
}

// reject returns the result of a command that was rejected, with a message for people. Callers and operators see the
// messages, so their words stay as they are: a bound is a resource, a part a unit, a place a slot, a fence a fencing
// token, a word an override, a promise a grant, the ledger the coordination cluster.
func reject(reason Rejection, format string, values ...any) Result {
	return Result{Rejection: reason, Message: fmt.Sprintf(format, values...)}
}
