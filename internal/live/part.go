package live

import (
	"fmt"
	"net/url"
	"slices"
)

// Part selects which pools and endpoints a live view contains.
type Part struct {
	Pools []string // names of pools, each once; empty: all pools
	Nodes string   // AllNodes, UsedNodes or NoNodes; empty: AllNodes
}

// Values of Part.Nodes.
const (
	AllNodes  = "all"
	UsedNodes = "used" // in the subset, or with requests in flight, warming up, unresponsive or draining
	NoNodes   = "none"
)

// phaseUp is the value of Node.Phase for an endpoint that is neither draining nor removed.
const phaseUp = "up"

// ParsePart parses the query of a URL: pool=NAME any number of times, and nodes=all, nodes=used or nodes=none at most
// once. It returns an error for any other parameter or value.
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

// addPools appends the names that the part does not contain yet, in the given order.
func (p *Part) addPools(names []string) {
	for _, name := range names {
		if !slices.Contains(p.Pools, name) {
			p.Pools = append(p.Pools, name)
		}
	}
}

// Query returns the URL query from which ParsePart returns this part.
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

// Of returns the pool with only the selected endpoints. It may modify the slice of the given pool.
func (p Part) Of(pool Pool) Pool {
	switch p.Nodes {
	case NoNodes:
		pool.Nodes = []Node{}
	case UsedNodes:
		pool.Nodes = slices.DeleteFunc(pool.Nodes, func(n Node) bool { return !n.isUsed() })
	}
	return pool
}

// isUsed reports whether UsedNodes selects this endpoint.
func (n *Node) isUsed() bool {
	if n.Member || n.Out != 0 {
		return true
	}
	return n.Cold || n.Silent || n.Phase != phaseUp
}
