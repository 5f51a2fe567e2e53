// Package live defines the live view, which describes the state of a running process to operators. The admin listener
// serves it as JSON, and "olivearch top" prints it as a table. The packages service and pool fill it in.
package live

import "time"

// View is the state of a process at one point in time. Durations are in milliseconds.
type View struct {
	Version      string        `json:"version"`
	UptimeMS     int64         `json:"uptime_ms"`
	Reloads      int           `json:"reloads"` // configurations applied since the first
	Listeners    []Listener    `json:"listeners"`
	Pools        []Pool        `json:"pools"`
	Coordination *Coordination `json:"promises,omitempty"` // nil: the process follows no coordination cluster
}

// Coordination is the state of the coordination cluster as a process knows it from the voter that it follows.
// While no voter is reachable, the last known state stays in force.
type Coordination struct {
	Cluster         string         `json:"cluster"`
	Voter           string         `json:"voter,omitempty"` // the voter followed; empty: none is reachable
	Leader          string         `json:"leader,omitempty"`
	Voters          int            `json:"voters"`
	VotersReached   int            `json:"up"` // by the leader; 0: not known to this process
	Revision        uint64         `json:"revision"`
	AgeMS           int64          `json:"age_ms"` // since a quorum confirmed the state as the latest; -1: never
	OverridesByKind map[string]int `json:"words"`  // number of operators' overrides by kind
	FollowerFault   string         `json:"trouble,omitempty"`
}

// MaxConfirmationAge is the upper limit of Coordination.AgeMS. If the last confirmation seems to be older, there was
// none.
const MaxConfirmationAge = 900 * time.Hour

// Listener is the state of a client listener.
type Listener struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"` // maximum of Connections
}

// Pool is the state of a pool and of the endpoints on its list.
type Pool struct {
	Name        string `json:"name"`
	Open        int    `json:"open"`  // requests in flight or queued
	Queue       int    `json:"queue"` // maximum of Open
	Held        int    `json:"held"`  // requests among Open that are queued
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"`   // maximum of Connections
	Tunnels     int    `json:"tunnels"` // connections that were upgraded to another protocol
	Served      uint64 `json:"served"`
	Refused     uint64 `json:"refused"`
	Failed      uint64 `json:"failed"`
	TurnedAway  uint64 `json:"turned_away"` // requests rejected because the queue was full; not counted in Refused
	ListAgeMS   int64  `json:"list_age_ms"` // since the list's source last confirmed it
	HoldMS      int64  `json:"hold_ms"`     // maximum age of the list; 0: no maximum
	Expired     bool   `json:"expired"`     // the list is older than its maximum age, so all requests are rejected
	Trouble     string `json:"trouble,omitempty"`
	Nodes       []Node `json:"nodes"`
}

// Values of Node.Load: the sources of an endpoint's utilisation readings.
const (
	Reported  = "reported"  // load reports in responses or health checks
	Estimated = "estimated" // estimates from the latency, since responses have no load reports
	Unknown   = "unknown"   // no readings yet
)

// Node is the state of an endpoint as one pool's balancer sees it.
type Node struct {
	ID         string  `json:"id"`
	Address    string  `json:"address"`
	Phase      string  `json:"phase"`  // up, draining or gone
	Member     bool    `json:"member"` // in this balancer's subset
	Share      float64 `json:"share"`  // of the pool's requests, from 0 to 1
	Cut        float64 `json:"cut"`    // factor that share cuts apply to the share; 1: not cut
	Mean       float64 `json:"mean"`   // mean of the utilisation readings
	Upper      float64 `json:"upper"`  // upper Bollinger band
	Lower      float64 `json:"lower"`  // lower Bollinger band
	Area       float64 `json:"area"`   // band area: the gap between the bands, integrated since the period began
	Readings   int     `json:"readings"`
	Load       string  `json:"load"`       // Reported, Estimated or Unknown
	Unreadable uint64  `json:"unreadable"` // load reports that could not be parsed
	// UnreadableWhy is the error of the last load report that could not be parsed.
	UnreadableWhy string  `json:"unreadable_why,omitempty"`
	Strays        uint64  `json:"strays"` // connections on which it sent unsolicited bytes
	Cold          bool    `json:"cold"`   // warming up (slow start)
	Silent        bool    `json:"silent"` // unresponsive: it gets only trial requests
	Out           int     `json:"out"`    // requests in flight
	Bound         float64 `json:"bound"`  // concurrency limit
	LatencyMS     float64 `json:"latency_ms"`
	Connections   int     `json:"connections"`
	Part          float64 `json:"part"`  // this pool's fraction of the endpoint's slow start budget and connections
	Limit         int     `json:"limit"` // maximum of connections from this pool; 0: that of the pool
}
