// Package balancer makes the decisions of a load-balancing proxy for fleets of
// HTTP servers: which upstream gets a request, whether it is sent again, queued,
// rejected or failed, and how the endpoint list is followed. It does no I/O.
//
// # Contract
//
// One Balancer is one proxy instance. Its owner calls a method per event, from
// one goroutine at a time, with now on any monotonic origin and never going
// back. The Balancer answers by calling its Host during that call, never
// outside it. It reads no clock, starts no goroutine and shares no state with
// other Balancers; the same events with the same seed give the same actions.
//
// Events arrive in order: a request's RequestArrived first, then one
// AttemptFinished for each Send, at most one ClientLeft. An AttemptFinished may
// follow the request's final answer. Ids that are not known are passed over.
// Memory is bounded by what the owner has open: requests, attempts and listed
// upstreams.
//
// Every request gets exactly one final answer: a successful AttemptFinished,
// Reject or Fail. Reject promises the client that a retry is harmless.
//
// # Where to read on
//
// The course of a request:
//   - requests.go takes it from its arrival to its final answer;
//   - interleaver.go picks the upstream of an attempt, retry.go says whether
//     there may be one, and queue.go keeps requests that find no slot;
//   - outcomes.go, reports.go and limits.go learn from how an attempt ended.
//
// What goes on beside them:
//   - timers.go and period.go move shares and limits once a second, and
//     responsiveness.go watches for silent upstreams at each tick;
//   - endpoints.go follows the list, ring.go and subset.go choose from it;
//   - idle.go leaves ticks out while nothing is open, and snapshot.go hands on
//     what was learnt.
//
// What is kept of an upstream has a type for each rule: share, bollingerBand,
// latencyStats, concurrencyLimit, outlierDetector, slowStart and workload.
package balancer

import "time"

// RequestID names one request that a client sent, so a retry has another; ids are never reused.
type RequestID uint64

// UpstreamID names an upstream. It carries no meaning and survives restarts.
type UpstreamID uint32

// Idempotency says whether a class may run more than once, safest first.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // a group of upstreams drops repeats for Class.DeduplicationWindow
	NonIdempotent                        // must never run twice
)

// KeyScope says which upstreams drop the repeats of a request with an idempotency key.
type KeyScope uint8

// The scopes.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class is one kind of request.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // answers within it earn the full weight
	Deadline            time.Duration // the client's total wait
	Idempotency         Idempotency
	KeyScope            KeyScope      // for IdempotentWithKey
	DeduplicationWindow time.Duration // for IdempotentWithKey: how long repeats are dropped
	Stream              bool
	PriorityWeight      float64
	LateWeightFactor    float64 // part of the weight of an answer between LatencyObjective and Deadline
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all balancers
}

// Limits is what the site permits.
type Limits struct {
	Cancel        bool
	HealthChecks  bool
	Hedging       bool
	RetryAfter    bool
	MaxRetryAfter time.Duration // longest wait a client honours
	MaxAttempts   int
	MaxInFlight   int // attempts in flight over all upstreams, such as connections suffice for; 0: any number
}

// Rules holds the figures of the rules about draining and slow start.
type Rules struct {
	PollInterval      time.Duration // discovery that is polled: at least this often
	SlowStartFloor    float64       // an upstream starts at this share of capacity or more
	SlowStartDuration time.Duration // and is warm no later than this
	OverloadMultiple  float64       // sent over this multiple of its present capacity
	OverloadWindow    time.Duration // for this long, an upstream that warms up is overloaded
	DrainGrace        time.Duration // sends to a draining upstream must cease within this
	AnswerSlack       time.Duration // slack of a final answer after the client's deadline
}

// WeightKind says what Upstream.Weight means.
type WeightKind uint8

// The weight kinds.
const (
	WeightNone    WeightKind = iota // always one
	WeightNominal                   // size
	WeightRough                     // size, approximately
	WeightLive                      // size lowered by load some time ago
)

// ReportVia says how load reports arrive.
type ReportVia uint8

// The ways of reporting.
const (
	ReportNone         ReportVia = iota
	ReportAnswers                // within outcomes and health checks
	ReportHealthChecks           // within health checks only
)

