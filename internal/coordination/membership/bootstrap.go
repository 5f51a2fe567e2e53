package membership

import (
	"fmt"
	"maps"
	"slices"

	"olivearch/internal/coordination/state"
)

// VoterReport is the information that the process of a voter sends about itself.
type VoterReport struct {
	Name    string
	ID      uint64 // of the member
	Cluster uint64 // id of the cluster that its data folder belongs to; 0: none yet
	Level   uint32 // highest feature level that its version knows
}

// Bootstrap decides whether the process named self starts a new cluster, and returns the members of that cluster. The
// process starts a cluster if its name sorts first among the configured voters (name -> address), and all voters have
// reported the configured name, a distinct id and no cluster. A voter that already belongs to a cluster thus prevents
// a second one. If the process does not start a cluster, members is nil and reason is a human-readable explanation.
func Bootstrap(
	self string, addresses map[string]string, reports map[string]VoterReport,
) (members []state.Member, reason string) {
	names := slices.Sorted(maps.Keys(addresses))
	if len(names) == 0 || names[0] != self {
		return nil, "another voter comes first by name, and begins"
	}
	nameByID := map[uint64]string{}
	for _, name := range names {
		report, ok := reports[name]
		switch {
		case !ok:
			return nil, fmt.Sprintf("%s is not there yet", name)
		case report.Name != name:
			return nil, fmt.Sprintf("at the address of %s there is %s", name, report.Name)
		case report.Cluster != 0:
			return nil, fmt.Sprintf("%s belongs to cluster %x already", name, report.Cluster)
		case nameByID[report.ID] != "":
			return nil, fmt.Sprintf("%s and %s are one member: a folder was copied", nameByID[report.ID], name)
		}
		nameByID[report.ID] = name
		members = append(members, state.Member{ID: report.ID, Name: name, Address: addresses[name]})
	}
	return members, ""
}
