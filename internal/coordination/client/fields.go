package client

import (
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// Bounds of values that are read from a message.
const (
	maxText    = 4 << 10 // bytes of a message or reason
	maxMembers = 64      // members in a list, and values that count members
	maxEnum    = 255     // enumerations and other values of eight bits
	maxLevel   = 1 << 31 // feature levels
)

// writeMembers writes each member as a field with the given number.
func writeMembers(w *protomsg.Writer, number protomsg.Number, members []state.Member) {
	for _, member := range members {
		w.Message(number, member.EncodeFields)
	}
}

// readMember reads one member and appends it to members. The error wraps protomsg.ErrMalformed.
func readMember(field protomsg.Field, members *[]state.Member) error {
	if len(*members) == maxMembers {
		return fmt.Errorf("%w: more than %d members", protomsg.ErrMalformed, maxMembers)
	}
	var member state.Member
	err := protomsg.EachField(field.Raw, member.DecodeField)
	*members = append(*members, member)
	return err
}

// microseconds converts a number of microseconds to a duration of at most limit.
func microseconds(count uint64, limit time.Duration) time.Duration {
	return time.Duration(min(count, uint64(limit/time.Microsecond))) * time.Microsecond
}
