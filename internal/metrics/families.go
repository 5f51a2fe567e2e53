package metrics

import (
	"os"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/procstat"
)

// appendFamilies appends all metric families to a text. Each appears once with all its series, as the format demands.
func (s *Snapshot) appendFamilies(text []byte) []byte {
	out := &familyWriter{text: text}
	out.startFamily(gauge, "info", "The version that runs; always 1.")
	out.sample(1, "version", s.Version)
	out.startFamily(counter, "reloads_total", "Configurations taken since the start.")
	out.sample(float64(s.Reloads))
	s.appendListeners(out)
	s.appendBudgets(out)
	s.appendSums(out)
	s.appendPools(out)
	if s.Coordination != nil {
		appendCoordination(out, s.Coordination)
	}
	appendProcess(out, s.Started)
	return out.text
}

func (s *Snapshot) appendListeners(out *familyWriter) {
	out.startFamily(gauge, "listener_connections", "Clients' connections.")
	for _, l := range s.Listeners {
		out.sample(float64(l.Connections), "listener", l.Name)
	}
	out.startFamily(gauge, "listener_connections_limit", "Clients' connections at most.")
	for _, l := range s.Listeners {
		out.sample(float64(l.Limit), "listener", l.Name)
	}
}

// appendBudgets appends what the clients of each listener share.
func (s *Snapshot) appendBudgets(out *familyWriter) {
	forEachBudget := func(value func(b *Budget) int64) {
		for i := range s.Budgets {
			b := &s.Budgets[i]
			out.sample(float64(value(b)), "listener", b.Listener, "resource", b.Resource)
		}
	}
	out.startFamily(gauge, "listener_bodies_used", "Memory in bytes, or places, that request bodies take.")
	forEachBudget(func(b *Budget) int64 { return b.Used })
	out.startFamily(gauge, "listener_bodies_peak", "The most of it since the start.")
	forEachBudget(func(b *Budget) int64 { return b.Peak })
	out.startFamily(counter, "listener_bodies_refused_total", "Requests refused since it was used up.")
	forEachBudget(func(b *Budget) int64 { return b.Refused })
	out.startFamily(counter, "listener_bodies_evicted_total", "Requests ended for others since their clients were silent.")
	forEachBudget(func(b *Budget) int64 { return b.Evicted })
}

// appendCoordination appends the state of the coordination cluster as this process knows it.
func appendCoordination(out *familyWriter, p *live.Coordination) {
	out.startFamily(gauge, "promises_voter_reached",
		"1 while a voter of the ledger is followed; what is known holds without one.")
	out.sample(boolToFloat(p.Voter != ""))
	out.startFamily(gauge, "promises_age_seconds",
		"The time since a quorum confirmed that nothing newer was promised; absent if it never has.")
	if p.AgeMS >= 0 {
		out.sample(float64(p.AgeMS) / 1000)
	}
	out.startFamily(gauge, "promises_words", "Words of operators that hold, by kind.")
	for kind, n := range p.OverridesByKind {
		out.sample(float64(n), "kind", kind)
	}
}

// appendSums appends the families that are sums over all pools.
func (s *Snapshot) appendSums(out *familyWriter) {
	var withBalancer, withoutRequests, expired, active, draining float64
	for i := range s.Pools {
		p := &s.Pools[i]
		withBalancer += boolToFloat(p.HasBalancer)
		withoutRequests += boolToFloat(!p.HasRequests())
		expired += boolToFloat(p.Expired)
		active += float64(p.Active)
		draining += float64(p.Draining)
	}
	out.startFamily(gauge, "pools", "Pools by what they hold: made ones have their nodes' state, others a list.")
	out.sample(withBalancer, "state", "made")
	out.sample(float64(len(s.Pools))-withBalancer, "state", "unmade")
	out.startFamily(gauge, "pools_never_asked", "Pools that no request has come to; they have no series of their own.")
	out.sample(withoutRequests)
	out.startFamily(gauge, "pools_expired", "Pools whose list is older than it may become: all is refused.")
	out.sample(expired)
	out.startFamily(gauge, "nodes", "Nodes listed, over all pools, by what holds at this balancer.")
	out.sample(active, "phase", "up")
	out.sample(draining, "phase", "draining")
}

