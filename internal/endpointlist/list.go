// Package nodelist keeps the lists of nodes that come from files or stand in the configuration. A list is checked whole
// before it counts: a torn or bad one changes nothing.
package endpointlist

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"olivearch/internal/strictyaml"
)

// maxFileSize bounds a list's file, in bytes.
const maxFileSize = 8 << 20

// Phase is what a list says of a node.
type Phase string

// The phases. A node that is not listed any more is gone.
const (
	Up       Phase = "up"
	Draining Phase = "draining" // finishes what it has, wants nothing new
)

// Node is an entry of a list.
type Node struct {
	// Name of the node; it outlives restarts. The address if it is left out.
	ID string `yaml:"id,omitempty" json:"id,omitempty"`
	// IP address and port: names are not looked up.
	Address string `yaml:"address" json:"address"`
	// Data centre or the like.
	Zone string `yaml:"zone,omitempty" json:"zone,omitempty"`
	// Nodes of one cell drop each other's repeats of keyed requests.
	Cell int `yaml:"cell,omitempty" json:"cell,omitempty"`
	// Size, compared with the others; 1 if it is left out.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// up (also if it is left out) or draining.
	Phase Phase `yaml:"phase,omitempty" json:"phase,omitempty" jsonschema:"enum=up,enum=draining"`
	// When the node last started (RFC 3339): one that has just started is cold. Left out: long ago.
	Started time.Time `yaml:"started,omitempty" json:"started,omitzero"`
}

// List is a list of nodes, complete.
type List struct {
	Nodes []Node `yaml:"nodes" json:"nodes"`
}

// Check notes what is wrong with nodes that stand at a path of a document, and fills in what may be left out.
func Check(d *strictyaml.Doc, path string, nodes []Node) {
	checkNodes(nodes, func(i int, field, format string, args ...any) {
		d.Fail(fmt.Sprintf("%s[%d]%s", path, i, field), format, args...)
	})
}

// checkNodes is Check with a function that notes what is wrong with the node of a number, or a field of it: ".address".
func checkNodes(nodes []Node, fail func(i int, field, format string, args ...any)) {
	ids, addresses := make(map[string]struct{}, len(nodes)), make(map[netip.AddrPort]int, len(nodes))
	for i := range nodes {
		n := &nodes[i]
		address, err := netip.ParseAddrPort(n.Address)
		switch {
		case n.Address == "":
			fail(i, "", "the node has no address")
			continue
		case err != nil || address.Port() == 0:
			fail(i, ".address", "%q is not an IP address and a port, such as 10.0.0.7:8080", n.Address)
			continue
		}
		if text := address.String(); text != n.Address { // two spellings of one address are one node
			n.Address = text
		}
		if n.ID == "" {
			n.ID = n.Address
		}
		if n.Weight == 0 && n.Phase != Draining {
			n.Weight = 1
		}
		if n.Phase == "" {
			n.Phase = Up
		}
		_, named := ids[n.ID]
		other, taken := addresses[address]
		switch {
		case named:
			fail(i, "", "two nodes have the id %q", n.ID)
		case taken:
			fail(i, ".address", "nodes %q and %q have the same address", nodes[other].ID, n.ID)
		case !(n.Weight >= 0 && n.Weight <= 1e6):
			fail(i, ".weight", "the weight is over 0 and at most 1,000,000")
		case n.Phase != Up && n.Phase != Draining:
			fail(i, ".phase", "%q is neither up nor draining", n.Phase)
		case strings.ContainsFunc(n.ID, func(r rune) bool { return r < ' ' }):
			fail(i, "", "the id has a control character")
		}
		ids[n.ID], addresses[address] = struct{}{}, i
	}
}

// Parse reads a list from the text of a file.
func Parse(file string, text []byte) (List, error) {
	if l, ok := parseSimple(text); ok {
		return l, nil
	}
	return parseAny(file, text)
}

// parseAny reads a list of any form.
func parseAny(file string, text []byte) (List, error) {
	var l List
	d := strictyaml.Decode(file, text, &l)
	if d.Err() == nil && l.Nodes == nil { // a file cut behind its first key must not remove every node
		d.Fail("", `no list "nodes" stands there; to remove all nodes, write "nodes: []"`)
	}
	Check(d, "nodes", l.Nodes)
	return l, d.Err()
}

// Load reads a file's list.
func Load(path string) (List, error) {
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return List{}, err
	}
	return Parse(path, text)
}
