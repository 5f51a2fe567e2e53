package main

import "context"

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

// add notes a check, which holds if there is no error. It reports whether it holds.
func (c *checklist) add(name string, err error) bool {
	added := check{Name: name, Holds: err == nil}
	if err != nil {
		added.Problem = err.Error()
	}
	*c = append(*c, added)
	return added.Holds
}

// step is a named part of a scenario. What comes after a failed one is not run.
type step struct {
	name string
	run  func(ctx context.Context) error
}

// runSteps runs steps until one fails.
func (c *checklist) runSteps(ctx context.Context, steps []step) {
	for _, part := range steps {
		if !c.add(part.name, part.run(ctx)) {
			return
		}
	}
}

// hold reports whether checks were made and all of them hold.
func (c checklist) hold() bool {
	for _, item := range c {
		if !item.Holds {
			return false
		}
	}
	return len(c) > 0
}

// allHold reports whether every scenario ran and every check holds.
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
