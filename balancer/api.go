// Package balancer makes the decisions of a load-balancing proxy in front of a
// fleet of HTTP servers: which upstream gets a request, whether a request is
// retried, queued, rejected or failed, and how the endpoint list is followed.
// Each pool of the proxy owns one Balancer; the simulator adapter and the
// emulator drive the same code. The package does no I/O: connections, timers
// and discovery calls are the owner's.
//
// # Contract
//
// A Balancer is one of the Settings.Balancers instances that share a fleet. Its
// owner calls one method per event, from one goroutine at a time, and passes the
// time of a monotonic clock of any origin as now. The Balancer acts by calling
// its Host during that call, never outside it. It reads no clock, starts no
// goroutine and shares no mutable state with other Balancers; the same events
// with the same seed give the same actions.
//
// Events arrive in order: RequestArrived first, then one AttemptFinished for each
// Send, and at most one ClientLeft. An AttemptFinished may follow the request's
// final answer. Events with unknown IDs are ignored. Memory is bounded by what
// the owner has open: requests, attempts and listed upstreams.
//
// Every request gets exactly one final answer: a successful AttemptFinished,
// Reject or Fail. Reject promises the client that a retry is harmless.
//
// # Files
//
// The path of a request:
//   - requests.go handles it from its arrival to its final answer;
//   - interleaver.go picks the upstream of an attempt, retry.go decides whether
//     another attempt is allowed, and queue.go holds requests that find no slot;
//   - outcomes.go, reports.go and limits.go update the upstream's state from the
//     result of an attempt.
//
// Periodic and list-driven work:
//   - timers.go and period.go adjust shares and limits once a second;
//   - responsiveness.go looks for unresponsive upstreams at each tick;
//   - endpoints.go applies the endpoint list, ring.go and subset.go choose the
//     upstreams to use;
//   - idle.go suspends the ticks while nothing is open, and snapshot.go passes the
//     learned state on to another Balancer.
//
// The state of an upstream has one type per rule: share, bollingerBand,
// latencyStats, concurrencyLimit, outlierDetector, slowStart and workload.
package balancer

import "time"

// RequestID identifies one client request. A client's retry is a request of its own; IDs are never reused.
type RequestID uint64

// UpstreamID identifies an upstream. The number has no meaning; an upstream keeps it when its process restarts.
type UpstreamID uint32

// Idempotency says whether a request of a class may run more than once. Safer kinds have lower values.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // upstreams of a KeyScope drop repeats within Class.DeduplicationWindow
	NonIdempotent                        // must never run twice
)

// KeyScope says which upstreams drop repeats of a request with an idempotency key that one of them has run.
type KeyScope uint8

// The key scopes.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class describes one kind of request.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // an answer within it has the full weight
	Deadline            time.Duration // how long the client waits in total
	Idempotency         Idempotency
	KeyScope            KeyScope      // for IdempotentWithKey
	DeduplicationWindow time.Duration // for IdempotentWithKey: how long upstreams drop repeats
	Stream              bool
	PriorityWeight      float64
	LateWeightFactor    float64 // factor on the weight of an answer between LatencyObjective and Deadline
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all balancers
}

// Limits says which actions the site permits, and how many.
type Limits struct {
	Cancel        bool
	HealthChecks  bool
	Hedging       bool
	RetryAfter    bool
	MaxRetryAfter time.Duration // longest Retry-After that clients honour
	MaxAttempts   int           // per request
	MaxInFlight   int           // attempts in flight over all upstreams, as connections allow; 0: unlimited
}

// Rules holds the durations and thresholds of discovery, slow start, draining and final answers.
type Rules struct {
	PollInterval      time.Duration // longest time between two polls of discovery
	SlowStartFloor    float64       // least part of its capacity that an upstream has when it starts
	SlowStartDuration time.Duration // longest time from an upstream's start until it is warm
	OverloadMultiple  float64       // load that overloads a warming upstream, in multiples of its present capacity
	OverloadWindow    time.Duration // time over which that load is measured
	DrainGrace        time.Duration // longest time in which a draining upstream may still get attempts
	AnswerSlack       time.Duration // longest time from the client's deadline to the final answer
}

// WeightKind says what Upstream.Weight stands for.
type WeightKind uint8

// The weight kinds.
const (
	WeightNone        WeightKind = iota // nothing: it is always 1
	WeightNominal                       // the server's size
	WeightApproximate                   // the server's approximate size
	WeightLive                          // the server's size, reduced by its load some time ago
)

// ReportSource says where load reports come from.
type ReportSource uint8

// The sources of load reports.
const (
	ReportNone         ReportSource = iota
	ReportAnswers                   // answers and health checks
	ReportHealthChecks              // health checks only
)

