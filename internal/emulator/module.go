package emulator

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/config"
	"olivearch/internal/scenario"
	"olivearch/internal/stats"
)

// flight is a request at the module.
type flight struct {
	*request
	attempts []*attempt
	out      int // attempts whose outcome the module has not had
}

// attempt is one send.
type attempt struct {
	flight *flight
	n      int
	node   *node
	sentAt time.Duration
	told   bool
}

// module is the decision module under the same owner's rules as internal/pool's loop: outcomes that come up while it is
// calling are told after it has returned; at a request's deadline what is out ends as timed out.
type module struct {
	w       *world
	b       *balancer.Balancer
	flights map[balancer.RequestID]*flight
	calls   int // the module is being called
	due     []func()
	view    map[balancer.UpstreamID]balancer.UpstreamView
	viewAt  time.Duration
}

var _ balancer.Host = (*module)(nil)

func newModule(w *world, rank int, seed uint64) (simulatedBalancer, error) {
	c, err := config.Parse("scenario", []byte(w.file.Config("127.0.0.1:1", "127.0.0.1:2", "{discovery: '127.0.0.1:3'}")))
	if err != nil {
		return nil, err
	}
	s := c.Settings(scenario.Pool)
	s.Rank = rank
	m := &module{w: w, flights: map[balancer.RequestID]*flight{}}
	m.b, err = balancer.New(s, seed, w.now, m)
	return m, err
}

// call calls the module, and then tells the outcomes that came up meanwhile.
func (m *module) call(f func()) {
	if m.calls > 0 {
		m.due = append(m.due, f)
		return
	}
	m.calls++
	f()
	m.calls--
	for len(m.due) > 0 && m.calls == 0 {
		f := m.due[0]
		m.due = m.due[1:]
		m.call(f)
	}
}

func (m *module) list(nodes []*node) {
	var list []balancer.Upstream
	for _, n := range nodes {
		u := balancer.Upstream{ID: balancer.UpstreamID(n.index + 1), Zone: n.Zone, Weight: n.Weight, WarmUpShare: 1, MaxInFlight: m.w.file.Connections}
		if n.started >= 0 {
			u.StartedAt = n.started
		}
		if n.draining {
			u.State = balancer.Draining
		}
		list = append(list, u)
	}
	m.call(func() { m.b.EndpointsUpdated(m.w.now, balancer.ListFull, list) })
}

func (m *module) take(r *request) {
	if len(m.flights) >= m.w.file.Queue {
		r.end(stats.Refused)
		return
	}
	id := balancer.RequestID(r.id)
	f := &flight{request: r}
	m.flights[id] = f
	m.w.after(r.deadline-m.w.now, func() {
		for _, a := range f.attempts {
			m.tell(a, balancer.Timeout, report{})
		}
	})
	m.call(func() {
		m.b.RequestArrived(m.w.now, balancer.Request{ID: id, Budget: r.deadline - m.w.now, Class: r.load.Name, Tenant: r.load.Tenant})
	})
}

// tell gives the module an attempt's one outcome, and the client the answer if it is served.
func (m *module) tell(a *attempt, s balancer.Status, x report) {
	if a.told {
		return
	}
	a.told = true
	f := a.flight
	if s == balancer.OK && !f.ended {
		f.end(stats.Served)
	}
	f.out--
	closed := f.ended
	m.release(f)
	o := balancer.AttemptResult{
		ID: balancer.RequestID(f.id), Upstream: balancer.UpstreamID(a.node.index + 1), Attempt: a.n, Latency: m.w.now - a.sentAt,
		Status: s, Closed: closed,
	}
	if x.known {
		o.Load = balancer.Load{Fields: balancer.HasUtilisation | balancer.HasService | balancer.HasRate | balancer.HasErrors, Utilisation: x.util, Service: x.latency, Rate: x.qps}
	}
	m.call(func() { m.b.AttemptFinished(m.w.now, o) })
}

func (m *module) release(f *flight) {
	if f.ended && f.out == 0 {
		delete(m.flights, balancer.RequestID(f.id))
	}
}

// Send makes an attempt.
func (m *module) Send(id balancer.RequestID, up balancer.UpstreamID, timeout time.Duration) {
	f, n := m.flights[id], m.w.nodes[up-1]
	a := &attempt{flight: f, n: len(f.attempts), node: n, sentAt: m.w.now}
	f.attempts = append(f.attempts, a)
	f.out++
	if timeout > 0 {
		m.w.after(timeout, func() { m.tell(a, balancer.Timeout, report{}) })
	}
	way := hop + time.Duration(n.Delay)
	statuses := map[reply]balancer.Status{answered: balancer.OK, full: balancer.Rejected, refused: balancer.ConnectFailed, reset: balancer.Reset}
	j := &job{request: f.request, size: f.size}
	j.back = func(v reply, x report) { m.w.after(way, func() { m.tell(a, statuses[v], x) }) }
	m.w.after(way, func() { n.take(j) })
}

// Reject answers a client.
func (m *module) Reject(id balancer.RequestID, _ time.Duration) { m.answer(id, stats.Refused) }

// Fail answers a client.
func (m *module) Fail(id balancer.RequestID) { m.answer(id, stats.Failed) }

func (m *module) answer(id balancer.RequestID, e stats.End) {
	if f := m.flights[id]; f != nil && !f.ended {
		f.end(e)
		m.release(f)
	}
}

// Cancel stops waiting for an attempt.
func (m *module) Cancel(id balancer.RequestID, n int) {
	if f := m.flights[id]; f != nil && n < len(f.attempts) {
		m.due = append(m.due, func() { m.tell(f.attempts[n], balancer.Cancelled, report{}) })
	}
}

// SetTimer asks for a Timer event.
func (m *module) SetTimer(after time.Duration, token uint64) {
	m.w.after(after, func() { m.call(func() { m.b.TimerFired(m.w.now, token) }) })
}

// The rest has no part here: nodes are not probed, connections not modelled, lists pushed.

func (m *module) HealthCheck(balancer.UpstreamID) {}
func (m *module) CloseIdle(balancer.UpstreamID)   {}
func (m *module) WatchEndpoints(bool)             {}
func (m *module) FetchEndpoints()                 {}
func (m *module) Log(string)                      {}

func (m *module) sample(n *node, s *stats.NodeSample) {
	if m.view == nil || m.viewAt != m.w.now {
		views, _ := m.b.View(m.w.now)
		m.view, m.viewAt = map[balancer.UpstreamID]balancer.UpstreamView{}, m.w.now
		for _, v := range views {
			m.view[v.ID] = v
		}
	}
	v := m.view[balancer.UpstreamID(n.index+1)]
	s.Share, s.Mean, s.Lower, s.Upper, s.Bound, s.Out = v.Share, v.Mean, v.Lower, v.Upper, v.ConcurrencyLimit, v.InFlight
}
