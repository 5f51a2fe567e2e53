// Package wire implements the text protocol between the simulator and cmd/simadapter: it reads batches of events and
// writes one reply of actions to each. It also decodes the settings object, which a platform's configuration has in the
// same form. It makes no balancing decisions.
package wire

import (
	"time"

	"olivearch/balancer"
)

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events, with the message that carries each.
const (
	InstanceStarted     EventKind = iota // attach
	InstanceStopped                      // exit
	EndpointsUpdated                     // endpoints
	RequestArrived                       // inbound
	ResponseStarted                      // established
	AttemptFinished                      // verdict
	ClientLeft                           // lapsed
	TimerFired                           // elapsed
	HealthCheckFinished                  // health
	MessageReceived                      // inbox: from another instance; its text is ignored
)

// Event is one event for one instance of the balancer. Kind tells which of the other fields are set.
type Event struct {
	Kind        EventKind
	Instance    int
	Seed        uint64                     // InstanceStarted: seeds the random numbers
	Settings    balancer.Settings          // InstanceStarted
	ListMode    balancer.ListMode          // EndpointsUpdated
	Endpoints   []balancer.Upstream        // EndpointsUpdated
	Request     balancer.Request           // RequestArrived; ClientLeft: only its ID
	Attempt     balancer.AttemptResult     // AttemptFinished; ResponseStarted: ID, Upstream, Attempt, Latency
	HealthCheck balancer.HealthCheckResult // HealthCheckFinished
	TimerToken  uint64                     // TimerFired
}

// Batch holds the events of one moment.
type Batch struct {
	At     time.Duration // simulated time
	Serial uint64        // the reply repeats it
	Events []Event
}
