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
)

// known reports whether this version knows the kind.
func (k Kind) known() bool {
	switch k {
	case KindTakeOver, KindState, KindAck, KindReady, KindSnapshotRequest, KindSnapshot, KindClientConnection:
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
