package service

import "olivearch/internal/config"

// Apply replaces the running configuration. Pools and client listeners that both configurations have keep their
// requests, connections and statistics. After an error the previous pools, routes and listeners stay in force.
func (s *Service) Apply(c *config.Loaded) error {
	current := s.state.Load()
	plan, err := s.newPlan(current, c)
	if err != nil {
		return err
	}
	if current.config == nil || current.config.Limits.NodeConnections != c.Limits.NodeConnections {
		s.endpoints.SetConnectionLimit(c.Limits.NodeConnections)
	}
	s.responseMemory.SetSize(int64(c.Limits.Memory) / responseMemoryFraction)
	s.sharedOverrides.configure(c.Promises)
	if err := s.openPools(current, plan); err != nil {
		return err
	}
	s.updatePools(current, plan)
	s.updateRouting(plan.next)
	s.updateListeners(current, plan)
	s.state.Store(plan.next)
	s.applyOverridesToNewPools(current, plan.next)
	s.retireRemovedPools(current, plan.next)
	return nil
}

// openPools starts the new pools. If one fails, it retires those already started and closes the plan's sockets.
func (s *Service) openPools(current *runtimeState, p *plan) error {
	for name := range p.specs {
		if current.pools[name] != nil {
			continue
		}
		if err := s.openPool(p, name); err != nil {
			s.retireNewPools(current, p.next)
			p.closeListeners()
			return err
		}
	}
	return nil
}

func (s *Service) retireNewPools(current, next *runtimeState) {
	for name, opened := range next.pools {
		if current.pools[name] == nil {
			s.retirePool(opened)
		}
	}
}

// updatePools updates the pools that both states have to the next configuration.
func (s *Service) updatePools(current *runtimeState, p *plan) {
	for name := range p.specs {
		if old := current.pools[name]; old != nil {
			s.updatePool(p, name, old)
		}
	}
}

// applyOverridesToNewPools applies the shared overrides to the new pools again, once the next state is stored. openPool
// has applied them already, but a change since then has reached only the pools of the previous state.
func (s *Service) applyOverridesToNewPools(current, next *runtimeState) {
	for name, p := range next.pools {
		if current.pools[name] == nil {
			s.sharedOverrides.applyTo(name, p)
		}
	}
}

func (s *Service) retireRemovedPools(current, next *runtimeState) {
	for name, old := range current.pools {
		if next.pools[name] == nil {
			s.retirePool(old)
		}
	}
}
