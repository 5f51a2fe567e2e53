package pool

import (
	"context"
	"sync"

	"olivearch/internal/sharedlimit"
)

// EndpointRegistry tells the pools of a process what each may use of the endpoints that several of them list. Its state
// belongs to one goroutine; neither this goroutine nor a pool's ever waits for the other. A claim costs time
// proportional to the pool's own endpoints, and notifies only pools that list one of these endpoints and whose
// allotment changes. The methods may be called from any goroutine.
type EndpointRegistry struct {
	ctx      context.Context
	mu       sync.Mutex
	commands []registryCommand
	ready    chan struct{} // holds a value while submitted commands may be waiting
}

// registryCommand changes the registry's state. It runs on the registry's goroutine.
type registryCommand func(*registryState)

// registryState is the state that the registry's goroutine owns.
type registryState struct {
	allocator       *sharedlimit.Allocator
	registrants     map[*sharedlimit.Pool]*registrant
	newlyClaimed    map[*sharedlimit.Pool]struct{} // pools with a claim since the last notifications
	connectionLimit int                            // maximum of connections to one endpoint over all pools
	limitChanged    bool                           // since the last notifications
}

// registrant is a pool as the registry knows it.
type registrant struct {
	notify      func(event) // must not block
	claimSerial uint64      // serial of the pool's claim that the allocator has
}

// NewEndpointRegistry starts a registry that limits the connections to each endpoint over all pools. It stops when the
// context ends.
func NewEndpointRegistry(ctx context.Context, connections int) *EndpointRegistry {
	registry := &EndpointRegistry{ctx: ctx, ready: make(chan struct{}, 1)}
	go registry.run(newRegistryState(connections))
	return registry
}

// run is the registry's goroutine. It executes commands until the context ends.
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

// submit queues a command for the registry's goroutine without waiting.
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

// SetConnectionLimit changes the maximum number of connections to one endpoint over all pools.
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

// join registers a pool. It returns nil if the registry is nil. notify is called with each allotmentsChanged for the
// pool and must not block.
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

// process executes commands and notifies the pools that their results concern.
func (s *registryState) process(commands []registryCommand) {
	for _, command := range commands {
		command(s)
	}
	s.notifyPools()
}

// notifyPools notifies the pools of the changes since its last call: first of all reductions, then of all other changes
// and of accepted claims. Therefore connections are allotted to a pool only after other pools have been told to give
// them up.
func (s *registryState) notifyPools() {
	cuts, rest := s.allocator.Changes()
	for pool, changes := range cuts {
		registrant := s.registrants[pool]
		registrant.notify(allotmentsChanged{changes: changes, claimSerial: registrant.claimSerial})
	}
	for pool := range s.poolsToNotify(rest) {
		registrant := s.registrants[pool]
		if registrant == nil { // the pool has been removed
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

// poolsToNotify returns the pools to notify after the reductions: those with changes or a new claim, or all pools if
// the connection limit has changed. It modifies and returns newlyClaimed.
func (s *registryState) poolsToNotify(
	changes map[*sharedlimit.Pool][]sharedlimit.Change,
) map[*sharedlimit.Pool]struct{} {
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
