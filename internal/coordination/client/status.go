package client

// VoterStatus is a voter's state at a moment, as "olivearch promises members" shows it. Times are in milliseconds.
type VoterStatus struct {
	Name          string         `json:"name"`
	ID            string         `json:"id"`
	Cluster       string         `json:"cluster,omitempty"` // none: it waits for the others, or to join
	Role          string         `json:"role"`              // leader, follower, candidate, learner, waiting
	Leader        string         `json:"leader,omitempty"`
	Term          uint64         `json:"term"`
	Applied       uint64         `json:"applied"`
	Committed     uint64         `json:"committed"`
	AgeMS         int64          `json:"age_ms"` // since a quorum confirmed that nothing newer was promised
	ClockMS       uint64         `json:"clock_ms"`
	Level         uint32         `json:"level"`  // of this version
	FeatureLevel  uint32         `json:"raised"` // of the ledger
	UsedBytes     int64          `json:"used_bytes"`
	MaxBytes      int64          `json:"max_bytes"`
	Grants        map[string]int `json:"promises"` // by kind
	Members       []MemberStatus `json:"members"`
	JoiningVoters []JoiningVoter `json:"newcomers,omitempty"`
	Followers     int            `json:"followers"`
	Rejected      uint64         `json:"refused"`
	LastRejected  string         `json:"last_refused,omitempty"`
	DiskMS        float64        `json:"disk_ms"` // the last write's
	Fault         string         `json:"trouble,omitempty"`
}

// MemberStatus is a member as one voter sees it.
type MemberStatus struct {
	Name          string `json:"name"`
	ID            string `json:"id"`
	Address       string `json:"address"`
	Learner       bool   `json:"learner,omitempty"`
	LastContactMS int64  `json:"heard_ms"`         // -1: never
	EntriesBehind uint64 `json:"behind,omitempty"` // entries; the leader knows
}

// JoiningVoter is a process with an empty folder that is not a member yet.
type JoiningVoter struct {
	Name   string `json:"name"`
	ID     string `json:"id"`
	Reason string `json:"why,omitempty"`
}
