package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/lbpolicy"
	"olivearch/internal/strictyaml"
)

const maxFile = 1 << 20

// The bounds of a scenario: what one machine can play.
const (
	maxNodes  = 20000
	maxLength = 10 * time.Minute
	maxRate   = 1e6
)

// The contenders that are no pickers.
const (
	Olivearch = "olivearch"
	Reverse   = "reverse"
)

// Figures are the names that bounds may use, each with whether more is better.
var Figures = map[string]bool{
	"p50": false, "p90": false, "p99": false, "p999": false, "in_aim": true, "served": true, "refused": false,
	"failed": false, "per_second": true, "executions": false, "breaches": false, "cpu_us": false, "resident_mb": false,
}

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
	k.fleet()
	k.load()
	k.troubles()
	k.contenders()
	k.bounds()
	if err := d.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

type checker struct {
	*strictyaml.Doc
	*File
}

func (k checker) whole() {
	if !strictyaml.IsPlainName(k.Name) {
		k.Fail("name", "a name of letters, digits and hyphens is wanted, at most 64 characters")
	}
	strictyaml.SetDefault(&k.Seed, 1)
	strictyaml.SetDefault(&k.Repeats, 3)
	strictyaml.SetDefault(&k.Warmup, config.Duration(time.Second))
	strictyaml.SetDefault(&k.Modes, "both")
	strictyaml.SetDefault(&k.Balancers, 1)
	strictyaml.SetDefault(&k.Busy.Times, 1)
	strictyaml.SetDefault(&k.Connections, 64)
	strictyaml.SetDefault(&k.Queue, 500)
	strictyaml.SetDefault(&k.Threads, 2)
	k.OneOf("modes", "mode", k.Modes, "both", "sockets", "simulated")
	k.InRange("seed", float64(k.Seed), 1, 1<<53)
	k.InRange("repeats", float64(k.Repeats), 1, 100)
	k.InRange("balancers", float64(k.Balancers), 1, 1000)
	k.InRange("busy.count", float64(k.Busy.Count), 0, float64(k.Balancers))
	k.InRange("busy.times", k.Busy.Times, 0.001, 1e6)
	k.InRange("connections", float64(k.Connections), 1, 10000)
	k.InRange("queue", float64(k.Queue), 1, 100000)
	k.InRange("threads", float64(k.Threads), 1, 64)
	if k.Length < config.Duration(100*time.Millisecond) || k.Length > config.Duration(maxLength) {
		k.Fail("length", "a length from 100ms to %v is wanted", maxLength)
	}
	if k.Warmup > config.Duration(maxLength) {
		k.Fail("warmup", "at most %v", maxLength)
	}
	if k.Balancers > 1 && k.Modes != "simulated" {
		k.Fail("balancers", "several balancers are played in simulated time alone: add \"modes: simulated\"")
	}
}

func (k checker) fleet() {
	if len(k.Fleet) == 0 {
		k.Fail("fleet", "at least one group of nodes is wanted")
	}
	names, total := map[string]bool{}, 0
	for i := range k.Fleet {
		g, at := &k.Fleet[i], fmt.Sprintf("fleet[%d]", i)
		if !strictyaml.IsPlainName(g.Name) || names[g.Name] {
			k.Fail(at+".name", "a name of its own is wanted, of letters, digits and hyphens; %q is not", g.Name)
		}
		names[g.Name] = true
		strictyaml.SetDefault(&g.Count, 1)
		strictyaml.SetDefault(&g.Cores, 1)
		strictyaml.SetDefault(&g.Queue, 1000)
		strictyaml.SetDefault(&g.Weight, 1)
		strictyaml.SetDefault(&g.ColdFrom, 1)
		strictyaml.SetDefault(&g.TipAfter, config.Duration(1500*time.Millisecond))
		k.InRange(at+".count", float64(g.Count), 1, maxNodes)
		k.InRange(at+".cores", float64(g.Cores), 1, 10000)
		k.InRange(at+".queue", float64(g.Queue), 1, 1e6)
		k.InRange(at+".weight", g.Weight, 1e-3, 1e6)
		k.InRange(at+".cold_from", g.ColdFrom, 1e-3, 1)
		k.InRange(at+".tip_multiple", g.TipMultiple, 0, 1000)
		if g.Service <= 0 || g.Service > config.Duration(time.Minute) {
			k.Fail(at+".service", "a time over 0 and at most a minute is wanted")
		}
		if g.Delay > config.Duration(10*time.Second) {
			k.Fail(at+".delay", "at most 10s")
		}
		total += max(0, g.Count)
	}
	if total > maxNodes {
		k.Fail("fleet", "%d nodes are more than the %d that are played", total, maxNodes)
	}
}

