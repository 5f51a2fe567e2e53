package client

import (
	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// Role is what a connection is for. Whoever opens the connection states it in its Hello.
type Role uint8

// The roles.
const (
	RoleClient   Role = 1 + iota // requests and responses
	RoleFollower                 // the server sends the state, and then what changes in it
	RolePeer                     // another server: it is sent Raft messages
)

// Hello is the first frame from whoever opens a connection.
type Hello struct {
	Role    Role
	Cluster uint64 // the cluster's ID; 0: it belongs to none yet, or accepts any
	From    uint64 // the sender's Raft ID if it is a server; 0: it is none
	Name    string
	Level   uint32 // state.NewestFeatureLevel of the sender's version
	Applied uint64 // a follower's last applied log index
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
	RejectReason string // why the server rejects the connection; empty: it accepts
	Tick         uint64 // see Response.Tick
}

// Field numbers of a Welcome. There is no 1.
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