// Settings configures a Balancer.
type Settings struct {
	Zone                  string
	Balancers             int // instances that share the upstreams
	Rank                  int // of this instance among them, from 0
	Classes               []Class
	Tenants               *Tenants
	OverQuotaWeightFactor float64 // factor on the weight of requests over a tenant's quota
	WeightByWork          bool    // a class's weight is per unit of work, not per request
	WarmKeys              bool    // an upstream serves keys that it has seen recently with less work
	Limits                Limits
	Rules                 Rules
	PollDiscovery         bool // discovery must be polled, as it has no watch
	Weights               WeightKind
	Reports               ReportSource
	Granularity           time.Duration // least time between two batches of events
	SuspendWhenIdle       bool          // set no timer while nothing is open; decisions are the same
}

// State is the state of an upstream in the endpoint list.
type State uint8

// The states.
const (
	Active State = iota
	Draining
	Removed
)

// Upstream is one entry of the endpoint list.
type Upstream struct {
	ID          UpstreamID
	Zone        string
	Cell        int
	Weight      float64
	StartedAt   time.Duration // latest start of its process, on the owner's clock; 0: long ago
	State       State
	WarmUpShare float64 // part of its warm-up budget, if the owner runs several Balancers on it; 0: all of it
	MaxInFlight int     // attempts that this Balancer may have in flight there; 0: unlimited
}

// ListMode says how a list relates to the previous one.
type ListMode uint8

// The list modes.
const (
	ListDelta  ListMode = iota // changed entries only
	ListFull                   // the whole list; upstreams that it lacks are removed
	ListCached                 // the whole list as last known, possibly stale
	ListFailed                 // no list: the call failed or the watch broke
)

// Request is a client's request.
type Request struct {
	ID     RequestID
	Budget time.Duration // time after which the client gives up
	Class  string        // a name from Settings.Classes
	Tenant string        // a name from Settings.Tenants, or empty
	Key    uint64        // identifies the subject of the request, if HasKey
	HasKey bool
	Retry  bool
	Cost   time.Duration // estimated work, as time on a standard core; 0: unknown

	BodyStreaming bool // its body is forwarded while it arrives: no answer is expected before BodySent
}

// Status is how an attempt or health check ended.
type Status uint8

// The statuses. Those marked with * prove that the request never ran.
const (
	OK            Status = iota
	Error                // the upstream answered with an error
	Rejected             // * the upstream refused it unprocessed
	Timeout              // no answer in time
	ConnectFailed        // * no connection in time
	Reset                // connection lost
	Cancelled            // stopped by Host.Cancel
	NotSent              // * not written to a connection
)

// LoadField is a set of bits, one for each value of a Load.
type LoadField uint8

// The load fields.
const (
	HasUtilisation LoadField = 1 << iota
	HasInFlight
	HasQueue
	HasService
	HasRate
	HasErrors
)

// Load is an upstream's load report. Fields says which values it holds.
type Load struct {
	Fields      LoadField
	Utilisation float64 // CPU utilisation, 0 to 1
	InFlight    float64 // requests in flight
	Queue       float64 // requests waiting
	Service     float64 // recent service time, ms
	Rate        float64 // requests served a second
	Errors      float64 // errors a second
}

// AttemptResult describes how one attempt ended.
type AttemptResult struct {
	ID       RequestID
	Upstream UpstreamID
	Attempt  int // index among the request's Sends, from 0
	Latency  time.Duration
	Status   Status
	Closed   bool // the client has its final answer, or has left
	Load     Load
}

// HealthCheckResult describes how one health check ended.
type HealthCheckResult struct {
	Upstream UpstreamID
	Latency  time.Duration
	Status   Status
	Load     Load
}

// Host carries out a Balancer's actions.
type Host interface {
	Send(id RequestID, up UpstreamID, timeout time.Duration) // timeout 0: as long as the client waits
	Reject(id RequestID, retryAfter time.Duration)           // retryAfter 0: no Retry-After
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	HealthCheck(up UpstreamID)
	CloseIdle(up UpstreamID) // close idle connections
	WatchEndpoints(on bool)  // start or stop following discovery
	FetchEndpoints()         // fetch the whole list once
	SetTimer(after time.Duration, token uint64)
	Log(text string)
}

// Events lists the methods by which an owner drives a Balancer.
type Events interface {
	EndpointsUpdated(now time.Duration, mode ListMode, list []Upstream)
	RequestArrived(now time.Duration, r Request)
	ResponseStarted(now time.Duration, id RequestID, attempt int) // a streamed answer has begun
	AttemptFinished(now time.Duration, o AttemptResult)
	ClientLeft(now time.Duration, id RequestID) // the client left: no answer is needed any more
	HealthCheckFinished(now time.Duration, p HealthCheckResult)
	TimerFired(now time.Duration, token uint64)
	MaxInFlightChanged(now time.Duration, up UpstreamID, most int) // Upstream.MaxInFlight has changed
	// SendDeadline returns the time before which the newest attempt of a request must be written to its connection;
	// 0: none. The owner may also call it from within Host.Send.
	SendDeadline(id RequestID) time.Duration
}

var _ Events = (*Balancer)(nil)