// appendPools appends the families that have a series for each pool. They include only the pools that have had requests
// or whose endpoint list has expired.
func (s *Snapshot) appendPools(out *familyWriter) {
	forEachPool := func(appendSamples func(p *Pool)) {
		for i := range s.Pools {
			p := &s.Pools[i]
			if p.HasRequests() || p.Expired {
				appendSamples(p)
			}
		}
	}
	out.startFamily(counter, "requests_total",
		"Requests by their final answer; turned_away are those that found the queue full.")
	forEachPool(func(p *Pool) {
		out.sample(float64(p.Served), "pool", p.Name, "result", "served")
		out.sample(float64(p.Refused), "pool", p.Name, "result", "refused")
		out.sample(float64(p.Failed), "pool", p.Name, "result", "failed")
		out.sample(float64(p.QueueFull), "pool", p.Name, "result", "turned_away")
	})
	out.startFamily(counter, "served_seconds_total",
		"The time that served requests took, from their coming to the head of their answer, in sum.")
	forEachPool(func(p *Pool) { out.sample(p.ServedFor.Seconds(), "pool", p.Name) })
	out.startFamily(gauge, "requests_open", "Requests that a pool holds, sent or waiting.")
	forEachPool(func(p *Pool) { out.sample(float64(p.Open), "pool", p.Name) })
	out.startFamily(gauge, "requests_held", "Of these, the ones that wait for a turn.")
	forEachPool(func(p *Pool) { out.sample(float64(p.Queued), "pool", p.Name) })
	out.startFamily(gauge, "connections", "Connections to nodes.")
	forEachPool(func(p *Pool) { out.sample(float64(p.Connections), "pool", p.Name) })
	out.startFamily(gauge, "tunnels", "Connections that have changed their protocol.")
	forEachPool(func(p *Pool) { out.sample(float64(p.Tunnels), "pool", p.Name) })
	out.startFamily(gauge, "pool_nodes", "Nodes listed, by what holds at this balancer.")
	forEachPool(func(p *Pool) {
		out.sample(float64(p.Active), "pool", p.Name, "phase", "up")
		out.sample(float64(p.Draining), "pool", p.Name, "phase", "draining")
	})
	out.startFamily(gauge, "list_age_seconds", "The time since the last good word from the list's source.")
	forEachPool(func(p *Pool) { out.sample(p.ListAge.Seconds(), "pool", p.Name) })
}

// appendProcess appends the process metrics that Prometheus's client libraries expose, under the same names. A family
// whose value cannot be read from the operating system is omitted.
func appendProcess(out *familyWriter, started time.Time) {
	out.startUnprefixedFamily("process_start_time_seconds", gauge, "Start of the process since the Unix epoch.")
	out.sample(float64(started.UnixMilli()) / 1000)
	if cpu, err := procstat.CPU(os.Getpid()); err == nil {
		out.startUnprefixedFamily("process_cpu_seconds_total", counter,
			"Processor time that the threads of the process have used.")
		out.sample(cpu.Seconds())
	}
	if usage, err := procstat.Of(os.Getpid()); err == nil {
		out.startUnprefixedFamily("process_resident_memory_bytes", gauge, "Resident memory.")
		out.sample(usage.ResidentMB * (1 << 20))
		out.startUnprefixedFamily("process_open_fds", gauge, "Open descriptors.")
		out.sample(float64(usage.Descriptors))
	}
}

// boolToFloat returns 1 if a condition holds and 0 if not, the values of a gauge for a condition.
func boolToFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
