// Package service runs what a configuration describes: listeners, routes, pools, node lists and the admin listener, and
// moves from one configuration to the next while traffic flows.
package service

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/config"
	"olivearch/internal/endpointcache"
	"olivearch/internal/endpointlist"
	"olivearch/internal/frontend"
	"olivearch/internal/live"
	"olivearch/internal/metrics"
	"olivearch/internal/pool"
	"olivearch/internal/proxy"
	"olivearch/internal/wire"
)

// readEvery is how often a list's file is read even if nothing tells of a change.
const readEvery = 5 * time.Second

// Service is a running configuration. Apply and Stop belong to one goroutine; View may be called from any.
type Service struct {
	version   string
	started   time.Time
	ctx       context.Context
	end       context.CancelFunc
	directory *pool.EndpointRegistry
	lists     *endpointlist.Watcher
	desk      *proxy.RouteTable
	state     atomic.Pointer[configuration]
	promises  *governing
	failed    chan error
	leaving   sync.WaitGroup // fronts and pools that a reload has removed
}

// configuration is what runs now. It never changes: Apply makes another.
type configuration struct {
	config  *config.Loaded
	fronts  map[string]*front // by the address in the configuration
	pools   map[string]*member
	admin   *admin
	reloads int
}

type front struct {
	*frontend.Server
	name    string
	address net.Addr
}

// member is a pool with what follows its list.
type member struct {
	*pool.Pool
	spec   pool.Spec
	source config.NodeSource
	stop   func() // ends the following, and returns when it has
}

// Start runs a configuration. Version is shown in the live view.
func Start(c *config.Loaded, version string) (*Service, error) {
	s := &Service{version: version, started: time.Now(), failed: make(chan error, 1)}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.directory = pool.NewEndpointRegistry(s.ctx, c.Limits.NodeConnections)
	s.lists = endpointlist.NewWatcher(s.ctx, readEvery, reportWatch)
	s.state.Store(&configuration{fronts: map[string]*front{}, pools: map[string]*member{}, reloads: -1})
	s.promises = &governing{pools: func() map[string]*member { return s.state.Load().pools }}
	if err := s.Apply(c); err != nil {
		s.end()
		return nil, err
	}
	return s, nil
}

// Failed tells the error of a listener that has ended by itself.
func (s *Service) Failed() <-chan error { return s.failed }

// plan is a step from one state to the next. What can fail is in making it, so that an error changes nothing.
type plan struct {
	next      *configuration
	listeners map[string]net.Listener
	lists     map[string]firstList // of pools whose source is new, or stands in the configuration
	specs     map[string]pool.Spec
	stay      map[string]bool // pools that are told nothing new
}

// drop undoes a plan that is not carried out.
func (p *plan) drop() {
	for _, l := range p.listeners {
		l.Close()
	}
}

// Apply moves to a configuration. Pools and listeners that stay go on with all that they hold; an error changes nothing.
func (s *Service) Apply(c *config.Loaded) error {
	now := s.state.Load()
	p, err := s.plan(now, c)
	if err != nil {
		return err
	}
	if now.config == nil || now.config.Limits.NodeConnections != c.Limits.NodeConnections {
		s.directory.SetConnectionLimit(c.Limits.NodeConnections)
	}
	s.promises.follow(c.Promises)
	for name, spec := range p.specs {
		if old := now.pools[name]; old == nil {
			if err = s.open(p, name, spec, c.Pools[name].Nodes); err != nil {
				break
			}
		}
	}
	if err != nil {
		for name, x := range p.next.pools {
			if now.pools[name] == nil {
				s.retire(x)
			}
		}
		p.drop()
		return err
	}
	for name, spec := range p.specs {
		if old := now.pools[name]; old != nil {
			s.change(p, name, old, spec, c.Pools[name].Nodes)
		}
	}
	s.route(p.next)
	s.serve(now, p)
	s.state.Store(p.next)
	for name, x := range p.next.pools {
		if now.pools[name] == nil { // once more: the ledger may have spoken since the pool was opened
			s.promises.begin(name, x)
		}
	}
	for name, old := range now.pools {
		if p.next.pools[name] == nil {
			s.retire(old)
		}
	}
	return nil
}

