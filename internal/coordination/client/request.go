package client

import (
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// Operation is the kind of a request.
type Operation uint8

// The operations, with the fields of a Request that they use.
const (
	OpPropose     Operation = 1 + iota // commit and apply a command [Command]
	OpRead                             // return the state by a linearizable read, which a quorum confirms
	OpReadLocal                        // return the server's own copy of the state, however old
	OpIdentify                         // return the server's name, Raft ID, cluster and newest feature level
	OpBootstrap                        // bootstrap a cluster [Cluster, Members]
	OpJoin                             // let a server with an empty folder join [Members[0], Level]
	OpDeclareLost                      // record that a server's machine is lost for good [Name]
	OpStatus                           // return the server's ServerStatus, as JSON
)

// Request is what a client sends to a server. Several may be in flight on one connection.
type Request struct {
	Number    uint64 // chosen by the client; the response carries the same number
	Operation Operation
	Command   []byte        // OpPropose: the encoded command
	Within    time.Duration // how long the client waits for the response; sent in microseconds
	Hops      uint8         // how often the request has been forwarded
	Cluster   uint64
	Members   []state.Member
	Name      string
	Level     uint32
	Tick      uint64 // the last tick that the client has from this server, see Response.Tick; 0: none
}

// Field numbers of a Request.
const (
	requestNumber    protomsg.Number = 1
	requestOperation protomsg.Number = 2
	requestCommand   protomsg.Number = 3
	requestWithin    protomsg.Number = 4
	requestHops      protomsg.Number = 5
	requestCluster   protomsg.Number = 6
	requestMember    protomsg.Number = 7
	requestName      protomsg.Number = 8
	requestLevel     protomsg.Number = 9
	requestTick      protomsg.Number = 10
)

// maxRequestTimeout bounds Within in a request that is decoded.
const maxRequestTimeout = time.Minute

// Encode returns the message's bytes, without a frame.
func (r *Request) Encode() []byte {
	var w protomsg.Writer
	w.Uint(requestNumber, r.Number)
	w.Uint(requestOperation, uint64(r.Operation))
	w.Raw(requestCommand, r.Command)
	w.Uint(requestWithin, uint64(max(0, r.Within/time.Microsecond)))
	w.Uint(requestHops, uint64(r.Hops))
	w.Uint(requestCluster, r.Cluster)
	writeMembers(&w, requestMember, r.Members)
	w.String(requestName, r.Name)
	w.Uint(requestLevel, uint64(r.Level))
	w.Uint(requestTick, r.Tick)
	return w.Bytes()
}

// DecodeRequest reads a Request. The error wraps protomsg.ErrMalformed.
func DecodeRequest(encoded []byte) (request Request, err error) {
	err = protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case requestNumber:
			request.Number = field.Uint
		case requestOperation:
			request.Operation = Operation(min(field.Uint, maxEnum))
		case requestCommand:
			request.Command = field.Raw
		case requestWithin:
			request.Within = microseconds(field.Uint, maxRequestTimeout)
		case requestHops:
			request.Hops = uint8(min(field.Uint, maxEnum))
		case requestCluster:
			request.Cluster = field.Uint
		case requestMember:
			return readMember(field, &request.Members)
		case requestName:
			return field.Text(&request.Name, state.MaxName)
		case requestLevel:
			request.Level = uint32(min(field.Uint, maxLevel))
		case requestTick:
			request.Tick = field.Uint
		}
		return nil
	})
	return request, err
}
