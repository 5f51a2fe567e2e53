package script

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"olivearch/internal/config"
	"olivearch/internal/strictyaml"
)

const (
	maxFile   = 1 << 20
	maxLength = 2 * time.Hour
	maxCount  = 2000
	maxTimes  = 1000
)

// Read reads and checks a file.
func Read(path string) (*File, error) {
	text, err := strictyaml.ReadFile(path, maxFile)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse checks the text of a file and fills in what was left out. The error joins one strictyaml.Error for each thing wrong.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	d := strictyaml.Decode(path, text, f)
	if err := d.Err(); err != nil {
		return nil, err
	}
	k := checker{d, f}
	k.whole()
	k.balancers()
	k.nodes()
	k.voters()
	k.load()
	for i := range f.Faults {
		k.fault(fmt.Sprintf("faults[%d]", i), &f.Faults[i])
	}
	k.bounds()
	if err := d.Err(); err != nil {
		return nil, err
	}
	f.Faults = repeated(f.Faults)
	return f, nil
}

// repeated puts each fault that comes several times there as often.
func repeated(all []Fault) []Fault {
	var each []Fault
	for _, x := range all {
		times, every := max(1, x.Times), x.Every
		x.Times, x.Every = 0, 0
		for i := range times {
			one := x
			one.At += every * config.Duration(i)
			each = append(each, one)
		}
	}
	return each
}

// Text writes a script as a file that plays again.
func (f *File) Text() (string, error) {
	text, err := yaml.Marshal(f)
	return string(text), err
}

type checker struct {
	*strictyaml.Doc
	*File
}

// span fails unless a time is within bounds.
func (k checker) span(path string, d config.Duration, low, high time.Duration) {
	if x := time.Duration(d); x < low || x > high {
		k.Fail(path, "%v is not from %v to %v", x, low, high)
	}
}

func (k checker) whole() {
	if !strictyaml.IsPlainName(k.Name) {
		k.Fail("name", "a name of letters, digits and hyphens is wanted, at most 64 characters")
	}
	strictyaml.SetDefault(&k.Seed, 1)
	k.InRange("seed", float64(k.Seed), 1, 1<<53)
	k.span("length", k.Length, 100*time.Millisecond, maxLength)
	k.InRange("relay", k.Relay, 0, 1e9)
	k.InRange("peers.count", float64(k.Peers.Count), 0, 20)
	strictyaml.SetDefault(&k.Peers.Rate, 20)
	k.InRange("peers.rate", k.Peers.Rate, 0.1, 1000)
}

func (k checker) balancers() {
	b := &k.Balancers
	strictyaml.SetDefault(&b.Memory, 64<<20)
	strictyaml.SetDefault(&b.Descriptors, 512)
	strictyaml.SetDefault(&b.Known, "last")
	strictyaml.SetDefault(&b.Run, "platform")
	k.InRange("balancers.count", float64(b.Count), 1, maxCount)
	k.InRange("balancers.descriptors", float64(b.Descriptors), 64, 20000)
	k.InRange("balancers.memory", float64(b.Memory>>20), 16, 1<<14)
	k.OneOf("balancers.known", "kind of list", b.Known, "last", "first", "none")
	k.OneOf("balancers.run", "way to run", b.Run, "platform", "serve")
	if len(b.Zones) == 0 {
		b.Zones = []string{"z0"}
	}
}

