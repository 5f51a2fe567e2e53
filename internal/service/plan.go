package service

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"

	"olivearch/internal/config"
	"olivearch/internal/pool"
)

// plan is a step from one state to the next. Making it does what can fail, so that an error changes nothing.
type plan struct {
	next      *runtimeState
	listeners map[string]net.Listener // opened for the next state, by the address in the configuration
	lists     map[string]initialList  // of pools whose source is new, or stands in the configuration
	specs     map[string]pool.Spec    // of all pools
	unchanged map[string]bool         // pools whose specification stays
}

// planner makes a plan and collects all errors on the way.
type planner struct {
	service *Service
	now     *runtimeState
	config  *config.Loaded
	plan    *plan
	errs    []error
}

// newPlan checks and opens what a configuration needs.
func (s *Service) newPlan(now *runtimeState, c *config.Loaded) (*plan, error) {
	planning := &planner{
		service: s,
		now:     now,
		config:  c,
		plan: &plan{
			next:      newRuntimeState(c, now.reloads+1),
			listeners: map[string]net.Listener{},
			specs:     make(map[string]pool.Spec, len(c.Pools)),
			unchanged: make(map[string]bool, len(c.Pools)),
		},
	}
	planning.readNewLists()
	planning.planPools()
	planning.openListeners()
	planning.openAdmin()
	if err := errors.Join(planning.errs...); err != nil {
		planning.discard()
		return nil, err
	}
	return planning.plan, nil
}

func (m *planner) fail(err error) { m.errs = append(m.errs, err) }

// readNewLists reads the files of endpoint lists that the pools of now do not follow yet.
func (m *planner) readNewLists() {
	var names []string
	for name, p := range m.config.Pools {
		file := p.Nodes.File
		old := m.now.pools[name]
		if file != "" && (old == nil || old.source.File != file) {
			names = append(names, name)
		}
	}
	m.plan.lists = readLists(m.config, names)
	endpoints := 0
	for _, list := range m.plan.lists {
		endpoints += len(list.endpoints)
	}
	m.fail(m.config.CheckCapacity(endpoints))
}

// planPools finds the specification of each pool, and checks those that are new or change.
func (m *planner) planPools() {
	samePools := m.config.SamePools(m.now.config)
	for _, name := range slices.Sorted(maps.Keys(m.config.Pools)) {
		old := m.now.pools[name]
		spec, unchanged := m.poolSpec(name, old, samePools)
		m.plan.specs[name] = spec
		if unchanged {
			m.plan.unchanged[name] = true
		} else if err := spec.Settings.Validate(); err != nil {
			m.fail(fmt.Errorf("pool %s: %w", name, err))
		}
		if err := m.plan.lists[name].err; err != nil {
			m.fail(err)
		}
		if source := m.config.Pools[name].Nodes; source.File == "" {
			m.plan.lists[name] = initialList{endpoints: source.Static}
		}
	}
}

// poolSpec returns the specification of a pool, and whether it is that of the pool that runs under this name (nil:
// none does). With samePools, which only holds if all pools run, only the table of tenants can have changed.
func (m *planner) poolSpec(name string, old *runningPool, samePools bool) (spec pool.Spec, unchanged bool) {
	if samePools {
		spec = old.spec
		spec.Settings.Tenants = m.config.Tenants
		return spec, spec.Settings.Tenants == old.spec.Settings.Tenants
	}
	spec = newPoolSpec(m.config, name)
	return spec, old != nil && sameSpec(&old.spec, &spec)
}

// openListeners opens the sockets of listeners that do not run yet.
func (m *planner) openListeners() {
	for _, l := range m.config.Listeners {
		if m.now.listeners[l.Address] != nil {
			continue
		}
		socket, err := net.Listen("tcp", l.Address)
		if err != nil {
			m.fail(fmt.Errorf("listener %s: %w", l.Name, err))
			continue
		}
		m.plan.listeners[l.Address] = socket
	}
}

// openAdmin starts the admin listener, unless there is none or it runs already.
func (m *planner) openAdmin() {
	if m.config.Admin == nil {
		return
	}
	address := m.config.Admin.Address
	if m.now.admin != nil && m.now.admin.configured == address {
		m.plan.next.admin = m.now.admin
		return
	}
	admin, err := startAdmin(address, m.service.PartialView, m.service.Metrics)
	if err != nil {
		m.fail(fmt.Errorf("admin: %w", err))
		return
	}
	m.plan.next.admin = admin
}

// discard closes what was opened for a plan that has failed.
func (m *planner) discard() {
	m.plan.closeListeners()
	if admin := m.plan.next.admin; admin != nil && admin != m.now.admin {
		admin.stop()
	}
}

// closeListeners closes the sockets of a plan that is not carried out.
func (p *plan) closeListeners() {
	for _, socket := range p.listeners {
		socket.Close()
	}
}