// plan checks and opens what a configuration needs.
func (s *Service) plan(now *configuration, c *config.Loaded) (*plan, error) {
	p := &plan{
		next:      &configuration{config: c, fronts: map[string]*front{}, pools: map[string]*member{}, reloads: now.reloads + 1},
		listeners: map[string]net.Listener{}, specs: make(map[string]pool.Spec, len(c.Pools)), stay: make(map[string]bool, len(c.Pools)),
	}
	var errs []error
	var files []string
	for name, x := range c.Pools {
		if old := now.pools[name]; x.Nodes.File != "" && (old == nil || old.source.File != x.Nodes.File) {
			files = append(files, name)
		}
	}
	p.lists = readLists(c, files)
	nodes := 0
	for _, l := range p.lists {
		nodes += len(l.nodes)
	}
	errs = append(errs, c.Bears(nodes))
	told := c.SamePools(now.config)
	for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
		old := now.pools[name]
		var x pool.Spec
		if told {
			x = old.spec
			x.Settings.Tenants = c.Tenants
		} else {
			x = spec(c, name)
		}
		p.specs[name] = x
		if old != nil && (told && x.Settings.Tenants == old.spec.Settings.Tenants || !told && same(&old.spec, &x)) {
			p.stay[name] = true
		} else if err := x.Settings.Validate(); err != nil {
			errs = append(errs, fmt.Errorf("pool %s: %w", name, err))
		}
		if err := p.lists[name].err; err != nil {
			errs = append(errs, err)
		}
		if x := c.Pools[name].Nodes; x.File == "" {
			p.lists[name] = firstList{nodes: x.Static}
		}
	}
	for _, l := range c.Listeners {
		if now.fronts[l.Address] != nil {
			continue
		}
		x, err := net.Listen("tcp", l.Address)
		if err != nil {
			errs = append(errs, fmt.Errorf("listener %s: %w", l.Name, err))
			continue
		}
		p.listeners[l.Address] = x
	}
	switch {
	case c.Admin == nil:
	case now.admin != nil && now.admin.configured == c.Admin.Address:
		p.next.admin = now.admin
	default:
		x, err := newAdmin(c.Admin.Address, s.Part, s.Metrics)
		if err != nil {
			errs = append(errs, fmt.Errorf("admin: %w", err))
		}
		p.next.admin = x
	}
	if err := errors.Join(errs...); err != nil {
		p.drop()
		if x := p.next.admin; x != nil && x != now.admin {
			x.stop()
		}
		return nil, err
	}
	return p, nil
}

// spec is what a pool is told of a configuration.
func spec(c *config.Loaded, name string) pool.Spec {
	x := c.Pools[name]
	return pool.Spec{
		Name: name, Settings: c.Settings(name), Discovery: x.Nodes.Discovery, MaxEndpointAge: time.Duration(x.Nodes.Hold),
		Links:          wire.Links{KeepAlive: time.Duration(x.IdleTimeout), ConnectTimeout: time.Duration(x.ConnectTimeout)},
		MaxConnections: x.Connections, MaxRequests: x.Queue, SharedWeight: x.Share, IgnoreDrainsOfOthers: x.Drains == "own", ReuseDelayOnlyAfterUnsolicited: x.Rest == "after_stray",
		Tunnels: pool.TunnelLimits{Total: x.Tunnels.Most, PerEndpoint: x.Tunnels.PerNode}, FullResponses: true,
	}
}

