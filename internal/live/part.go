package live

import (
	"fmt"
	"net/url"
	"slices"
)

// Part says what of a view is wanted.
type Part struct {
	Pools []string // by name; none: all
	Nodes string   // AllNodes, UsedNodes or NoNodes; empty: all
}

// The nodes that a part has.
const (
	AllNodes  = "all"
	UsedNodes = "used" // those that this balancer uses, and others with something out, cold, silent or draining
	NoNodes   = "none"
)

// ParsePart reads the query of a call: pool=NAME, any number of times, and nodes=all, used or none.
func ParsePart(query string) (p Part, err error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return p, err
	}
	for key, x := range values {
		switch {
		case key == "pool":
			for _, name := range x { // each once, in the order asked for
				if !slices.Contains(p.Pools, name) {
					p.Pools = append(p.Pools, name)
				}
			}
		case key == "nodes" && len(x) == 1 && slices.Contains([]string{AllNodes, UsedNodes, NoNodes}, x[0]):
			p.Nodes = x[0]
		case key == "nodes":
			return p, fmt.Errorf("nodes is %q, %q or %q, once", AllNodes, UsedNodes, NoNodes)
		default:
			return p, fmt.Errorf("there is no parameter %.64q; known: pool, nodes", key)
		}
	}
	return p, nil
}

// Query is what ParsePart reads.
func (p Part) Query() string {
	v := url.Values{}
	for _, name := range p.Pools {
		v.Add("pool", name)
	}
	if p.Nodes != "" {
		v.Set("nodes", p.Nodes)
	}
	return v.Encode()
}

// Of returns what is wanted of a pool.
func (p Part) Of(x Pool) Pool {
	switch p.Nodes {
	case NoNodes:
		x.Nodes = []Node{}
	case UsedNodes:
		x.Nodes = slices.DeleteFunc(x.Nodes, func(n Node) bool {
			return !n.Member && n.Out == 0 && !n.Cold && !n.Silent && n.Phase == "up"
		})
	}
	return x
}
