package client

import (
	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// Role is the purpose of a connection. The process that opens the connection states it in the Hello.
type Role uint8

// The roles.
const (
	RoleClient   Role = 1 + iota // requests to the server, and its responses
	RoleFollower                 // the state, and then its changes, from the server
	RolePeer                     // Raft messages from the server to another server, which opens the connection
)

// Hello is the first message on a connection, from the process that opens it.
type Hello struct {
	Role    Role
	Cluster uint64 // the cluster's ID; 0: the sender belongs to none yet, or accepts any
	From    uint64 // the sender's Raft ID; 0: it is no server
	Name    string // the sender's name
	Level   uint32 // state.NewestFeatureLevel of the sender's version
	Applied uint64 // RoleFollower: the last log index that the sender has applied
}

// Field numbers of a Hello.
const (
	helloRole    protomsg.Number = 1
	helloCluster protomsg.Number = 2
	helloFrom    protomsg.Number = 3
	helloName    protomsg.Number = 4
	helloLevel   protomsg.Number = 5
	helloApplied protomsg.Number = 6
)

// Encode returns the message's bytes, without a frame.
func (h *Hello) Encode() []byte {
	var w protomsg.Writer
	w.Uint(helloRole, uint64(h.Role))
	w.Uint(helloCluster, h.Cluster)
	w.Uint(helloFrom, h.From)
	w.String(helloName, h.Name)
	w.Uint(helloLevel, uint64(h.Level))
	w.Uint(helloApplied, h.Applied)
	return w.Bytes()
}

// DecodeHello reads a Hello. The error wraps protomsg.ErrMalformed.
func DecodeHello(encoded []byte) (hello Hello, err error) {
	err = protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case helloRole:
			hello.Role = Role(min(field.Uint, maxEnum))
		case helloCluster:
			hello.Cluster = field.Uint
		case helloFrom:
			hello.From = field.Uint
		case helloName:
			return field.Text(&hello.Name, state.MaxName)
		case helloLevel:
			hello.Level = uint32(min(field.Uint, maxLevel))
		case helloApplied:
			hello.Applied = field.Uint
		}
		return nil
	})
	return hello, err
}

// Welcome is the server's answer to a Hello.
type Welcome struct {
	Cluster      uint64
	ID           uint64 // the server's Raft ID; 0: it belongs to no cluster yet
	Name         string
	Level        uint32 // state.NewestFeatureLevel of the server's version
	RejectReason string // why the server rejects the connection; empty: it accepts it
	Tick         uint64 // see Response.Tick
}

// Field numbers of a Welcome. Number 1 is not used.
const (
	welcomeCluster      protomsg.Number = 2
	welcomeID           protomsg.Number = 3
	welcomeName         protomsg.Number = 4
	welcomeLevel        protomsg.Number = 5
	welcomeRejectReason protomsg.Number = 6
	welcomeTick         protomsg.Number = 7
)

// Encode returns the message's bytes, without a frame.
func (h *Welcome) Encode() []byte {
	var w protomsg.Writer
	w.Uint(welcomeCluster, h.Cluster)
	w.Uint(welcomeID, h.ID)
	w.String(welcomeName, h.Name)
	w.Uint(welcomeLevel, uint64(h.Level))
	w.String(welcomeRejectReason, h.RejectReason)
	w.Uint(welcomeTick, h.Tick)
	return w.Bytes()
}

// DecodeWelcome reads a Welcome. The error wraps protomsg.ErrMalformed.
func DecodeWelcome(encoded []byte) (welcome Welcome, err error) {
	err = protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case welcomeCluster:
			welcome.Cluster = field.Uint
		case welcomeID:
			welcome.ID = field.Uint
		case welcomeName:
			return field.Text(&welcome.Name, state.MaxName)
		case welcomeLevel:
			welcome.Level = uint32(min(field.Uint, maxLevel))
		case welcomeRejectReason:
			return field.Text(&welcome.RejectReason, maxText)
		case welcomeTick:
			welcome.Tick = field.Uint
		}
		return nil
	})
	return welcome, err
}
