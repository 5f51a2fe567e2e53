package endpointlist

import (
	"fmt"
	"net/netip"
	"strings"

	"olivearch/internal/strictyaml"
)

// maxWeight is the largest weight of a node.
const maxWeight = 1e6

// failFunc records what is wrong with the node at an index, or with a field of it: ".address".
type failFunc func(index int, field, format string, args ...any)

// Check records what is wrong with the nodes at a path of a document, and fills in defaults.
func Check(doc *strictyaml.Doc, path string, nodes []Node) {
	checkNodes(nodes, func(index int, field, format string, args ...any) {
		doc.Fail(fmt.Sprintf("%s[%d]%s", path, index, field), format, args...)
	})
}

// checkNodes is Check with a function that records what is wrong. It records one fault of a node at most.
func checkNodes(nodes []Node, fail failFunc) {
	ids := make(map[string]struct{}, len(nodes))
	addresses := make(map[netip.AddrPort]int, len(nodes))
	for index := range nodes {
		node := &nodes[index]
		address, err := netip.ParseAddrPort(node.Address)
		if node.Address == "" {
			fail(index, "", "the node has no address")
			continue
		}
		if err != nil || address.Port() == 0 {
			fail(index, ".address", "%q is not an IP address and a port, such as 10.0.0.7:8080", node.Address)
			continue
		}
		setDefaults(node, address)
		_, duplicate := ids[node.ID]
		other, taken := addresses[address]
		validWeight := node.Weight >= 0 && node.Weight <= maxWeight // not so for NaN
		switch {
		case duplicate:
			fail(index, "", "two nodes have the id %q", node.ID)
		case taken:
			fail(index, ".address", "nodes %q and %q have the same address", nodes[other].ID, node.ID)
		case !validWeight:
			fail(index, ".weight", "the weight is over 0 and at most 1,000,000")
		case node.Phase != PhaseUp && node.Phase != PhaseDraining:
			fail(index, ".phase", "%q is neither up nor draining", node.Phase)
		case strings.ContainsFunc(node.ID, isControl):
			fail(index, "", "the id has a control character")
		}
		ids[node.ID] = struct{}{}
		addresses[address] = index
	}
}

// setDefaults fills in what may be left out, and writes the address in its canonical form: two spellings of one address
// are one node.
func setDefaults(node *Node, address netip.AddrPort) {
	canonical := address.String()
	if canonical != node.Address { // else the string is kept, which saves memory
		node.Address = canonical
	}
	if node.ID == "" {
		node.ID = node.Address
	}
	if node.Weight == 0 && node.Phase != PhaseDraining {
		node.Weight = 1
	}
	if node.Phase == "" {
		node.Phase = PhaseUp
	}
}

func isControl(r rune) bool { return r < ' ' }
