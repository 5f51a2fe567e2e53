// Package live is the form of the live view: what the admin listener answers as JSON and "olivearch top" shows as a table.
package live

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// View is the state of a process at a moment. Times are in milliseconds.
type View struct {
	Version   string     `json:"version"`
	UptimeMS  int64      `json:"uptime_ms"`
	Reloads   int        `json:"reloads"` // configurations taken since the start
	Listeners []Listener `json:"listeners"`
	Pools     []Pool     `json:"pools"`
	Promises  *Promises  `json:"promises,omitempty"` // none: the process takes part in no ledger
}

// Promises is the ledger of promises as this process knows it.
type Promises struct {
	Cluster  string         `json:"cluster"`
	Voter    string         `json:"voter,omitempty"` // that it follows; none: none can be reached, and what it has holds
	Leader   string         `json:"leader,omitempty"`
	Voters   int            `json:"voters"`
	Up       int            `json:"up"` // of these, as the leader hears them; 0: not known here
	Revision uint64         `json:"revision"`
	AgeMS    int64          `json:"age_ms"` // since a quorum confirmed that nothing newer was promised; -1: it never has
	Words    map[string]int `json:"words"`  // of staff's, by kind
	Trouble  string         `json:"trouble,omitempty"`
}

// Ages are told up to this; one beyond it is no age.
const Ages = 900 * time.Hour

func (p *Promises) write(w io.Writer) {
	age := "never confirmed"
	if p.AgeMS >= 0 {
		age = fmt.Sprintf("confirmed %.1f s ago", float64(p.AgeMS)/1000)
	}
	follows := "follows " + p.Voter
	if p.Voter == "" {
		follows = "NO VOTER REACHED (" + p.Trouble + ")"
	}
	fmt.Fprintf(w, "promises: %s, leader %s, %d voters, revision %d, %s; words %v\n", follows, cmp.Or(p.Leader, "unknown"), p.Voters, p.Revision, age, p.Words)
}

// Listener is an address for clients.
type Listener struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"`
}

// Pool is one pool with its list and nodes.
type Pool struct {
	Name        string `json:"name"`
	Open        int    `json:"open"`  // requests that it holds, sent or waiting
	Queue       int    `json:"queue"` // at most
	Held        int    `json:"held"`  // of these, waiting for a turn
	Connections int    `json:"connections"`
	Limit       int    `json:"limit"`   // of connections
	Tunnels     int    `json:"tunnels"` // connections that have changed their protocol
	Served      uint64 `json:"served"`
	Refused     uint64 `json:"refused"`
	Failed      uint64 `json:"failed"`
	TurnedAway  uint64 `json:"turned_away"` // since the queue was full; not among the refused
	ListAgeMS   int64  `json:"list_age_ms"` // since the last good word from the list's source
	HoldMS      int64  `json:"hold_ms"`     // how old the list may become; 0: any age
	Expired     bool   `json:"expired"`     // it is older: all is refused
	Trouble     string `json:"trouble,omitempty"`
	Nodes       []Node `json:"nodes"`
}

// Where a node's readings of utilisation come from.
const (
	Reported  = "reported"  // by the node, in answers or to probes
	Estimated = "estimated" // by its latency: it answers and reports nothing
	Unknown   = "unknown"   // there are none yet
)

// Node is what one pool's module knows of one node.
type Node struct {
	ID         string  `json:"id"`
	Address    string  `json:"address"`
	Phase      string  `json:"phase"` // up, draining or gone
	Member     bool    `json:"member"`
	Share      float64 `json:"share"` // of the pool's requests
	Cut        float64 `json:"cut"`   // what cuts have left of its share
	Mean       float64 `json:"mean"`  // of the utilisation readings
	Upper      float64 `json:"upper"`
	Lower      float64 `json:"lower"`
	Area       float64 `json:"area"` // band gap integrated over the period, so far
	Readings   int     `json:"readings"`
	Load       string  `json:"load"`       // where readings come from: reported, estimated or unknown
	Unreadable uint64  `json:"unreadable"` // load reports that could not be read
	// Why the last of these could not.
	UnreadableWhy string  `json:"unreadable_why,omitempty"`
	Strays        uint64  `json:"strays"` // connections on which it sent what nobody had asked for
	Cold          bool    `json:"cold"`
	Silent        bool    `json:"silent"` // owes every answer: trials only
	Out           int     `json:"out"`
	Bound         float64 `json:"bound"`
	LatencyMS     float64 `json:"latency_ms"`
	Connections   int     `json:"connections"`
	Part          float64 `json:"part"`  // of the node's cold budget and connections that is this pool's
	Limit         int     `json:"limit"` // of connections from this pool; 0: the pool's
}

// Write prints a view as a table.
func (v *View) Write(w io.Writer) error {
	for _, l := range v.Listeners {
		fmt.Fprintf(w, "listener %s at %s: %d of %d connections\n", l.Name, l.Address, l.Connections, l.Limit)
	}
	if v.Promises != nil {
		v.Promises.write(w)
	}
	for _, p := range v.Pools {
		fmt.Fprintf(w, "\npool %s: %d of %d open, %d held, %d of %d connections, %d tunnels, %d served, %d refused, %d failed, %d turned away; list %.1f s old%s\n",
			p.Name, p.Open, p.Queue, p.Held, p.Connections, p.Limit, p.Tunnels, p.Served, p.Refused, p.Failed, p.TurnedAway, float64(p.ListAgeMS)/1000, p.listNote())
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "node\tphase\tshare\tcut\tlower\tmean\tupper\tarea\tout\tbound\tms\tconns\tpart\tnotes\t")
		nodes := slices.SortedFunc(slices.Values(p.Nodes), func(a, b Node) int { return cmp.Compare(a.ID, b.ID) })
		for _, n := range nodes {
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%.1f\t%.1f\t%d\t%.2f\t%s\t\n", n.ID, n.Phase, n.Share, n.Cut, n.Lower, n.Mean,
				n.Upper, n.Area, n.Out, n.Bound, n.LatencyMS, n.Connections, n.Part, n.notes())
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Pool) listNote() string {
	switch {
	case p.Expired:
		return ", EXPIRED: all is refused (" + cmp.Or(p.Trouble, "its source is silent") + ")"
	case p.Trouble != "":
		return " (" + p.Trouble + ")"
	}
	return ""
}

func (n *Node) notes() string {
	var notes []string
	for _, x := range []struct {
		on   bool
		text string
	}{{n.Cold, "cold"}, {n.Silent, "silent"}, {!n.Member, "not used"}} {
		if x.on {
			notes = append(notes, x.text)
		}
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
