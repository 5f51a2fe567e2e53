package client

import (
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// Bounds of what is read from a message.
const (
	maxText    = 4 << 10 // bytes of a text for people
	maxMembers = 64      // members of a cluster, and numbers of them
	maxEnum    = 255     // enumerations and other numbers of eight bits
	maxLevel   = 1 << 31 // feature levels
)

// writeMembers adds each member as a field of that number.
func writeMembers(w *protomsg.Writer, number protomsg.Number, members []state.Member) {
	for _, member := range members {
		w.Message(number, member.Write)
	}
}

// readMember reads one member and appends it.
func readMember(field protomsg.Field, members *[]state.Member) error {
	if len(*members) == maxMembers {
		return fmt.Errorf("%w: more than %d members", protomsg.ErrMalformed, maxMembers)
	}
	var member state.Member
	err := protomsg.EachField(field.Raw, member.Read)
	*members = append(*members, member)
	return err
}

// microseconds turns a number of microseconds into a duration of at most limit.
func microseconds(count uint64, limit time.Duration) time.Duration {
	return time.Duration(min(count, uint64(limit/time.Microsecond))) * time.Microsecond
}