func (k checker) nodes() {
	n := &k.Nodes
	strictyaml.SetDefault(&n.Cores, 2)
	strictyaml.SetDefault(&n.Queue, 64)
	strictyaml.SetDefault(&n.Reports, config.Duration(300*time.Millisecond))
	strictyaml.SetDefault(&n.ColdFrom, 0.33)
	strictyaml.SetDefault(&n.RampTime, config.Duration(9*time.Second))
	strictyaml.SetDefault(&n.TipMultiple, 3)
	strictyaml.SetDefault(&n.TipAfter, config.Duration(1500*time.Millisecond))
	k.InRange("nodes.count", float64(n.Count), 1, maxCount)
	k.InRange("nodes.cores", float64(n.Cores), 1, 1000)
	k.InRange("nodes.cold_from", n.ColdFrom, 0.01, 1)
	k.InRange("nodes.tip_multiple", n.TipMultiple, 1, 1000)
	if len(n.Zones) == 0 {
		n.Zones = k.Balancers.Zones
	}
	k.span("nodes.late", n.Late, 0, time.Minute)
	k.span("nodes.reports", n.Reports, time.Millisecond, time.Minute)
	k.span("nodes.ramp_time", n.RampTime, time.Millisecond, time.Hour)
	k.span("nodes.tip_after", n.TipAfter, time.Millisecond, time.Minute)
	strictyaml.SetDefault(&k.List.Notice, config.Duration(500*time.Millisecond))
	strictyaml.SetDefault(&k.List.Answers, 1)
	k.InRange("list.answers", k.List.Answers, 0.001, 1)
	k.span("list.notice", k.List.Notice, 0, time.Minute)
}

func (k checker) voters() {
	v := &k.Voters
	if v.Count == 0 {
		return
	}
	strictyaml.SetDefault(&v.ReplaceAfter, config.Duration(2*time.Second))
	strictyaml.SetDefault(&v.Clients, 6)
	strictyaml.SetDefault(&v.Rate, 20)
	if n := v.Count; n != 1 && n != 3 && n != 5 && n != 7 {
		k.Fail("voters.count", "1, 3, 5 or 7 voters")
	}
	k.InRange("voters.copies", float64(v.Copies), 0, float64(v.Count))
	k.InRange("voters.clients", float64(v.Clients), 1, 200)
	k.InRange("voters.rate", v.Rate, 0.01, 1000)
	k.InRange("voters.flood", float64(v.Flood), 0, 1000)
	k.span("voters.replace_after", v.ReplaceAfter, 2*time.Second, time.Hour)
	if v.Plant != "" {
		k.OneOf("voters.plant", "breach", v.Plant, "early", "amnesia", "unfenced", "unsynced")
	}
}

func (k checker) load() {
	l := &k.Load
	strictyaml.SetDefault(&l.Repeat, "unsafe")
	strictyaml.SetDefault(&l.Work, config.Duration(20*time.Millisecond))
	strictyaml.SetDefault(&l.Aim, config.Duration(250*time.Millisecond))
	strictyaml.SetDefault(&l.Deadline, config.Duration(750*time.Millisecond))
	k.InRange("load.rate", l.Rate, 0.01, 1e5)
	k.OneOf("load.repeat", "class", l.Repeat, "unsafe", "keyed", "safe")
	k.span("load.work", l.Work, 100*time.Microsecond, time.Minute)
	k.span("load.aim", l.Aim, time.Millisecond, time.Minute)
	k.span("load.deadline", l.Deadline, time.Duration(l.Aim), time.Minute)
	if len(l.Heavy.Of) > 0 || l.Heavy.Times != 0 {
		k.picks("load.heavy.of", l.Heavy.Of, Balancer)
		k.InRange("load.heavy.times", l.Heavy.Times, 0.01, 1000)
	}
	k.InRange("load.retries", float64(l.Retries), 0, 10)
}

// kind is what a fault of that kind wants.
type kind struct {
	link  bool     // it happens between processes
	of    []string // it happens to these
	needs func(k checker, at string, x *Fault)
}