// same tells whether a pool that was told x would be told nothing new by y. A table of tenants that was made anew is taken for another.
func same(x, y *pool.Spec) bool {
	if x.Settings.Tenants != y.Settings.Tenants {
		return false
	}
	was, is := *x, *y
	was.Seed, was.InitialEndpoints, was.EndpointStore = is.Seed, is.InitialEndpoints, is.EndpointStore // for its start only
	was.Settings.Tenants, is.Settings.Tenants = nil, nil                                               // a table's size is nothing to be compared for each pool
	return reflect.DeepEqual(was, is)
}

// open starts a pool and gives it its list.
func (s *Service) open(p *plan, name string, spec pool.Spec, source config.NodeSource) error {
	spec.Seed = rand.Uint64()
	if source.Keep != "" {
		known, err := endpointcache.Load(source.Keep)
		if err != nil { // a damaged list must not keep the process from serving
			slog.Warn("starting without the kept list", "pool", name, "err", err)
		}
		spec.InitialEndpoints, spec.EndpointStore = known, endpointcache.NewWriter(source.Keep, known)
	}
	x, err := pool.New(s.ctx, spec, s.directory, nil)
	if err != nil {
		if spec.EndpointStore != nil {
			spec.EndpointStore.Close()
		}
		return fmt.Errorf("pool %s: %w", name, err)
	}
	if source.Discovery == "" {
		x.UpdateEndpoints(p.lists[name].nodes)
	}
	next := &member{Pool: x, spec: spec, source: source, stop: s.follow(name, x, source, p.lists[name].read)}
	p.next.pools[name] = next
	s.promises.begin(name, next)
	return nil
}

// change brings a pool that stays to its new configuration.
func (s *Service) change(p *plan, name string, old *member, spec pool.Spec, source config.NodeSource) {
	next := *old
	p.next.pools[name] = &next
	next.spec, next.source = spec, source
	moved := old.source.File != source.File || (old.source.Discovery == "") != (source.Discovery == "")
	if moved { // a late word of the old source must not pass for one of the new
		old.stop()
	}
	if !p.stay[name] {
		if err := old.Configure(spec); err != nil { // its settings are valid: it has ended
			slog.Error("pool keeps its configuration", "pool", name, "err", err)
		}
	}
	if source.Discovery == "" && (moved || source.File == "" && !slices.Equal(old.source.Static, source.Static)) {
		old.UpdateEndpoints(p.lists[name].nodes)
	}
	if moved {
		next.stop = s.follow(name, old.Pool, source, p.lists[name].read)
	}
}

// route makes the routes of a state those that hold.
func (s *Service) route(next *configuration) {
	c := next.config
	r := &proxy.Routing{Table: c.Table, Destinations: make([]proxy.Destination, len(c.Targets)), Pools: make(map[string]*pool.Pool, len(next.pools))}
	for i, x := range c.Targets {
		r.Destinations[i] = proxy.Destination{
			Class: c.Class(x.Class), Limit: time.Duration(x.Deadline), KeyCookie: x.KeyCookie,
			BodyLimits: &body.Limits{
				Request: int64(x.Body.Max), Ahead: int(x.Body.Buffer), Within: time.Duration(x.Body.Within), Answer: int64(x.Answer.Max),
				Quiet: time.Duration(x.Answer.Idle), Total: time.Duration(x.Answer.Total), Trailers: true,
			},
			Upgrades: x.Upgrades, TunnelLimits: &body.TunnelLimits{Idle: time.Duration(x.Tunnels.Idle), Total: time.Duration(x.Tunnels.Total), Grace: time.Duration(x.Tunnels.Grace)},
		}
	}
	for name, x := range next.pools {
		r.Pools[name] = x.Pool
	}
	if s.desk == nil {
		s.desk = proxy.NewRouteTable(r)
		return
	}
	s.desk.SetRouting(r)
}

