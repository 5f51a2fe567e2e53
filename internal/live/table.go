package live

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

const tableHeader = "node\tphase\tshare\tcut\tlower\tmean\tupper\tarea\tout\tbound\tms\tconns\tpart\tnotes\t"

// Write prints the view as text: the listeners, the coordination cluster if there is one, and for each pool a table of
// its endpoints.
func (v *View) Write(w io.Writer) error {
	for _, l := range v.Listeners {
		fmt.Fprintf(w, "listener %s at %s: %d of %d connections\n", l.Name, l.Address, l.Connections, l.Limit)
	}
	if v.Coordination != nil {
		v.Coordination.write(w)
	}
	for i := range v.Pools {
		if err := v.Pools[i].write(w); err != nil {
			return err
		}
	}
	return nil
}

func (p *Coordination) write(w io.Writer) {
	age := "never confirmed"
	if p.AgeMS >= 0 {
		age = fmt.Sprintf("confirmed %.1f s ago", float64(p.AgeMS)/1000)
	}
	voter := "follows " + p.Voter
	if p.Voter == "" {
		voter = "NO VOTER REACHED (" + p.FollowerFault + ")"
	}
	fmt.Fprintf(w, "promises: %s, leader %s, %d voters, revision %d, %s; words %v\n",
		voter, cmp.Or(p.Leader, "unknown"), p.Voters, p.Revision, age, p.OverridesByKind)
}

// write prints the pool's state and the table of its endpoints, sorted by ID.
func (p *Pool) write(w io.Writer) error {
	fmt.Fprintf(w, "\npool %s: %d of %d open, %d held, %d of %d connections, %d tunnels, ",
		p.Name, p.Open, p.Queue, p.Held, p.Connections, p.Limit, p.Tunnels)
	fmt.Fprintf(w, "%d served, %d refused, %d failed, %d turned away; list %.1f s old%s\n",
		p.Served, p.Refused, p.Failed, p.TurnedAway, float64(p.ListAgeMS)/1000, p.listNote())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, tableHeader)
	nodes := slices.SortedFunc(slices.Values(p.Nodes), func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
	for i := range nodes {
		nodes[i].writeRow(table)
	}
	return table.Flush()
}

// listNote returns the fault of the pool's endpoint list, or an empty string if there is none.
func (p *Pool) listNote() string {
	switch {
	case p.Expired:
		return ", EXPIRED: all is refused (" + cmp.Or(p.Trouble, "its source is silent") + ")"
	case p.Trouble != "":
		return " (" + p.Trouble + ")"
	}
	return ""
}

// writeRow prints the endpoint's row of the table, with the columns of tableHeader.
func (n *Node) writeRow(w io.Writer) {
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%.1f\t%d\t%.2f\t%s\t\n",
		n.ID, n.Phase, n.Share, n.Cut, n.Lower, n.Mean, n.Upper, n.Area,
		n.Out, n.Bound, n.LatencyMS, n.Connections, n.Part, n.notes())
}

// notes returns the endpoint's conditions that have no column of their own, separated by commas.
func (n *Node) notes() string {
	var notes []string
	if n.Cold {
		notes = append(notes, "cold")
	}
	if n.Silent {
		notes = append(notes, "silent")
	}
	if !n.Member {
		notes = append(notes, "not used")
	}
	if n.Load != Reported {
		notes = append(notes, "load "+n.Load)
	}
	if n.Unreadable > 0 {
		notes = append(notes, fmt.Sprintf("%d reports unreadable (%s)", n.Unreadable, n.UnreadableWhy))
	}
	if n.Strays > 0 {
		notes = append(notes, fmt.Sprintf("%d strays", n.Strays))
	}
	return strings.Join(notes, ", ")
}
