package state

import "fmt"

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

// Err returns an error with the message if the command was rejected, else nil.
func (r Result) Err() error {
	if r.OK() {
		return nil
	}
	return fmt.Errorf("refused: %s", r.Message)
}

// reject returns the result of a command that was rejected, with a message for people.
func reject(reason Rejection, format string, values ...any) Result {
	return Result{Rejection: reason, Message: fmt.Sprintf(format, values...)}
}
