package service

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"

	"olivearch/internal/budget"
	"olivearch/internal/config"
	"olivearch/internal/pool"
)

// plan is the change from the current state to the next. The steps that are likely to fail, reading endpoint lists and
// opening sockets, are done while the plan is made, before anything that runs is changed.
type plan struct {
	next      *runtimeState
	listeners map[string]net.Listener // opened for the next state, by the address in the configuration
	lists     map[string]initialList  // of pools with a new list file, or with a static list or discovery
	specs     map[string]pool.Spec    // of all pools, by name
	unchanged map[string]bool         // pools whose specification does not change
}

// planner makes a plan and collects the errors of all its steps.
type planner struct {
	service *Service
	current *runtimeState
	config  *config.Loaded
	plan    *plan
	errs    []error
}

// newPlan makes the plan for a configuration. If it returns an error, which joins those of all steps, it has closed
// every socket that it opened.
func (s *Service) newPlan(current *runtimeState, c *config.Loaded) (*plan, error) {
	planning := &planner{
		service: s,
		current: current,
		config:  c,
		plan: &plan{
			next:      newRuntimeState(c, current.reloads+1),
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

func (pl *planner) fail(err error) { pl.errs = append(pl.errs, err) }

// readNewLists reads the endpoint list files that the pools of the current state do not follow yet, and checks that
// limits.memory suffices for the endpoints that it read.
func (pl *planner) readNewLists() {
	var names []string
	for name, p := range pl.config.Pools {
		file := p.Nodes.File
		old := pl.current.pools[name]
		if file != "" && (old == nil || old.source.File != file) {
			names = append(names, name)
		}
	}
	pl.plan.lists = readLists(pl.config, names)
	endpoints := 0
	for _, list := range pl.plan.lists {
		endpoints += len(list.endpoints)
	}
	pl.fail(pl.config.CheckMemory(endpoints))
}

// planPools determines the specification of each pool and validates those that are new or changed.
func (pl *planner) planPools() {
	samePools := pl.config.HasSamePoolSettings(pl.current.config)
	for _, name := range slices.Sorted(maps.Keys(pl.config.Pools)) {
		old := pl.current.pools[name]
		spec, unchanged := pl.poolSpec(name, old, samePools)
		pl.plan.specs[name] = spec
		if unchanged {
			pl.plan.unchanged[name] = true
		} else if err := spec.Settings.Validate(); err != nil {
			pl.fail(fmt.Errorf("pool %s: %w", name, err))
		}
		if err := pl.plan.lists[name].err; err != nil {
			pl.fail(err)
		}
		if source := pl.config.Pools[name].Nodes; source.File == "" {
			pl.plan.lists[name] = initialList{endpoints: source.Static}
		}
	}
}

// poolSpec returns the specification of a pool, and whether the running pool of this name already has it. That pool is
// old, which is nil if there is none. If samePools is set, all pools run already and only the tenant table can differ.
func (pl *planner) poolSpec(name string, old *runningPool, samePools bool) (spec pool.Spec, unchanged bool) {
	if samePools {
		spec = old.spec
		spec.Settings.Tenants = pl.config.Tenants
		return spec, spec.Settings.Tenants == old.spec.Settings.Tenants
	}
	spec = newPoolSpec(pl.config, name)
	spec.ResponseMemory = budget.Shared{Budget: pl.service.responseMemory}
	return spec, old != nil && sameSpec(&old.spec, &spec)
}

// openListeners opens the sockets of client listeners that do not run yet.
func (pl *planner) openListeners() {
	for _, l := range pl.config.Listeners {
		if pl.current.listeners[l.Address] != nil {
			continue
		}
		socket, err := net.Listen("tcp", l.Address)
		if err != nil {
			pl.fail(fmt.Errorf("listener %s: %w", l.Name, err))
			continue
		}
		pl.plan.listeners[l.Address] = socket
	}
}

// openAdmin starts the admin listener if the configuration has one that does not run yet.
func (pl *planner) openAdmin() {
	if pl.config.Admin == nil {
		return
	}
	address := pl.config.Admin.Address
	if pl.current.admin != nil && pl.current.admin.configuredAddress == address {
		pl.plan.next.admin = pl.current.admin
		return
	}
	admin, err := startAdmin(address, pl.service.PartialView, pl.service.Metrics)
	if err != nil {
		pl.fail(fmt.Errorf("admin: %w", err))
		return
	}
	pl.plan.next.admin = admin
}

// discard closes the client listeners' sockets and the admin listener that were opened for a failed plan.
func (pl *planner) discard() {
	pl.plan.closeListeners()
	if admin := pl.plan.next.admin; admin != nil && admin != pl.current.admin {
		admin.stop()
	}
}

// closeListeners closes the client listeners' sockets of a plan that is not carried out.
func (p *plan) closeListeners() {
	for _, socket := range p.listeners {
		socket.Close()
	}
}
