package client

import (
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

type (
	writer = *protomsg.Writer
	field  = protomsg.Field
)

// Role is what a connection is for, said by whoever opens it.
type Role uint8

// The roles.
const (
	RoleClient   Role = 1 + iota // requests and answers
	RoleFollower                 // the voter sends what is held, and what changes
	RolePeer                     // another voter: it is sent what the consensus has for it
)

// Hello is the first frame of whoever opens a connection.
type Hello struct {
	Role    Role
	Cluster uint64 // 0: it belongs to none yet, or takes any
	From    uint64 // a voter's id; 0: it is none
	Name    string
	Level   uint32 // promise.Newest of its version
	Applied uint64 // a follower's last index
}

// Welcome is the voter's answer.
type Welcome struct {
	Cluster      uint64
	ID           uint64 // 0: it belongs to no cluster yet
	Name         string
	Level        uint32
	RejectReason string // why the connection is of no use; empty: it is
	Tick         uint64 // see Answer
}

// Operation is what a request asks for.
type Operation uint8

// The verbs.
const (
	OpPropose     Operation = 1 + iota // a command
	OpRead                             // what is held now, as a quorum knows it
	OpReadLocal                        // what this voter has, however old
	OpIdentify                         // who it is
	OpBootstrap                        // begin a cluster [Cluster, Members]
	OpJoin                             // let a voter with an empty disk join [Members[0], Level]
	OpDeclareLost                      // staff say that the machine of the voter Name has gone for good
	OpStatus                           // its state, as JSON
)

// Request is one of a caller's. Several may be under way on a connection.
type Request struct {
	Number    uint64
	Operation Operation
	Command   []byte        // Propose
	Within    time.Duration // how long an answer is waited for
	Hops      uint8         // how often it has been passed on
	Cluster   uint64
	Members   []state.Member
	Name      string
	Level     uint32
	Tick      uint64 // the last that was heard of the voter; 0: none
}

// Outcome says what an answer means.
type Outcome uint8

// The outcomes.
const (
	OutcomeDone         Outcome = 1 + iota // done; of a command: it is held
	OutcomeRejected                        // refused, by the ledger's rules
	OutcomeNotAttempted                    // certainly not done, and not looked at: another voter, or later, may do it
	OutcomeUncertain                       // it may have been done, or may yet be
)

// Response is a voter's.
type Response struct {
	Number  uint64
	Outcome Outcome
	Message string // why not
	Result  state.Result
	Stored  int    // voters that have it on their disks
	Voters  int    // voters that there are
	Leader  string // name of the leader, where known
	Body    []byte // Read, Local: the state; Status: JSON
	Index   uint64 // Read, Local: of the last that is in it
	Age     time.Duration
	Cluster uint64
	ID      uint64 // Who
	Name    string
	Level   uint32
	Members []state.Member
	Tick    uint64 // ms of the voter's own clock as it says so: a request that names an old one has waited on its way
}

// Update is what a voter sends to a follower: a whole state, commands, or a word that it is up to date.
type Update struct {
	State           []byte   // nil: none
	Commands        [][]byte // envelopes, all of the same index
	Index           uint64   // of the last that was applied
	Heartbeat       bool
	Ping            uint64 // of the follower's: all that was promised before it sent that is in Index; 0: not known
	Leader          string
	Cluster         uint64
	Voters          uint32
	ReachableVoters uint32 // of these, as the leader hears them; 0: not known here
}

const (
	maxText    = 4 << 10
	maxMembers = 64
)

// Encode writes it.
func (h *Hello) Encode() []byte {
	var w protomsg.Writer
	w.Uint(1, uint64(h.Role))
	w.Uint(2, h.Cluster)
	w.Uint(3, h.From)
	w.String(4, h.Name)
	w.Uint(5, uint64(h.Level))
	w.Uint(6, h.Applied)
	return w.Bytes()
}

// DecodeHello reads one.
func DecodeHello(b []byte) (h Hello, err error) {
	err = protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			h.Role = Role(min(f.Uint, 255))
		case 2:
			h.Cluster = f.Uint
		case 3:
			h.From = f.Uint
		case 4:
			return f.Text(&h.Name, state.MaxName)
		case 5:
			h.Level = uint32(min(f.Uint, 1<<31))
		case 6:
			h.Applied = f.Uint
		}
		return nil
	})
	return h, err
}