var kinds = map[string]kind{
	"cut": {link: true},
	"slow": {link: true, needs: func(k checker, at string, x *Fault) {
		k.span(at+".delay", x.Delay, 0, time.Minute)
		if x.Delay+x.Jitter == 0 {
			k.Fail(at, "slow wants a delay or a jitter")
		}
	}},
	"throttle": {link: true, needs: func(k checker, at string, x *Fault) { k.InRange(at+".rate", float64(x.Rate), 1, 1e10) }},
	"reset":    {link: true, needs: share}, "half-close": {link: true, needs: share},
	"lossy": {link: true, needs: func(k checker, at string, x *Fault) {
		k.InRange(at+".loss", x.Loss, 0, 1)
		k.InRange(at+".twice", x.Twice, 0, 1)
		k.InRange(at+".reorder", x.Reorder, 0, 1)
		if x.Loss+x.Twice+x.Reorder == 0 {
			k.Fail(at, "lossy wants loss, twice or reorder")
		}
	}},
	"break":        {link: true},
	"kill":         {of: []string{Balancer, Peer, Voter}},
	"kill-on-send": {of: []string{Balancer}, needs: func(k checker, at string, x *Fault) { k.InRange(at+".count", float64(x.Count), 1, 1e6) }},
	"stop":         {of: []string{Balancer, Peer, Voter}},
	"terminate":    {of: []string{Balancer, Voter}},
	"lose":         {of: []string{Balancer, Voter}},
	"flip":         {of: []string{Voter}}, "power": {of: []string{Voter}}, "twin": {of: []string{Voter}},
	"clock": {of: []string{Balancer, Voter}, needs: func(k checker, at string, x *Fault) {
		if x.Offset == 0 {
			k.Fail(at, "clock wants an offset")
		}
	}},
	"disk": {of: []string{Balancer, Voter}, needs: func(k checker, at string, x *Fault) {
		k.OneOf(at+".disk", "disk fault", x.Disk, "full", "error", "slow", "torn")
	}},
	"crash": {of: []string{Node}}, "drain": {of: []string{Node}}, "stall": {of: []string{Node}},
	"word": {of: []string{Node}, needs: func(k checker, at string, x *Fault) {
		if k.Voters.Count == 0 {
			k.Fail(at, "staff speak through the ledger, and there are no voters")
		}
	}},
	"slow-node": {of: []string{Node}, needs: func(k checker, at string, x *Fault) { k.InRange(at+".factor", x.Factor, 1, 1e4) }},
	"second-answer": {of: []string{Node}, needs: func(k checker, at string, x *Fault) {
		share(k, at, x)
		k.span(at+".delay", x.Delay, 0, time.Minute)
		k.span(at+".jitter", x.Jitter, 0, time.Minute)
	}},
	"list-old": {}, "list-down": {}, "list-silent": {}, "list-reset": {},
	"list-answers": {needs: share},
	"list-split":   {of: []string{Node}},
}

func share(k checker, at string, x *Fault) { k.InRange(at+".share", x.Share, 0.0001, 1) }

func (k checker) fault(at string, x *Fault) {
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	what, known := kinds[x.Kind]
	if !known {
		k.OneOf(at+".kind", "fault", x.Kind, names...)
		return
	}
	if x.At > k.Length {
		k.Fail(at+".at", "it comes after the end of the load")
	}
	k.InRange(at+".times", float64(x.Times), 0, maxTimes)
	if x.Times > 1 && (x.Every <= x.For || x.For == 0) {
		k.Fail(at+".every", "a fault that comes again ends before: every is longer than for")
	} else if last := x.At + x.Every*config.Duration(max(0, x.Times-1)); last > k.Length {
		k.Fail(at+".times", "the last of them comes after the end of the load")
	}
	strictyaml.SetDefault(&x.Way, "both")
	k.OneOf(at+".way", "way", x.Way, "both", "there", "back")
	if what.link {
		k.picks(at+".from", x.From, Clients, Balancer, Peer, Voter)
		k.picks(at+".to", x.To, Balancer, Node, ListService, Peer, Voter)
	} else if len(what.of) > 0 {
		k.picks(at+".of", x.Of, what.of...)
	}
	if what.needs != nil {
		what.needs(k, at, x)
	}
}

