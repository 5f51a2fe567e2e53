// Package script is what a proving ground plays: how many processes of the program, the nodes and clients round them, the load,
// which faults come when and where, and what must hold. It is read from YAML; every error names file, line and column.
package script

import (
	"fmt"
	"time"

	"olivearch/internal/config"
)

// File is one script.
type File struct {
	// Name of the script: letters, digits and hyphens.
	Name string `yaml:"name"`
	// What it shows, in a sentence.
	About string `yaml:"about,omitempty"`
	// Seed of arrivals, work and whatever faults leave to chance; 1 if left out.
	Seed int `yaml:"seed,omitempty" jsonschema:"minimum=1"`
	// How long clients ask. Faults count from its start.
	Length config.Duration `yaml:"length"`
	// The processes of the program.
	Balancers Balancers `yaml:"balancers"`
	// The nodes behind them, all in one process.
	Nodes Nodes `yaml:"nodes"`
	// Processes that talk to each other, each with every other, over TCP and UDP: a stand-in, as the program's own do not talk.
	Peers Peers `yaml:"peers,omitempty"`
	// Voters of the ledger of promises; left out: none.
	Voters Voters `yaml:"voters,omitempty"`
	// The service that tells the balancers which nodes there are.
	List List `yaml:"list,omitempty"`
	// What clients ask.
	Load Load `yaml:"load"`
	// What goes wrong, and when.
	Faults []Fault `yaml:"faults,omitempty"`
	// What must hold; breaches none is meant in any case.
	Bounds []Bound `yaml:"bounds,omitempty"`
	// Pieces of streams and datagrams that the ground's relay moves in a second at most; left out: as many as it can. It shows what
	// a ground looks like that is itself too slow.
	Relay float64 `yaml:"relay,omitempty" jsonschema:"minimum=0"`
}

// Balancers are processes of the program, b-0, b-1 and so on.
type Balancers struct {
	// How many.
	Count int `yaml:"count" jsonschema:"minimum=1"`
	// Over how long their start is spread; left out: all start at once.
	Start config.Duration `yaml:"start,omitempty"`
	// What each may use of memory; 64MiB if left out.
	Memory config.Size `yaml:"memory,omitempty"`
	// Descriptors that each may hold; 512 if left out.
	Descriptors int `yaml:"descriptors,omitempty" jsonschema:"minimum=64"`
	// Names of zones, given out in turn to balancers and nodes; left out: one zone.
	Zones []string `yaml:"zones,omitempty"`
	// How they are run: platform (told by RELAY_CONFIG; also if left out) or serve ("olivearch serve", which keeps the last list on
	// its disk).
	Run string `yaml:"run,omitempty" jsonschema:"enum=platform,enum=serve"`
	// For platform: which list a process starts with: last (what the one before it was told; also if left out), first (that of the ground's
	// start, however old) or none.
	Known string `yaml:"known,omitempty" jsonschema:"enum=last,enum=first,enum=none"`
}

// Nodes are stand-ins, n-0, n-1 and so on.
type Nodes struct {
	// How many.
	Count int `yaml:"count" jsonschema:"minimum=1"`
	// Requests that each works on at once; 2 if left out.
	Cores int `yaml:"cores,omitempty" jsonschema:"minimum=1"`
	// Requests that wait for a core; one more is turned away unseen. 64 if left out.
	Queue int `yaml:"queue,omitempty" jsonschema:"minimum=1"`
	// How often a node's report of its use is made anew; 300ms if left out.
	Reports config.Duration `yaml:"reports,omitempty"`
	// How old a report is when it is told; left out: it tells of the time up to now.
	Late config.Duration `yaml:"late,omitempty"`
	// Names of zones, given out in turn to the nodes, one as often as it stands here; those of the balancers if left out.
	Zones []string `yaml:"zones,omitempty"`
	// Part of its speed at which a node starts; 0.33 if left out.
	ColdFrom float64 `yaml:"cold_from,omitempty" jsonschema:"maximum=1"`
	// Time until it is warm; 9s if left out.
	RampTime config.Duration `yaml:"ramp_time,omitempty"`
	// A cold node that is sent more than this multiple of what it can do, by all balancers together, falls over; 3 if left out.
	TipMultiple float64 `yaml:"tip_multiple,omitempty"`
	// Within this time; 1.5s if left out.
	TipAfter config.Duration `yaml:"tip_after,omitempty"`
}

