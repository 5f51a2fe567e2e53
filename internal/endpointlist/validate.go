package endpointlist

import (
	"fmt"
	"net/netip"
	"strings"

	"olivearch/internal/strictyaml"
)

// maxWeight is the largest weight of a node.
const maxWeight = 1e6

// failFunc records an error of the node at an index, or of one of its fields: ".address" for example. field is empty
// for an error of the whole node.
type failFunc func(index int, field, format string, args ...any)

// Check records the errors of the nodes at a path of a document in doc, and sets the defaults of omitted fields.
func Check(doc *strictyaml.Doc, path string, nodes []Node) {
	checkNodes(nodes, func(index int, field, format string, args ...any) {
		doc.Fail(fmt.Sprintf("%s[%d]%s", path, index, field), format, args...)
	})
}

// checkNodes checks nodes and sets their defaults. It calls fail at most once for each node.
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
			fail(index, ".address",
				"%q is not an IP address and a port, such as 10.0.0.7:8080", node.Address)
			continue
		}
		setDefaults(node, address)
		_, duplicate := ids[node.ID]
		other, taken := addresses[address]
		validWeight := node.Weight >= 0 && node.Weight <= maxWeight // false for NaN
		switch {
		case duplicate:
			fail(index, "", "two nodes have the id %q", node.ID)
		case taken:
			fail(index, ".address", "nodes %q and %q have the same address", nodes[other].ID, node.ID)
		case !validWeight:
			fail(index, ".weight", "the weight must be over 0 and at most 1,000,000")
		case node.Phase != PhaseUp && node.Phase != PhaseDraining:
			fail(index, ".phase", "%q is neither up nor draining", node.Phase)
		case strings.ContainsFunc(node.ID, isControl):
			fail(index, "", "the id has a control character")
		}
		ids[node.ID] = struct{}{}
		addresses[address] = index
	}
}

// setDefaults sets the defaults of omitted fields. It replaces the address by its canonical form, so that two spellings
// of one address are recognised as the same.
func setDefaults(node *Node, address netip.AddrPort) {
	canonical := address.String()
	if canonical != node.Address { // otherwise keep the old string, which saves memory
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
