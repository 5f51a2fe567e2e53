package client

import (
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// Outcome tells whether a request was carried out.
type Outcome uint8

// The outcomes.
const (
	OutcomeDone         Outcome = 1 + iota // done; a command was committed and applied
	OutcomeRejected                        // rejected by the rules of the state machine
	OutcomeNotAttempted                    // certainly not done, nor checked; another server or a retry may do it
	OutcomeUncertain                       // it may have been done, or may still be done later
)

// Response is a server's answer to a Request.
type Response struct {
	Number  uint64 // the Request's number
	Outcome Outcome
	Message string         // the reason, where the outcome is not OutcomeDone
	Result  state.Result   // OpPropose: the result of the command
	Stored  int            // OpPropose: number of voters that have stored the command on their disks
	Voters  int            // OpPropose: number of voters in the cluster
	Leader  string         // the leader's name, where known
	Body    []byte         // OpRead, OpReadLocal: the encoded state; OpStatus: JSON
	Index   uint64         // OpRead, OpReadLocal: the last log index that is in the state
	Age     time.Duration  // OpRead, OpReadLocal: time since a quorum confirmed the state
	Cluster uint64         // the server's cluster
	ID      uint64         // the server's Raft ID
	Name    string         // the server's name
	Level   uint32         // state.NewestFeatureLevel of the server's version
	Members []state.Member // OpJoin: the members of the cluster
	// Tick is the server's uptime when it sends the response, in milliseconds. The client returns the latest one in
	// its next request, so that the server can reject a request that was delayed on its way.
	Tick uint64
}

// Field numbers of a Response. Numbers 4 to 10 are the fields of its Result.
const (
	responseNumber        protomsg.Number = 1
	responseOutcome       protomsg.Number = 2
	responseMessage       protomsg.Number = 3
	responseRejection     protomsg.Number = 4
	responseResultMessage protomsg.Number = 5
	responseRevision      protomsg.Number = 6
	responseClock         protomsg.Number = 7
	responseFencingToken  protomsg.Number = 8
	responseFree          protomsg.Number = 9
	responseReserved      protomsg.Number = 10
	responseStored        protomsg.Number = 11
	responseVoters        protomsg.Number = 12
	responseLeader        protomsg.Number = 13
	responseBody          protomsg.Number = 14
	responseIndex         protomsg.Number = 15
	responseAge           protomsg.Number = 16
	responseCluster       protomsg.Number = 17
	responseID            protomsg.Number = 18
	responseName          protomsg.Number = 19
	responseLevel         protomsg.Number = 20
	responseMember        protomsg.Number = 21
	responseTick          protomsg.Number = 22
)

// maxAge is the longest age that is decoded or returned. It stands for "never".
const maxAge = 1000 * time.Hour

// Encode returns the message's bytes, without a frame.
func (r *Response) Encode() []byte {
	var writer protomsg.Writer
	writer.Uint(responseNumber, r.Number)
	writer.Uint(responseOutcome, uint64(r.Outcome))
	writer.String(responseMessage, r.Message)
	writeResult(&writer, &r.Result)
	writer.Uint(responseStored, uint64(r.Stored))
	writer.Uint(responseVoters, uint64(r.Voters))
	writer.String(responseLeader, r.Leader)
	writer.Raw(responseBody, r.Body)
	writer.Uint(responseIndex, r.Index)
	writer.Uint(responseAge, uint64(r.Age/time.Microsecond))
	writer.Uint(responseCluster, r.Cluster)
	writer.Uint(responseID, r.ID)
	writer.String(responseName, r.Name)
	writer.Uint(responseLevel, uint64(r.Level))
	writeMembers(&writer, responseMember, r.Members)
	writer.Uint(responseTick, r.Tick)
	return writer.Bytes()
}

// writeResult writes the fields of a Result.
func writeResult(w *protomsg.Writer, result *state.Result) {
	w.Uint(responseRejection, uint64(result.Rejection))
	w.String(responseResultMessage, result.Message)
	w.Uint(responseRevision, result.Revision)
	w.Uint(responseClock, result.Clock)
	w.Uint(responseFencingToken, result.FencingToken)
	w.Int(responseFree, result.Free)
	state.EncodeReserved(w, responseReserved, result.Reserved)
}

// DecodeResponse reads a Response. The error wraps protomsg.ErrMalformed.
func DecodeResponse(encoded []byte) (response Response, err error) {
	err = protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case responseNumber:
			response.Number = field.Uint
		case responseOutcome:
			response.Outcome = Outcome(min(field.Uint, maxEnum))
		case responseMessage:
			return field.Text(&response.Message, maxText)
		case responseStored:
			response.Stored = int(min(field.Uint, maxMembers))
		case responseVoters:
			response.Voters = int(min(field.Uint, maxMembers))
		case responseLeader:
			return field.Text(&response.Leader, state.MaxName)
		case responseBody:
			response.Body = field.Raw
		case responseIndex:
			response.Index = field.Uint
		case responseAge:
			response.Age = microseconds(field.Uint, maxAge)
		case responseCluster:
			response.Cluster = field.Uint
		case responseID:
			response.ID = field.Uint
		case responseName:
			return field.Text(&response.Name, state.MaxName)
		case responseLevel:
			response.Level = uint32(min(field.Uint, maxLevel))
		case responseMember:
			return readMember(field, &response.Members)
		case responseTick:
			response.Tick = field.Uint
		default:
			return readResult(field, &response.Result)
		}
		return nil
	})
	return response, err
}

// readResult reads a field of a Response if it belongs to the Result, and skips it otherwise.
func readResult(field protomsg.Field, result *state.Result) error {
	switch field.Number {
	case responseRejection:
		result.Rejection = state.Rejection(min(field.Uint, maxEnum))
	case responseResultMessage:
		return field.Text(&result.Message, maxText)
	case responseRevision:
		result.Revision = field.Uint
	case responseClock:
		result.Clock = field.Uint
	case responseFencingToken:
		result.FencingToken = field.Uint
	case responseFree:
		result.Free = field.Int()
	case responseReserved:
		slot, err := state.DecodeReserved(field.Raw)
		result.Reserved = append(result.Reserved, slot)
		return err
	}
	return nil
}