// Peers are stand-ins, p-0, p-1 and so on, that number what they send each other and count what comes.
type Peers struct {
	// How many.
	Count int `yaml:"count" jsonschema:"minimum=0"`
	// Messages a second from each to each other, half of them datagrams; 20 if left out.
	Rate float64 `yaml:"rate,omitempty"`
}

// Voters are processes of olivearch-coordinator, v-0, v-1 and so on, and clients that ask them for promises and readings. All that these ask and are
// answered is checked at the end: as one history that could have been (linearizability), and by what each kind of promise means.
type Voters struct {
	// How many: 1, 3, 5 or 7; left out: none.
	Count int `yaml:"count" jsonschema:"minimum=0"`
	// After how long without a word one may be replaced by an empty one; 2s if left out.
	ReplaceAfter config.Duration `yaml:"replace_after,omitempty"`
	// Disks that have a promise before it is answered; a majority if left out.
	Copies int `yaml:"copies,omitempty" jsonschema:"minimum=0"`
	// Clients whose history is checked; 6 if left out.
	Clients int `yaml:"clients,omitempty" jsonschema:"minimum=0"`
	// Calls a second of each of these; 20 if left out.
	Rate float64 `yaml:"rate,omitempty"`
	// Further clients that ask as fast as they are answered, of which no promise may be lost; left out: none.
	Flood int `yaml:"flood,omitempty" jsonschema:"minimum=0"`
	// A rule that the voters of a test build break: early (an answer before the copies), amnesia (an empty disk votes under its old id), unfenced
	// (leases are given whatever their fence), unsynced (what is written is not synced).
	Plant string `yaml:"plant,omitempty" jsonschema:"enum=early,enum=amnesia,enum=unfenced,enum=unsynced"`
}

// List is the list service.
type List struct {
	// How late it tells of what happened to a node; 500ms if left out.
	Notice config.Duration `yaml:"notice,omitempty"`
	// Share of calls that it answers, the others fail; 1 if left out.
	Answers float64 `yaml:"answers,omitempty" jsonschema:"maximum=1"`
}

// Load is what clients ask, at random times whatever becomes of those before.
type Load struct {
	// Requests a second at each balancer.
	Rate float64 `yaml:"rate"`
	// Balancers that get several times the rate; left out: none does.
	Heavy Heavy `yaml:"heavy,omitempty"`
	// Whether a request may run more than once: unsafe (also if left out), keyed or safe.
	Repeat string `yaml:"repeat,omitempty" jsonschema:"enum=unsafe,enum=keyed,enum=safe"`
	// Mean work of a request on one core, exponentially distributed, at most four times the mean; 20ms if left out.
	Work config.Duration `yaml:"work,omitempty"`
	// An answer within this time is in time; 250ms if left out.
	Aim config.Duration `yaml:"aim,omitempty"`
	// How long clients wait; 750ms if left out.
	Deadline config.Duration `yaml:"deadline,omitempty"`
	// How often a client comes again, under another id and at another balancer, when it was refused or reached nobody; 0 if left out.
	Retries int `yaml:"retries,omitempty" jsonschema:"minimum=0"`
}

// Heavy is unequal traffic.
type Heavy struct {
	// Which balancers: names, a part drawn by the seed ("balancers 10%"), or those of a zone ("balancers in a").
	Of []string `yaml:"of,omitempty"`
	// How many times the rate comes there.
	Times float64 `yaml:"times,omitempty" jsonschema:"minimum=0"`
}

