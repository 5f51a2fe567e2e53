package live

import (
	"fmt"
	"net/url"
	"slices"
)

// Part selects a part of a view.
type Part struct {
	Pools []string // by name, each once; empty: all
	Nodes string   // AllNodes, UsedNodes or NoNodes; empty: all
}

// Values of Part.Nodes.
const (
	AllNodes  = "all"
	UsedNodes = "used" // in the subset, or with requests in flight, warming up, unresponsive or draining
	NoNodes   = "none"
)

// phaseUp is the phase of a node that is neither draining nor gone.
const phaseUp = "up"

// ParsePart reads a part from the query of a URL: pool=NAME, any number of times, and nodes=all, used or none.
func ParsePart(query string) (p Part, err error) {
	parameters, err := url.ParseQuery(query)
	if err != nil {
		return p, err
	}
	for key, values := range parameters {
		switch key {
		case "pool":
			p.addPools(values)
		case "nodes":
			if len(values) != 1 || !slices.Contains([]string{AllNodes, UsedNodes, NoNodes}, values[0]) {
				return p, fmt.Errorf("nodes is %q, %q or %q, once", AllNodes, UsedNodes, NoNodes)
			}
			p.Nodes = values[0]
		default:
			return p, fmt.Errorf("there is no parameter %.64q; known: pool, nodes", key)
		}
	}
	return p, nil
}

// addPools adds pools that the part does not have yet, in their order.
func (p *Part) addPools(names []string) {
	for _, name := range names {
		if !slices.Contains(p.Pools, name) {
			p.Pools = append(p.Pools, name)
		}
	}
}

// Query returns the query that ParsePart reads this part from.
func (p Part) Query() string {
	parameters := url.Values{}
	for _, name := range p.Pools {
		parameters.Add("pool", name)
	}
	if p.Nodes != "" {
		parameters.Set("nodes", p.Nodes)
	}
	return parameters.Encode()
}

// Of returns a pool with the nodes that are selected. It may change the given pool's slice of nodes.
func (p Part) Of(pool Pool) Pool {
	switch p.Nodes {
	case NoNodes:
		pool.Nodes = []Node{}
	case UsedNodes:
		pool.Nodes = slices.DeleteFunc(pool.Nodes, func(n Node) bool { return !n.isUsed() })
	}
	return pool
}

// isUsed tells whether a node is one of UsedNodes.
func (n *Node) isUsed() bool {
	if n.Member || n.Out != 0 {
		return true
	}
	return n.Cold || n.Silent || n.Phase != phaseUp
}
