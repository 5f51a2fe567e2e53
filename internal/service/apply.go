package service

import "olivearch/internal/config"

// Apply moves to a configuration. Pools and listeners that stay go on with all that they hold. An error changes
// nothing.
func (s *Service) Apply(c *config.Loaded) error {
	now := s.state.Load()
	plan, err := s.newPlan(now, c)
	if err != nil {
		return err
	}
	if now.config == nil || now.config.Limits.NodeConnections != c.Limits.NodeConnections {
		s.endpoints.SetConnectionLimit(c.Limits.NodeConnections)
	}
	s.sharedOverrides.configure(c.Promises)
	if err := s.openPools(now, plan); err != nil {
		return err
	}
	s.updatePools(now, plan)
	s.updateRouting(plan.next)
	s.updateListeners(now, plan)
	s.state.Store(plan.next)
	s.applyOverridesToNewPools(now, plan.next)
	s.retireRemovedPools(now, plan.next)
	return nil
}

// openPools starts the pools that are new. After an error none of them is left, nor an open listener of the plan.
func (s *Service) openPools(now *runtimeState, p *plan) error {
	for name := range p.specs {
		if now.pools[name] != nil {
			continue
		}
		if err := s.openPool(p, name); err != nil {
			s.retireNewPools(now, p.next)
			p.closeListeners()
			return err
		}
	}
	return nil
}

func (s *Service) retireNewPools(now, next *runtimeState) {
	for name, opened := range next.pools {
		if now.pools[name] == nil {
			s.retirePool(opened)
		}
	}
}

// updatePools brings the pools that stay to the next configuration.
func (s *Service) updatePools(now *runtimeState, p *plan) {
	for name := range p.specs {
		if old := now.pools[name]; old != nil {
			s.updatePool(p, name, old)
		}
	}
}

// applyOverridesToNewPools applies the shared overrides to pools that have just become part of the state. They had them
// when they were opened, but a change since then has only reached the pools of the state before.
func (s *Service) applyOverridesToNewPools(now, next *runtimeState) {
	for name, p := range next.pools {
		if now.pools[name] == nil {
			s.sharedOverrides.applyTo(name, p)
		}
	}
}

func (s *Service) retireRemovedPools(now, next *runtimeState) {
	for name, old := range now.pools {
		if next.pools[name] == nil {
			s.retirePool(old)
		}
	}
}