// Encode writes it.
func (h *Welcome) Encode() []byte {
	var w protomsg.Writer
	w.Uint(2, h.Cluster)
	w.Uint(3, h.ID)
	w.String(4, h.Name)
	w.Uint(5, uint64(h.Level))
	w.String(6, h.RejectReason)
	w.Uint(7, h.Tick)
	return w.Bytes()
}

// DecodeWelcome reads one.
func DecodeWelcome(b []byte) (h Welcome, err error) {
	err = protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 2:
			h.Cluster = f.Uint
		case 3:
			h.ID = f.Uint
		case 4:
			return f.Text(&h.Name, state.MaxName)
		case 5:
			h.Level = uint32(min(f.Uint, 1<<31))
		case 6:
			return f.Text(&h.RejectReason, maxText)
		case 7:
			h.Tick = f.Uint
		}
		return nil
	})
	return h, err
}

func writeMembers(w writer, n protomsg.Number, all []state.Member) {
	for _, m := range all {
		w.Message(n, m.Write)
	}
}

func readMember(f field, into *[]state.Member) error {
	if len(*into) == maxMembers {
		return fmt.Errorf("%w: more than %d members", protomsg.ErrMalformed, maxMembers)
	}
	var m state.Member
	err := protomsg.Each(f.Raw, m.Read)
	*into = append(*into, m)
	return err
}

// Encode writes it.
func (r *Request) Encode() []byte {
	var w protomsg.Writer
	w.Uint(1, r.Number)
	w.Uint(2, uint64(r.Operation))
	w.Raw(3, r.Command)
	w.Uint(4, uint64(max(0, r.Within/time.Microsecond)))
	w.Uint(5, uint64(r.Hops))
	w.Uint(6, r.Cluster)
	writeMembers(&w, 7, r.Members)
	w.String(8, r.Name)
	w.Uint(9, uint64(r.Level))
	w.Uint(10, r.Tick)
	return w.Bytes()
}

// maxWithin bounds how long a voter keeps a request.
const maxWithin = time.Minute

func micros(u uint64, most time.Duration) time.Duration {
	return time.Duration(min(u, uint64(most/time.Microsecond))) * time.Microsecond
}

// DecodeRequest reads one.
func DecodeRequest(b []byte) (r Request, err error) {
	err = protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			r.Number = f.Uint
		case 2:
			r.Operation = Operation(min(f.Uint, 255))
		case 3:
			r.Command = f.Raw
		case 4:
			r.Within = micros(f.Uint, maxWithin)
		case 5:
			r.Hops = uint8(min(f.Uint, 255))
		case 6:
			r.Cluster = f.Uint
		case 7:
			return readMember(f, &r.Members)
		case 8:
			return f.Text(&r.Name, state.MaxName)
		case 9:
			r.Level = uint32(min(f.Uint, 1<<31))
		case 10:
			r.Tick = f.Uint
		}
		return nil
	})
	return r, err
}

// longAgo is the longest age that is told.
const longAgo = 1000 * time.Hour

