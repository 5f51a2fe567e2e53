// Package hotrestart carries messages between the old and the new process of a balancer during a hot restart. The
// messages are sent over a Unix socket, which only processes with access to its folder can reach, and each may carry
// one file descriptor. Package proxy decides what is handed over and when.
package hotrestart

import (
	"encoding/json"
	"fmt"

	"olivearch/balancer"
	"olivearch/internal/override"
)

// Kind is the kind of a message. The values must not change, since the two processes may be of different versions.
type Kind string

// The kinds of messages.
const (
	// KindTakeOver asks the old process for what the new one needs to serve. The answer is a KindState with the
	// descriptor of the listening socket.
	KindTakeOver Kind = "take"
	// KindState carries the local overrides, and whether the balancer is on standby.
	KindState Kind = "state"
	// KindAck says that the KindState with the same serial has been applied.
	KindAck Kind = "ack"
	// KindReady says that the new process is serving.
	KindReady Kind = "ready"
	// KindSnapshotRequest asks the old process for a KindSnapshot.
	KindSnapshotRequest Kind = "recall"
	// KindSnapshot carries what the decision module has learnt of its upstreams.
	KindSnapshot Kind = "memory"
	// KindClientConnection carries the descriptor of a client connection that is between two requests.
	KindClientConnection Kind = "client"
	// KindRequestIDs carries changes of the ids of requests that must not be sent again. It is sent only to a process
	// that has said that it shares them.
	KindRequestIDs Kind = "ids"
)

// known reports whether this version knows the kind.
func (k Kind) known() bool {
	switch k {
	case KindTakeOver, KindState, KindAck, KindReady, KindSnapshotRequest, KindSnapshot, KindClientConnection,
		KindRequestIDs:
		return true
	}
	return false
}

// Message is what one process sends to the other, as JSON. Fields that its kind does not use are zero.
type Message struct {
	Kind      Kind                      `json:"kind"`
	Serial    uint64                    `json:"serial,omitempty"` // of a KindState, and of the KindAck for it
	Listen    string                    `json:"listen,omitempty"` // address that the balancer serves
	Overrides map[string]override.Entry `json:"held,omitempty"`   // local overrides by upstream id
	Standby   bool                      `json:"standby,omitempty"`
	Snapshot  *balancer.Snapshot        `json:"memory,omitempty"`
	// SharesIDs says in a KindTakeOver and in the KindState that answers it that the sender knows KindRequestIDs.
	SharesIDs  bool        `json:"shares_ids,omitempty"`
	RequestIDs *RequestIDs `json:"ids,omitempty"`
}

// RequestIDs are changes of the ids that clients gave to requests, by their hashes (FNV-1a, 64 bits).
type RequestIDs struct {
	Begun      []uint64 `json:"begun,omitempty"`      // of requests that may run again once they have ended
	BegunOnce  []uint64 `json:"begun_once,omitempty"` // of requests that must never run again
	Unanswered []uint64 `json:"unanswered,omitempty"` // of such requests that may have run and have no response
	Ended      []uint64 `json:"ended,omitempty"`      // of requests that are not in flight any more
}

// Decode reads the JSON form of a message. A kind that this version does not know is an error.
func Decode(text []byte) (Message, error) {
	var message Message
	if err := json.Unmarshal(text, &message); err != nil {
		return message, fmt.Errorf("handover: %w", err)
	}
	if !message.Kind.known() {
		return message, fmt.Errorf("handover: a message of kind %q", message.Kind)
	}
	return message, nil
}
