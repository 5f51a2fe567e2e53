package client

import (
	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// Update is what a server sends to a follower: a whole state, the commands of one log entry, or a heartbeat.
type Update struct {
	State           []byte   // an encoded state that replaces the follower's; nil: none
	Commands        [][]byte // encoded state.Envelopes, all of the same index
	Index           uint64   // the last log index that the server has applied
	Heartbeat       bool     // Leader is set; Voters and ReachableVoters too, unless there is a State
	Ping            uint64   // a ping's number; Index covers all that was committed before it was sent; 0: unknown
	Leader          string
	Cluster         uint64
	Voters          uint32
	ReachableVoters uint32 // number of voters that the leader reaches; 0: unknown to the server
}

// Field numbers of an Update.
const (
	updateState           protomsg.Number = 1
	updateCommand         protomsg.Number = 2
	updateIndex           protomsg.Number = 3
	updateHeartbeat       protomsg.Number = 4
	updatePing            protomsg.Number = 5
	updateLeader          protomsg.Number = 6
	updateCluster         protomsg.Number = 7
	updateVoters          protomsg.Number = 8
	updateReachableVoters protomsg.Number = 9
)

// Encode returns the message's bytes, without a frame.
func (u *Update) Encode() []byte {
	var w protomsg.Writer
	w.Raw(updateState, u.State)
	for _, command := range u.Commands {
		w.Raw(updateCommand, command)
	}
	w.Uint(updateIndex, u.Index)
	w.Bool(updateHeartbeat, u.Heartbeat)
	w.Uint(updatePing, u.Ping)
	w.String(updateLeader, u.Leader)
	w.Uint(updateCluster, u.Cluster)
	w.Uint(updateVoters, uint64(u.Voters))
	w.Uint(updateReachableVoters, uint64(u.ReachableVoters))
	return w.Bytes()
}

// DecodeUpdate reads an Update. The error wraps protomsg.ErrMalformed.
func DecodeUpdate(encoded []byte) (update Update, err error) {
	err = protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case updateState:
			update.State = field.Raw
		case updateCommand:
			update.Commands = append(update.Commands, field.Raw)
		case updateIndex:
			update.Index = field.Uint
		case updateHeartbeat:
			update.Heartbeat = field.Bool()
		case updatePing:
			update.Ping = field.Uint
		case updateLeader:
			return field.Text(&update.Leader, state.MaxName)
		case updateCluster:
			update.Cluster = field.Uint
		case updateVoters:
			update.Voters = uint32(min(field.Uint, maxMembers))
		case updateReachableVoters:
			update.ReachableVoters = uint32(min(field.Uint, maxMembers))
		}
		return nil
	})
	return update, err
}

// pingNumber is the field number of a ping's only field.
const pingNumber protomsg.Number = 1

// EncodePing returns the bytes of a follower's ping, without a frame. Pings are numbered from 1.
func EncodePing(number uint64) []byte {
	var w protomsg.Writer
	w.Uint(pingNumber, number)
	return w.Bytes()
}

// DecodePing returns a ping's number. The error wraps protomsg.ErrMalformed.
func DecodePing(encoded []byte) (number uint64, err error) {
	err = protomsg.EachField(encoded, func(field protomsg.Field) error {
		if field.Number == pingNumber {
			number = field.Uint
		}
		return nil
	})
	return number, err
}