func (k checker) load() {
	if len(k.Load) == 0 {
		k.Fail("load", "at least one load is wanted")
	}
	names := map[string]bool{}
	for i := range k.Load {
		l, at := &k.Load[i], fmt.Sprintf("load[%d]", i)
		if !strictyaml.IsPlainName(l.Name) || names[l.Name] {
			k.Fail(at+".name", "a name of its own is wanted, of letters, digits and hyphens; %q is not", l.Name)
		}
		names[l.Name] = true
		strictyaml.SetDefault(&l.Repeat, "unsafe")
		strictyaml.SetDefault(&l.Aim, config.Duration(250*time.Millisecond))
		strictyaml.SetDefault(&l.Deadline, max(l.Aim, config.Duration(time.Second)))
		strictyaml.SetDefault(&l.Worth, 1)
		k.OneOf(at+".repeat", "repeat kind", l.Repeat, "safe", "unsafe")
		if l.Aim < config.Duration(10*time.Millisecond) || l.Deadline < l.Aim || l.Deadline > config.Duration(time.Minute) {
			k.Fail(at, "aim is at least 10ms, deadline no shorter than aim and at most a minute")
		}
		k.InRange(at+".worth", l.Worth, 0, 1e6)
		k.InRange(at+".quota", l.Quota, 0, maxRate)
		if (l.Rate == 0) == (l.Closed == 0) {
			k.Fail(at, "exactly one of rate and closed is wanted")
		}
		if l.Rate != 0 {
			k.InRange(at+".rate", l.Rate, 0.01, maxRate)
		}
		k.InRange(at+".closed", float64(l.Closed), 0, 10000)
		if l.Closed > 0 && (len(l.Curve) > 0 || l.Burst != nil) {
			k.Fail(at, "curve and burst belong to a rate")
		}
		if l.Tenant == "" && l.Quota != 0 {
			k.Fail(at+".quota", "a quota belongs to a tenant")
		}
		if l.Tenant != "" && !strictyaml.IsPlainName(l.Tenant) {
			k.Fail(at+".tenant", "a name of letters, digits and hyphens is wanted")
		}
		k.curve(at, l)
		k.sizes(at+".sizes", &l.Sizes)
	}
}

func (k checker) curve(at string, l *Load) {
	for j, p := range l.Curve {
		k.InRange(fmt.Sprintf("%s.curve[%d].rate", at, j), p.Rate, 0, 1000)
		if j == 0 && p.At != 0 || j > 0 && p.At <= l.Curve[j-1].At {
			k.Fail(fmt.Sprintf("%s.curve[%d].at", at, j), "a curve begins at 0s and its points stand in order")
		}
	}
	if b := l.Burst; b != nil {
		k.InRange(at+".burst.factor", b.Factor, 0, 1000)
		if b.Length <= 0 || b.Every <= b.Length {
			k.Fail(at+".burst", "length is over 0 and under every")
		}
	}
}

func (k checker) sizes(at string, s *Sizes) {
	strictyaml.SetDefault(&s.Kind, "constant")
	if !k.OneOf(at+".kind", "distribution", s.Kind, slices.Collect(maps.Keys(distributions))...) {
		return
	}
	switch s.Kind {
	case "uniform":
		k.InRange(at+".spread", s.Spread, 0, 1)
	case "lognormal":
		k.InRange(at+".sigma", s.Sigma, 0.01, 3)
	case "pareto":
		k.InRange(at+".alpha", s.Alpha, 1.05, 10)
	case "bimodal":
		k.InRange(at+".share", s.Share, 0.0001, 0.9999)
		k.InRange(at+".factor", s.Factor, 1, 10000)
	}
}

func (k checker) troubles() {
	known := map[string]bool{}
	for _, g := range k.Fleet {
		known[g.Name] = true
		for i := range min(g.Count, maxNodes) {
			known[g.Node(i)] = true
		}
	}
	for i := range k.Troubles {
		t, at := &k.Troubles[i], fmt.Sprintf("troubles[%d]", i)
		kinds := []string{"slow", "neighbour", "stall", "black-hole", "crash", "drain", "silent-list", "torn-list"}
		if !k.OneOf(at+".kind", "kind of trouble", t.Kind, kinds...) {
			continue
		}
		if t.At >= k.Length {
			k.Fail(at+".at", "it comes after the end")
		}
		ofList := strings.HasSuffix(t.Kind, "-list")
		if ofList != (len(t.Nodes) == 0) {
			k.Fail(at, "nodes are wanted for all kinds but those of the list")
		}
		for j, name := range t.Nodes {
			if !known[name] {
				k.Fail(fmt.Sprintf("%s.nodes[%d]", at, j), "there is no node or group %q", name)
			}
		}
		if t.Kind == "slow" {
			k.InRange(at+".factor", t.Factor, 0.01, 10000)
		} else if t.Factor != 0 {
			k.Fail(at+".factor", "a factor belongs to slow")
		}
		if t.Kind == "neighbour" {
			k.InRange(at+".cores", float64(t.Cores), 1, 10000)
		} else if t.Cores != 0 {
			k.Fail(at+".cores", "cores belong to neighbour")
		}
	}
}

func (k checker) contenders() {
	all := append([]string{Olivearch}, lbpolicy.Names()...)
	if len(k.Contenders) == 0 {
		if k.Contenders = all; k.Modes != "simulated" {
			k.Contenders = append(slices.Clone(all), Reverse)
		}
		return
	}
	seen := map[string]bool{}
	for i, name := range k.Contenders {
		at := fmt.Sprintf("contenders[%d]", i)
		k.OneOf(at, "contender", name, append(slices.Clone(all), Reverse)...)
		if seen[name] {
			k.Fail(at, "%q stands here for a second time", name)
		}
		seen[name] = true
	}
}

func (k checker) bounds() {
	for i := range k.Bounds {
		b, at := &k.Bounds[i], fmt.Sprintf("bounds[%d]", i)
		k.OneOf(at+".figure", "figure", b.Figure, slices.Collect(maps.Keys(Figures))...)
		strictyaml.SetDefault(&b.Of, Olivearch)
		k.OneOf(at+".of", "contender here", b.Of, k.Contenders...)
		if b.Against != "" && b.Against != "best" {
			k.OneOf(at+".against", "contender here", b.Against, k.Contenders...)
		}
		if (b.Most == nil) == (b.Least == nil) {
			k.Fail(at, "exactly one of most and least is wanted")
		}
	}
}
