// Package live has the form of the live view: the admin listener answers it as JSON, and "olivearch top" shows it as a
// table.
package live

import "time"

// View is the state of a process at a moment. Times are in milliseconds.
type View struct {
	Version   string     `json:"version"`
	UptimeMS  int64      `json:"uptime_ms"`
	Reloads   int        `json:"reloads"` // configurations applied since the first
	Listeners []Listener `json:"listeners"`
	Pools     []Pool     `json:"pools"`
	Promises  *Promises  `json:"promises,omitempty"` // nil: the process follows no coordination cluster
}

// Promises is the state of the coordination cluster as this process knows it.
type Promises struct {
	Cluster  string         `json:"cluster"`
	Voter    string         `json:"voter,omitempty"` // that it follows; empty: none is reachable, and the last state holds
	Leader   string         `json:"leader,omitempty"`
	Voters   int            `json:"voters"`
	Up       int            `json:"up"` // voters that the leader reaches; 0: not known here
	Revision uint64         `json:"revision"`
	AgeMS    int64          `json:"age_ms"` // since a quorum confirmed that the state is the latest; -1: never
	Words    map[string]int `json:"words"`  // operators' overrides by kind
	Trouble  string         `json:"trouble,omitempty"`
}

// MaxAge is the longest age that is shown. A longer one means that there was no confirmation yet.
const MaxAge = 900 * time.Hour

// Listener is an address for clients.
type Listener struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"`
}

// Pool is one pool with its list and nodes.
type Pool struct {
	Name        string `json:"name"`
	Open        int    `json:"open"`  // requests in flight or queued
	Queue       int    `json:"queue"` // limit of open
	Held        int    `json:"held"`  // of the open ones, queued
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"`   // limit of connections
	Tunnels     int    `json:"tunnels"` // connections that have changed their protocol
	Served      uint64 `json:"served"`
	Refused     uint64 `json:"refused"`
	Failed      uint64 `json:"failed"`
	TurnedAway  uint64 `json:"turned_away"` // rejected since the queue was full; not among the refused
	ListAgeMS   int64  `json:"list_age_ms"` // since the list's source last confirmed it
	HoldMS      int64  `json:"hold_ms"`     // maximum age of the list; 0: none
	Expired     bool   `json:"expired"`     // the list is older, so all requests are refused
	Trouble     string `json:"trouble,omitempty"`
	Nodes       []Node `json:"nodes"`
}

// Sources of a node's utilisation readings.
const (
	Reported  = "reported"  // by the node, in responses or health checks
	Estimated = "estimated" // from its latency: its responses have no reports
	Unknown   = "unknown"   // there are none yet
)

// Node is what the balancer of one pool knows of one node.
type Node struct {
	ID         string  `json:"id"`
	Address    string  `json:"address"`
	Phase      string  `json:"phase"`  // up, draining or gone
	Member     bool    `json:"member"` // in the subset that this balancer uses
	Share      float64 `json:"share"`  // of the pool's requests
	Cut        float64 `json:"cut"`    // factor that cuts have left of its share
	Mean       float64 `json:"mean"`   // of the utilisation readings
	Upper      float64 `json:"upper"`
	Lower      float64 `json:"lower"`
	Area       float64 `json:"area"` // of the band gap, integrated over the period so far
	Readings   int     `json:"readings"`
	Load       string  `json:"load"`       // Reported, Estimated or Unknown
	Unreadable uint64  `json:"unreadable"` // load reports that could not be read
	// UnreadableWhy is the error of the last of these.
	UnreadableWhy string  `json:"unreadable_why,omitempty"`
	Strays        uint64  `json:"strays"` // connections on which it sent unsolicited data
	Cold          bool    `json:"cold"`   // warming up (slow start)
	Silent        bool    `json:"silent"` // unresponsive: it gets trial requests only
	Out           int     `json:"out"`    // requests in flight
	Bound         float64 `json:"bound"`  // concurrency limit
	LatencyMS     float64 `json:"latency_ms"`
	Connections   int     `json:"connections"`
	Part          float64 `json:"part"`  // this pool's part of the node's slow start budget and connections
	Limit         int     `json:"limit"` // of connections from this pool; 0: that of the pool
}