// serve starts, resizes and stops listeners.
func (s *Service) serve(now *configuration, p *plan) {
	spool := int64(p.next.config.Limits.Bodies) / int64(len(p.next.config.Listeners))
	for _, l := range p.next.config.Listeners {
		if old := now.fronts[l.Address]; old != nil {
			old.Limit(limits(l))
			old.Spool(spool)
			p.next.fronts[l.Address] = old
			continue
		}
		x := p.listeners[l.Address]
		f := &front{frontend.New(s.desk, x, limits(l)), l.Name, x.Addr()}
		f.Spool(spool)
		p.next.fronts[l.Address] = f
		go func() {
			if err := f.Serve(); err != nil {
				select {
				case s.failed <- fmt.Errorf("listener %s: %w", f.name, err):
				default:
				}
			}
		}()
	}
	for address, old := range now.fronts {
		if p.next.fronts[address] == nil {
			s.leaving.Go(old.Stop)
		}
	}
	if now.admin != nil && now.admin != p.next.admin {
		now.admin.stop()
	}
}

// limits are what a listener's clients may take.
func limits(l config.Listener) frontend.Limits {
	return frontend.Limits{Connections: l.Connections, Head: int(l.Head), Within: time.Duration(l.Within), Rate: int(l.Rate), Floor: true, HTTP10: true}
}

// retire ends a pool once its requests are answered.
func (s *Service) retire(x *member) {
	x.stop()
	x.Shutdown()
	s.leaving.Go(func() { <-x.Done() })
}

// Stop answers what was taken, and ends.
func (s *Service) Stop() {
	now := s.state.Load()
	var fronts sync.WaitGroup
	for _, f := range now.fronts {
		fronts.Go(f.Stop)
	}
	fronts.Wait()
	for _, x := range now.pools {
		s.retire(x)
	}
	s.leaving.Wait()
	if now.admin != nil {
		now.admin.stop()
	}
	s.promises.close()
	s.end()
}

// Address returns where a listener of the configuration listens: its port may have been the system's to choose.
func (s *Service) Address(configured string) net.Addr {
	if f := s.state.Load().fronts[configured]; f != nil {
		return f.address
	}
	return nil
}

// AdminAddress returns where the admin listener listens; nil if there is none.
func (s *Service) AdminAddress() net.Addr {
	if a := s.state.Load().admin; a != nil {
		return a.address
	}
	return nil
}

// View returns the state of the whole.
func (s *Service) View() live.View {
	v, _ := s.Part(live.Part{})
	return v
}

// Part returns the state of a part: a pool that is not asked for is not disturbed. An error names a pool that there is not.
func (s *Service) Part(part live.Part) (live.View, error) {
	now := s.state.Load()
	v := live.View{Version: s.version, UptimeMS: time.Since(s.started).Milliseconds(), Reloads: now.reloads, Pools: []live.Pool{}}
	v.Listeners = now.listeners()
	names := part.Pools
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(now.pools))
	}
	for _, name := range names {
		p := now.pools[name]
		if p == nil {
			return v, fmt.Errorf("there is no pool %.64q", name)
		}
		v.Pools = append(v.Pools, p.PartialView(part))
	}
	v.Promises = s.promises.view()
	return v, nil
}

// Metrics are the process's counters and levels. No pool's goroutine is asked for them.
func (s *Service) Metrics() metrics.Snapshot {
	now := s.state.Load()
	m := metrics.Snapshot{Version: s.version, Started: s.started, Reloads: now.reloads, Listeners: now.listeners(), Promises: s.promises.view()}
	for _, name := range slices.Sorted(maps.Keys(now.pools)) {
		m.Pools = append(m.Pools, metrics.Pool{Name: name, Stats: now.pools[name].Stats()})
	}
	return m
}

// listeners are those for clients, by name.
func (now *configuration) listeners() []live.Listener {
	list := []live.Listener{}
	for _, f := range now.fronts {
		open, limit := f.Connections()
		list = append(list, live.Listener{Name: f.name, Address: f.address.String(), Connections: open, Limit: limit})
	}
	slices.SortFunc(list, func(a, b live.Listener) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
