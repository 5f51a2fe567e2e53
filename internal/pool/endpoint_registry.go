package pool

import (
	"context"
	"sync"

	"olivearch/internal/sharedlimit"
)

// EndpointRegistry tells the pools of a process what each may use of the endpoints that several of them list. Its
// goroutine owns the state and waits for no pool; no pool waits for it. A pool's claim costs work by its own endpoints,
// and notifications only for pools that list one of these too and for which something differs. Its methods may be
// called from any goroutine.
type EndpointRegistry struct {
	ctx      context.Context
	mu       sync.Mutex
	commands []registryCommand
	ready    chan struct{} // has one entry once a command was submitted
}

// registryCommand changes the registry's state, on its goroutine.
type registryCommand func(*registryState)

// registryState is what the registry's goroutine owns.
type registryState struct {
	allocator       *sharedlimit.Allocator
	registrants     map[*sharedlimit.Pool]*registrant
	newlyClaimed    map[*sharedlimit.Pool]struct{} // whose claim was accepted since pools were last notified
	connectionLimit int                            // connections to one endpoint over all pools
	limitChanged    bool                           // since pools were last notified
}

// registrant is what the registry knows of a pool.
type registrant struct {
	notify      func(event) // must not block
	claimSerial uint64      // of the claim that the allocator has
}

// NewEndpointRegistry starts a registry, for so many connections to one endpoint over all pools. It ends with the
// context.
func NewEndpointRegistry(ctx context.Context, connections int) *EndpointRegistry {
	registry := &EndpointRegistry{ctx: ctx, ready: make(chan struct{}, 1)}
	go registry.run(newRegistryState(connections))
	return registry
}

// run executes commands until the context ends. It is the registry's goroutine.
func (r *EndpointRegistry) run(state *registryState) {
	for {
		select {
		case <-r.ready:
			state.process(r.takeCommands())
		case <-r.ctx.Done():
			return
		}
	}
}

// submit hands a command to the registry's goroutine. It does not wait.
func (r *EndpointRegistry) submit(command registryCommand) {
	r.mu.Lock()
	r.commands = append(r.commands, command)
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

func (r *EndpointRegistry) takeCommands() []registryCommand {
	r.mu.Lock()
	defer r.mu.Unlock()
	commands := r.commands
	r.commands = nil
	return commands
}

// SetConnectionLimit changes how many connections an endpoint takes over all pools.
func (r *EndpointRegistry) SetConnectionLimit(connections int) {
	r.submit(func(state *registryState) {
		if connections == state.connectionLimit {
			return
		}
		state.allocator.SetConnectionLimit(connections)
		state.connectionLimit = connections
		state.limitChanged = true
	})
}

// join registers a pool; a nil registry has no registrations. notify gets the pool's allotmentsChanged and must not
// block.
func (r *EndpointRegistry) join(weight float64, ownDrainsOnly bool, notify func(event)) *registration {
	if r == nil {
		return nil
	}
	joined := &registration{
		registry:      r,
		pool:          new(sharedlimit.Pool),
		weight:        weight,
		ownDrainsOnly: ownDrainsOnly,
		unconfirmed:   map[string]uint64{},
		allotments:    map[string]sharedlimit.Allotment{},
	}
	r.submit(func(state *registryState) { state.registrants[joined.pool] = &registrant{notify: notify} })
	return joined
}

func newRegistryState(connections int) *registryState {
	return &registryState{
		allocator:       sharedlimit.NewAllocator(connections),
		registrants:     map[*sharedlimit.Pool]*registrant{},
		newlyClaimed:    map[*sharedlimit.Pool]struct{}{},
		connectionLimit: connections,
	}
}

// process executes commands and notifies the pools of what has changed.
func (s *registryState) process(commands []registryCommand) {
	for _, command := range commands {
		command(s)
	}
	s.notifyPools()
}

// notifyPools notifies pools of what has changed since it was last called: first all pools of what cuts their use of an
// endpoint, then of the rest and that their claims are accepted. So what is given to a pool was taken from others
// before.
func (s *registryState) notifyPools() {
	cuts, rest := s.allocator.Changes()
	for pool, changes := range cuts {
		registrant := s.registrants[pool]
		registrant.notify(allotmentsChanged{changes: changes, claimSerial: registrant.claimSerial})
	}
	for pool := range s.concerned(rest) {
		registrant := s.registrants[pool]
		if registrant == nil { // it has left
			continue
		}
		registrant.notify(allotmentsChanged{
			changes:         rest[pool],
			claimSerial:     registrant.claimSerial,
			claimAccepted:   true,
			connectionLimit: s.connectionLimit,
		})
	}
	clear(s.newlyClaimed)
	s.limitChanged = false
}

// concerned are the pools to notify after the cuts: those with changes, with a new claim, and, after another limit,
// all. It adds to newlyClaimed.
func (s *registryState) concerned(changes map[*sharedlimit.Pool][]sharedlimit.Change) map[*sharedlimit.Pool]struct{} {
	concerned := s.newlyClaimed
	for pool := range changes {
		concerned[pool] = struct{}{}
	}
	if s.limitChanged {
		for pool := range s.registrants {
			concerned[pool] = struct{}{}
		}
	}
	return concerned
}