// picks checks words that choose processes, which must all be of one of these kinds.
func (k checker) picks(at string, words []string, kinds ...string) {
	if len(words) == 0 {
		k.Fail(at[:strings.LastIndex(at, ".")], "%s is wanted: it says what the fault happens to", at[strings.LastIndex(at, ".")+1:])
	}
	for i, word := range words {
		p, err := parse(word)
		place := fmt.Sprintf("%s[%d]", at, i)
		switch count := k.count(p.kind); {
		case err != nil:
			k.Fail(place, "%v", err)
		case !slices.Contains(kinds, p.kind):
			k.Fail(place, "%q is none of %s", word, strings.Join(kinds, ", "))
		case p.index == Leader && count == 0:
			k.Fail(place, "there are no voters")
		case p.zone != "" && len(k.zoned(p)) == 0:
			k.Fail(place, "no %s are in a zone %q", p.kind, p.zone)
		case p.index >= count:
			k.Fail(place, "there is no %s: %d are in the script", word, count)
		}
	}
}

// Figures are the names that bounds may use, and what each means.
var Figures = map[string]string{
	"asked": "requests that clients sent", "served": "share of these that were served",
	"in_aim": "share served within the aim", "refused": "share refused", "failed": "share failed", "lost": "share without an answer, each with an excuse",
	"untaken": "requests that reached nobody", "crossed": "requests without an answer on a used connection that closed as they came, and that no node got", "p50": "ms, of served requests", "p99": "ms, of served requests",
	"executions": "executions at nodes a served request", "twice": "requests whose first try and later tries ran more than once together",
	"breaches": "of the four rules", "blurred": "of their limits of time, which the ground's own delay may explain",
	"deaths_in_flight": "processes killed between a request's arrival at a node and its answer", "restarts": "processes started again",
	"crashes": "processes that ended by themselves", "leaks": "connections that came up on a cut link, and were reset",
	"relay_p99_ms": "the relay's own delay, there and back", "start_s": "until all processes were ready",
	"recovered_s": "from the end of the last fault until nine in ten are in time again", "cpu_ms": "a second of each process, mean", "memory_mb": "resident, of the largest process",
	"node_connections": "open at once at a node, the most of them, mean over nodes", "connects_s": "new connections to nodes a second",
	"due":          "words that a node leaves that counted as told to all balancers, since the list service had had them for 6 s",
	"list_calls_s": "calls for lists a second, over all balancers",
	"promises":     "promises of the ledger's that were answered with yes", "promises_s": "these a second", "promises_lost": "subjects of one writer of which a promise is gone",
	"history_wrong": "statements that the ledger's history could not have been", "history_open": "subjects whose history could not be checked in time",
	"history_calls": "calls in the history", "yes_p50": "ms until a yes", "yes_p99": "ms until a yes", "yes_gap": "the longest time without any yes, ms",
	"unsure": "calls of which nobody can say whether they hold", "nobody": "calls that certainly reached no voter that could", "leases": "leases granted", "slots": "bookings",
	"looks": "looks at copies", "distrusted": "voters that ended since they did not trust their disks", "voter_cpu_ms": "a second of each voter, mean", "voter_memory_mb": "resident, of the largest voter",
	"spread": "deviation over mean of a second's requests by node, mean over seconds", "busiest": "the busiest node's over the mean, mean over seconds",
	"first_busiest": "the same in the first 100 ms", "idle_node_seconds": "seconds of single nodes without a request", "moved": "pieces that the relay moved",
	"peers_lost": "share of datagrams between peers that did not come", "peers_twice": "share that came twice", "peers_late": "share that another overtook",
	"peers_spoilt": "messages between peers that were not as sent, or out of order on a stream",
}

func (k checker) bounds() {
	var names []string
	for name := range Figures {
		names = append(names, name)
	}
	for i, b := range k.Bounds {
		at := fmt.Sprintf("bounds[%d]", i)
		k.OneOf(at+".figure", "figure", b.Figure, names...)
		if b.Most == nil && b.Least == nil {
			k.Fail(at, "a bound wants most, least or both")
		}
	}
}
