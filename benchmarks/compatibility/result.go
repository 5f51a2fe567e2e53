package main

// result is what one run has shown. It is printed as one line of JSON.
type result struct {
	Base        string             `json:"base"`         // commit
	WorkingTree string             `json:"working_tree"` // commit, with changedSuffix if files differ from it
	HotRestarts []hotRestartResult `json:"hot_restarts"`
	Clusters    []clusterResult    `json:"clusters"`
	Seconds     float64            `json:"seconds"` // without the builds
	Holds       bool               `json:"holds"`
}

// check is one statement about the two versions.
type check struct {
	Name    string `json:"name"`
	Holds   bool   `json:"holds"`
	Problem string `json:"problem,omitempty"` // why it does not hold
}

// checklist is the checks of one scenario, in the order in which they were made.
type checklist []check

// add notes a check, which holds if there is no error. It returns whether it holds.
func (c *checklist) add(name string, err error) bool {
	one := check{Name: name, Holds: err == nil}
	if err != nil {
		one.Problem = err.Error()
	}
	*c = append(*c, one)
	return one.Holds
}

// hold tells whether checks were made and all of them hold.
func (c checklist) hold() bool {
	for _, one := range c {
		if !one.Holds {
			return false
		}
	}
	return len(c) > 0
}

// allHold tells whether every scenario ran and every check holds.
func (r result) allHold() bool {
	for _, restart := range r.HotRestarts {
		if !restart.Checks.hold() {
			return false
		}
	}
	for _, formed := range r.Clusters {
		if !formed.Checks.hold() {
			return false
		}
	}
	return len(r.HotRestarts) > 0 && len(r.Clusters) > 0
}