// Encode writes it.
func (a *Response) Encode() []byte {
	var w protomsg.Writer
	w.Uint(1, a.Number)
	w.Uint(2, uint64(a.Outcome))
	w.String(3, a.Message)
	w.Uint(4, uint64(a.Result.Rejection))
	w.String(5, a.Result.Message)
	w.Uint(6, a.Result.Revision)
	w.Uint(7, a.Result.Clock)
	w.Uint(8, a.Result.FencingToken)
	w.Int(9, a.Result.Free)
	state.WriteReserved(&w, 10, a.Result.Reserved)
	w.Uint(11, uint64(a.Stored))
	w.Uint(12, uint64(a.Voters))
	w.String(13, a.Leader)
	w.Raw(14, a.Body)
	w.Uint(15, a.Index)
	w.Uint(16, uint64(a.Age/time.Microsecond))
	w.Uint(17, a.Cluster)
	w.Uint(18, a.ID)
	w.String(19, a.Name)
	w.Uint(20, uint64(a.Level))
	writeMembers(&w, 21, a.Members)
	w.Uint(22, a.Tick)
	return w.Bytes()
}

// DecodeResponse reads one.
func DecodeResponse(b []byte) (a Response, err error) {
	err = protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			a.Number = f.Uint
		case 2:
			a.Outcome = Outcome(min(f.Uint, 255))
		case 3:
			return f.Text(&a.Message, maxText)
		case 4:
			a.Result.Rejection = state.Rejection(min(f.Uint, 255))
		case 5:
			return f.Text(&a.Result.Message, maxText)
		case 6:
			a.Result.Revision = f.Uint
		case 7:
			a.Result.Clock = f.Uint
		case 8:
			a.Result.FencingToken = f.Uint
		case 9:
			a.Result.Free = f.Int()
		case 10:
			x, err := state.ReadReserved(f.Raw)
			a.Result.Reserved = append(a.Result.Reserved, x)
			return err
		case 11:
			a.Stored = int(min(f.Uint, maxMembers))
		case 12:
			a.Voters = int(min(f.Uint, maxMembers))
		case 13:
			return f.Text(&a.Leader, state.MaxName)
		case 14:
			a.Body = f.Raw
		case 15:
			a.Index = f.Uint
		case 16:
			a.Age = micros(f.Uint, longAgo)
		case 17:
			a.Cluster = f.Uint
		case 18:
			a.ID = f.Uint
		case 19:
			return f.Text(&a.Name, state.MaxName)
		case 20:
			a.Level = uint32(min(f.Uint, 1<<31))
		case 21:
			return readMember(f, &a.Members)
		case 22:
			a.Tick = f.Uint
		}
		return nil
	})
	return a, err
}

// Encode writes it.
func (u *Update) Encode() []byte {
	var w protomsg.Writer
	w.Raw(1, u.State)
	for _, c := range u.Commands {
		w.Raw(2, c)
	}
	w.Uint(3, u.Index)
	w.Bool(4, u.Heartbeat)
	w.Uint(5, u.Ping)
	w.String(6, u.Leader)
	w.Uint(7, u.Cluster)
	w.Uint(8, uint64(u.Voters))
	w.Uint(9, uint64(u.ReachableVoters))
	return w.Bytes()
}

// DecodeUpdate reads one.
func DecodeUpdate(b []byte) (u Update, err error) {
	err = protomsg.Each(b, func(f field) error {
		switch f.Number {
		case 1:
			u.State = f.Raw
		case 2:
			u.Commands = append(u.Commands, f.Raw)
		case 3:
			u.Index = f.Uint
		case 4:
			u.Heartbeat = f.Bool()
		case 5:
			u.Ping = f.Uint
		case 6:
			return f.Text(&u.Leader, state.MaxName)
		case 7:
			u.Cluster = f.Uint
		case 8:
			u.Voters = uint32(min(f.Uint, maxMembers))
		case 9:
			u.ReachableVoters = uint32(min(f.Uint, maxMembers))
		}
		return nil
	})
	return u, err
}

// EncodePing writes a follower's ping.
func EncodePing(n uint64) []byte {
	var w protomsg.Writer
	w.Uint(1, n)
	return w.Bytes()
}

// DecodePing reads one.
func DecodePing(b []byte) (n uint64, err error) {
	err = protomsg.Each(b, func(f field) error {
		if f.Number == 1 {
			n = f.Uint
		}
		return nil
	})
	return n, err
}