// Fault is something that goes wrong. Which of the further keys count is in brackets behind each kind.
type Fault struct {
	// When, from the start of the load.
	At config.Duration `yaml:"at"`
	// How long; left out: to the end.
	For config.Duration `yaml:"for,omitempty"`
	// How often it comes, and every how much time, counted from at; left out: once.
	Times int             `yaml:"times,omitempty" jsonschema:"minimum=0"`
	Every config.Duration `yaml:"every,omitempty"`
	// Between processes [from, to]: cut [way], slow [way, delay, jitter], throttle [way, rate], reset [share, way, deliver], half-close
	// [share, way, deliver], lossy (datagrams) [way, loss, twice, reorder], break (open connections are reset once).
	// To voters [of]: kill, lose, stop, terminate, disk and clock as below, flip (killed, some bits on the disk are changed, started), power (killed, what was
	// not synced is gone; a test build), twin (a second process with a copy of the disk, on another machine). leader is the voter that
	// leads at that moment.
	// To processes of the program [of]: kill (down for so long), kill-on-send (as soon as a request has reached a node; down for
	// so long) [count], stop (SIGSTOP), terminate (SIGTERM, and started again), lose (killed, its folder removed), clock [offset],
	// disk [disk, delay].
	// To nodes [of]: word (staff take them out through the ledger: no balancer may send anything new there from a second after the yes on),
	// crash (comes back cold), drain (comes back restarted), stall (takes requests and answers none), slow-node [factor],
	// second-answer (a share of responses comes a second time on the same connection) [share, delay, jitter].
	// To the list service: list-old (tells nothing new), list-down, list-answers [share], list-split (half of the balancers, or those in
	// from, are told that the nodes in of are gone), list-silent (the watches that are open say nothing more), list-reset (they are reset).
	Kind string `yaml:"kind"`
	// Where a link begins: names (b-0, p-1), clients, balancers, peers, a part of them ("balancers 33%", drawn by the seed) or those of a
	// zone ("balancers in a").
	From []string `yaml:"from,omitempty"`
	// Where a link ends: names (n-3, b-1, p-0), nodes, balancers, peers, list, or a part of them.
	To []string `yaml:"to,omitempty"`
	// What a fault happens to, in the same words.
	Of []string `yaml:"of,omitempty"`
	// For links: both (also if left out), there (what goes from from to to) or back (what comes back).
	Way string `yaml:"way,omitempty" jsonschema:"enum=both,enum=there,enum=back"`
	// For slow: each piece comes later by this much. For second-answer: the second response comes later by this much.
	Delay config.Duration `yaml:"delay,omitempty"`
	// For slow and second-answer: and by up to this much more.
	Jitter config.Duration `yaml:"jitter,omitempty"`
	// For throttle: bytes a second.
	Rate int `yaml:"rate,omitempty" jsonschema:"minimum=1"`
	// For reset and half-close: share of pieces at which it happens. For list-answers: share of calls that are
	// answered. For second-answer: share of responses that come twice.
	Share float64 `yaml:"share,omitempty" jsonschema:"maximum=1"`
	// For reset and half-close: whether the piece at which it happens comes through first.
	Deliver bool `yaml:"deliver,omitempty"`
	// For lossy: shares of datagrams that vanish, come twice, are overtaken.
	Loss    float64 `yaml:"loss,omitempty" jsonschema:"maximum=1"`
	Twice   float64 `yaml:"twice,omitempty" jsonschema:"maximum=1"`
	Reorder float64 `yaml:"reorder,omitempty" jsonschema:"maximum=1"`
	// For kill-on-send: how often in all.
	Count int `yaml:"count,omitempty" jsonschema:"minimum=1"`
	// For slow-node: work takes so many times longer.
	Factor float64 `yaml:"factor,omitempty"`
	// For clock: by how much it is ahead (behind, with a minus) from the next start of the process on, and by how much it jumps while
	// the process runs.
	Offset Signed `yaml:"offset,omitempty"`
	// For disk: full, error, slow (each sync takes delay) or torn (a write that is under way at a kill is half there).
	Disk string `yaml:"disk,omitempty" jsonschema:"enum=full,enum=error,enum=slow,enum=torn"`
}

// Bound is a statement about a figure.
type Bound struct {
	// One of the names that "olivearch-bench ground --figures" lists.
	Figure string `yaml:"figure"`
	// At most, at least: one of the two or both.
	Most  *float64 `yaml:"most,omitempty"`
	Least *float64 `yaml:"least,omitempty"`
}

// Signed is a time with its unit that may be negative, as in -1h.
type Signed time.Duration

// UnmarshalText reads it in the form of time.ParseDuration.
func (d *Signed) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time with a unit, such as 90s or -1h", text)
	}
	*d = Signed(x)
	return nil
}

// MarshalText writes it as it is read.
func (d Signed) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
