package state

import (
	"errors"
	"fmt"
)

// Rejection is the reason for which a command was rejected. The numbers are sent to clients and never change.
type Rejection uint8

// Reasons for a rejection.
const (
	NotRejected          Rejection = iota
	RejectedInvalid                // the command is invalid, or conflicts with an existing resource or voter
	RejectedNotFound               // the command names a resource or a voter that does not exist
	RejectedNoCapacity             // too little of the resource is free, or a resource to remove is in use
	RejectedFenced                 // the fencing token or the sequence number is not the holder's current one
	RejectedStateFull              // the state would exceed MaxBytes
	RejectedFeatureLevel           // the kind of command is above the cluster's feature level
)

// Errors that a RejectionError matches by errors.Is, one for each reason.
var (
	ErrInvalid      = errors.New("the command is invalid")
	ErrNotFound     = errors.New("not found")
	ErrNoCapacity   = errors.New("too little capacity is free")
	ErrFenced       = errors.New("fenced by another lease or reservation of the holder")
	ErrStateFull    = errors.New("the state is full")
	ErrFeatureLevel = errors.New("not all voters know this kind of command")
)

// sentinel returns the error of a reason. It is nil for NotRejected and for a reason that this version does not know.
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

// RejectionError reports that a command was rejected and certainly changed no entry. It matches the error of its
// reason by errors.Is, for example ErrNoCapacity.
type RejectionError struct {
	Rejection Rejection
	Message   string // human-readable
}

func (e *RejectionError) Error() string { return "refused: " + e.Message }

// Unwrap returns the error of the reason.
func (e *RejectionError) Unwrap() error { return e.Rejection.sentinel() }

// Result is the answer to a command.
type Result struct {
	Rejection    Rejection      // NotRejected: the command was applied
	Message      string         // human-readable reason of a rejection
	Revision     uint64         // of the state after the command
	Clock        uint64         // cluster clock, in ms
	FencingToken uint64         // of the lease that AcquireLease granted or renewed
	Free         int64          // units that are not leased, for commands about leases
	Reserved     []ReservedSlot // slots that Reserve granted
}

// OK reports whether the command was not rejected.
func (r Result) OK() bool { return r.Rejection == NotRejected }

// Err returns a *RejectionError if the command was rejected, else nil.
func (r Result) Err() error {
	if r.OK() {
		return nil
	}
	return &RejectionError{Rejection: r.Rejection, Message: r.Message}
}

// reject returns the result of a rejected command, with a human-readable message. Messages are sent to clients and
// shown to operators, so they keep their terms: bound (resource), part (unit), place (slot), fence (fencing token),
// word (override), promise (grant) and ledger (the coordination cluster and its state).
func reject(reason Rejection, format string, values ...any) Result {
	return Result{Rejection: reason, Message: fmt.Sprintf(format, values...)}
}