// Settings is what a Balancer is told at its start.
type Settings struct {
	Zone                  string
	Balancers             int // instances in this tier
	Rank                  int // of this instance among them, from 0
	Classes               []Class
	Tenants               *Tenants
	OverQuotaWeightFactor float64 // what is left of the weight of requests over a tenant's quota
	WeightByWork          bool    // weight counts per unit of work, not per request
	WarmKeys              bool    // an upstream serves keys that it has seen lately with less work
	Limits                Limits
	Rules                 Rules
	PollDiscovery         bool // discovery answers only when it is polled
	Weights               WeightKind
	Reports               ReportVia
	Granularity           time.Duration // least spacing of event batches
	SuspendWhenIdle       bool          // no timer is set while there is nothing to do; decisions stay the same
}

// State is what discovery says of an upstream.
type State uint8

// The states.
const (
	Active State = iota
	Draining
	Removed
)

// Upstream is one entry of a discovery list.
type Upstream struct {
	ID          UpstreamID
	Zone        string
	Cell        int
	Weight      float64
	StartedAt   time.Duration // latest start on the owner's clock; 0: long past
	State       State
	WarmUpShare float64 // of its budget while it warms up, where one owner runs several Balancers on it; 0: all
	MaxInFlight int     // attempts in flight that it may have of this Balancer; 0: any number
}

// ListMode says how a list relates to the one known.
type ListMode uint8

// The list modes.
const (
	ListDelta  ListMode = iota // changed entries only
	ListFull                   // the whole list; what it lacks is gone
	ListCached                 // the whole list as last known, maybe stale
	ListFailed                 // the call failed or the watch dropped; no entries
)

// Request is a client's request.
type Request struct {
	ID     RequestID
	Budget time.Duration // the client gives up after it
	Class  string        // a name from Settings.Classes
	Tenant string        // a name from Settings.Tenants, or empty
	Key    uint64        // subject of the request, if HasKey
	HasKey bool
	Retry  bool
	Cost   time.Duration // hint: work on a standard core; 0: unknown

	BodyStreaming bool // its body is sent on as it comes: an attempt owes no answer before BodySent
}

// Status is how an attempt or health check ended.
type Status uint8

// The statuses. Those marked * prove that the request never ran.
const (
	OK            Status = iota
	Error                // the upstream answered with an error
	Rejected             // * the upstream did not look at it
	Timeout              // no answer in time
	ConnectFailed        // * no connection in time
	Reset                // connection lost
	Cancelled            // stopped by Cancel
	NotSent              // * never sent
)

// LoadField is a bit for each value that a Load holds.
type LoadField uint8

// The load fields.
const (
	HasUtil LoadField = 1 << iota
	HasInflight
	HasQueue
	HasService
	HasRate
	HasErrors
)

// Load is an upstream's load report; Fields tells which values it holds.
type Load struct {
	Fields   LoadField
	Util     float64 // share of CPU busy
	Inflight float64 // requests in flight
	Queue    float64 // requests waiting
	Service  float64 // recent service time, ms
	Rate     float64 // requests served a second
	Errors   float64 // errors a second
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID       RequestID
	Upstream UpstreamID
	Attempt  int // order of the request's Sends, from 0
	Latency  time.Duration
	Status   Status
	Closed   bool // the request is finished, now or earlier
	Load     Load
}

// HealthCheckResult is the end of one health check.
type HealthCheckResult struct {
	Upstream UpstreamID
	Latency  time.Duration
	Status   Status
	Load     Load
}

// Host carries out a Balancer's actions.
type Host interface {
	Send(id RequestID, up UpstreamID, timeout time.Duration) // timeout 0: until the client quits
	Reject(id RequestID, retryAfter time.Duration)           // retryAfter 0: no advice
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	HealthCheck(up UpstreamID)
	CloseIdle(up UpstreamID) // close idle connections
	WatchEndpoints(on bool)  // subscribe to discovery
	FetchEndpoints()         // poll discovery for the whole list once
	SetTimer(after time.Duration, token uint64)
	Log(text string)
}

// Events is the set of methods by which an owner drives a Balancer.
type Events interface {
	EndpointsUpdated(now time.Duration, mode ListMode, list []Upstream)
	RequestArrived(now time.Duration, r Request)
	ResponseStarted(now time.Duration, id RequestID, attempt int) // a stream's answer has begun
	AttemptFinished(now time.Duration, o AttemptResult)
	ClientLeft(now time.Duration, id RequestID) // the client left, nothing more is owed
	HealthCheckFinished(now time.Duration, p HealthCheckResult)
	TimerFired(now time.Duration, token uint64)
	MaxInFlightChanged(now time.Duration, up UpstreamID, most int) // Upstream.MaxInFlight has changed
	// SendDeadline is before when a Send must be written; 0: no such time. It is called from within Host.Send too.
	SendDeadline(id RequestID) time.Duration
}

var _ Events = (*Balancer)(nil)
