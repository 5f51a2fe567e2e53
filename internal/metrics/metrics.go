// Package metrics tells a process's counters and levels in the text formats of Prometheus and OpenMetrics, by client_golang. What it tells
// grows with the pools that are used, not with nodes, routes or tenants: pools that nobody has asked are told in sums.
package metrics

import (
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"clayladder/internal/live"
	"clayladder/internal/pool"
)

// Snapshot is what is told at a moment.
type Snapshot struct {
	Version   string
	Reloads   int // configurations taken since the start
	Listeners []live.Listener
	Pools     []Pool
	Promises  *live.Promises // nil: the process takes part in no ledger
}

// Pool is one pool, by its name.
type Pool struct {
	Name string
	pool.Stats
}

const (
	// atOnce is how many readers are answered side by side; more are told to come back (503).
	atOnce = 2
	within = 5 * time.Second
)

// Handler answers with what snapshot gives. It asks no pool's goroutine.
func Handler(snapshot func() Snapshot) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{snapshot}, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{PidFn: func() (int, error) { return os.Getpid(), nil }}))
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: atOnce, Timeout: within, EnableOpenMetrics: true})
}

// family is a name with its labels.
type family struct {
	*prometheus.Desc
	kind prometheus.ValueType
}

var all []family

func tell(kind prometheus.ValueType, name, help string, labels ...string) family {
	f := family{prometheus.NewDesc("olivearch_"+name, help, labels, nil), kind}
	all = append(all, f)
	return f
}

// All of them, in the units that their names say.
var (
	info      = tell(prometheus.GaugeValue, "info", "The version that runs; always 1.", "version")
	reloads   = tell(prometheus.CounterValue, "reloads_total", "Configurations taken since the start.")
	clients   = tell(prometheus.GaugeValue, "listener_connections", "Clients' connections.", "listener")
	clientCap = tell(prometheus.GaugeValue, "listener_connections_limit", "Clients' connections at most.", "listener")

	pools   = tell(prometheus.GaugeValue, "pools", "Pools by what they hold: made ones have their nodes' state, others a list.", "state")
	idle    = tell(prometheus.GaugeValue, "pools_never_asked", "Pools that no request has come to; they have no series of their own.")
	expired = tell(prometheus.GaugeValue, "pools_expired", "Pools whose list is older than it may become: all is refused.")
	nodes   = tell(prometheus.GaugeValue, "nodes", "Nodes listed, over all pools, by what holds at this balancer.", "phase")

	requests  = tell(prometheus.CounterValue, "requests_total", "Requests by their final answer; turned_away are those that found the queue full.", "pool", "result")
	served    = tell(prometheus.CounterValue, "served_seconds_total", "The time that served requests took, from their coming to the head of their answer, in sum.", "pool")
	open      = tell(prometheus.GaugeValue, "requests_open", "Requests that a pool holds, sent or waiting.", "pool")
	held      = tell(prometheus.GaugeValue, "requests_held", "Of these, the ones that wait for a turn.", "pool")
	conns     = tell(prometheus.GaugeValue, "connections", "Connections to nodes.", "pool")
	tunnels   = tell(prometheus.GaugeValue, "tunnels", "Connections that have changed their protocol.", "pool")
	poolNodes = tell(prometheus.GaugeValue, "pool_nodes", "Nodes listed, by what holds at this balancer.", "pool", "phase")
	listAge   = tell(prometheus.GaugeValue, "list_age_seconds", "The time since the last good word from the list's source.", "pool")

	voter       = tell(prometheus.GaugeValue, "promises_voter_reached", "1 while a voter of the ledger is followed; what is known holds without one.")
	promisesAge = tell(prometheus.GaugeValue, "promises_age_seconds", "The time since a quorum confirmed that nothing newer was promised; absent if it never has.")
	words       = tell(prometheus.GaugeValue, "promises_words", "Words of operators that hold, by kind.", "kind")
)

// collector makes the values anew at each reading.
type collector struct{ snapshot func() Snapshot }

func (collector) Describe(to chan<- *prometheus.Desc) {
	for _, f := range all {
		to <- f.Desc
	}
}

func (c collector) Collect(to chan<- prometheus.Metric) {
	say := func(f family, x float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(f.Desc, f.kind, x, labels...)
	}
	s := c.snapshot()
	say(info, 1, s.Version)
	say(reloads, float64(s.Reloads))
	for _, l := range s.Listeners {
		say(clients, float64(l.Connections), l.Name)
		say(clientCap, float64(l.Limit), l.Name)
	}
	var made, never, old, up, draining float64
	for i := range s.Pools {
		p := &s.Pools[i]
		up, draining = up+float64(p.Up), draining+float64(p.Draining)
		made, old = made+one(p.Made), old+one(p.Expired)
		if !p.Asked() {
			never++
			if !p.Expired {
				continue
			}
		}
		tellPool(say, p)
	}
	say(pools, made, "made")
	say(pools, float64(len(s.Pools))-made, "unmade")
	say(idle, never)
	say(expired, old)
	say(nodes, up, "up")
	say(nodes, draining, "draining")
	if p := s.Promises; p != nil {
		say(voter, one(p.Voter != ""))
		if p.AgeMS >= 0 {
			say(promisesAge, float64(p.AgeMS)/1000)
		}
		for kind, n := range p.Words {
			say(words, float64(n), kind)
		}
	}
}

func tellPool(say func(f family, x float64, labels ...string), p *Pool) {
	for _, x := range []struct {
		result string
		n      uint64
	}{{"served", p.Served}, {"refused", p.Refused}, {"failed", p.Failed}, {"turned_away", p.TurnedAway}} {
		say(requests, float64(x.n), p.Name, x.result)
	}
	say(served, p.ServedFor.Seconds(), p.Name)
	say(open, float64(p.Open), p.Name)
	say(held, float64(p.Held), p.Name)
	say(conns, float64(p.Connections), p.Name)
	say(tunnels, float64(p.Tunnels), p.Name)
	say(poolNodes, float64(p.Up), p.Name, "up")
	say(poolNodes, float64(p.Draining), p.Name, "draining")
	say(listAge, p.ListAge.Seconds(), p.Name)
}

func one(x bool) float64 {
	if x {
		return 1
	}
	return 0
}
