package membership

import (
	"fmt"
	"maps"
	"slices"

	"olivearch/internal/coordination/state"
)

// VoterReport is what the process of a voter says about itself.
type VoterReport struct {
	Name    string
	ID      uint64
	Cluster uint64 // 0: its data folder belongs to no cluster yet
	Level   uint32 // the highest feature level that its version knows
}

// Bootstrap decides whether the process with the name self starts a new cluster, and with which members. It starts
// one if it comes first by name of the configured voters (name -> address), and all of them have reported, under
// names and ids of their own, and belong to no cluster. So one that has been a member keeps a second cluster from
// being started. If the process does not start a cluster, members is nil and reason says why, for people.
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
