package client

// ServerStatus is the status of a server at one moment, as "olivearch promises members" shows it. It is sent as JSON,
// with the keys of the first version.
type ServerStatus struct {
	Name          string         `json:"name"`
	ID            string         `json:"id"`                // the Raft ID, in hexadecimal
	Cluster       string         `json:"cluster,omitempty"` // empty: the server waits for the others, or to join
	Role          string         `json:"role"`              // leader, follower, candidate, learner or waiting
	Leader        string         `json:"leader,omitempty"`
	Term          uint64         `json:"term"`
	Applied       uint64         `json:"applied"`   // the last log index that was applied
	Committed     uint64         `json:"committed"` // the last log index that was committed
	AgeMS         int64          `json:"age_ms"`    // time since a quorum confirmed that nothing newer is committed
	ClockMS       uint64         `json:"clock_ms"`  // the cluster clock
	Level         uint32         `json:"level"`     // the newest feature level of the server's version
	FeatureLevel  uint32         `json:"raised"`    // the cluster's feature level
	UsedBytes     int64          `json:"used_bytes"`
	MaxBytes      int64          `json:"max_bytes"`
	Grants        map[string]int `json:"promises"` // the number of grants by kind
	Members       []MemberStatus `json:"members"`
	JoiningVoters []JoiningVoter `json:"newcomers,omitempty"`
	Followers     int            `json:"followers"`              // connected followers
	Rejected      uint64         `json:"refused"`                // commands that the state machine rejected
	LastRejected  string         `json:"last_refused,omitempty"` // reason of the last rejection
	DiskMS        float64        `json:"disk_ms"`                // duration of the last write
	Fault         string         `json:"trouble,omitempty"`      // empty: none
}

// MemberStatus is a member of the cluster as one server sees it.
type MemberStatus struct {
	Name          string `json:"name"`
	ID            string `json:"id"`
	Address       string `json:"address"`
	Learner       bool   `json:"learner,omitempty"`
	LastContactMS int64  `json:"heard_ms"`         // time since its last message; -1: none yet
	EntriesBehind uint64 `json:"behind,omitempty"` // number of log entries; only the leader knows it
}

// JoiningVoter is a server with an empty folder that wants to join the cluster.
type JoiningVoter struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Reason string `json:"why,omitempty"` // why it has not been added yet
}
