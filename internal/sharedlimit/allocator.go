// Package sharedlimit divides the limits of endpoints among the pools of one process that list them. The limits of an
// endpoint (connections, and traffic while it is warming up) hold for all pools together. Each pool gets a fixed
// fraction by its weight, so no pool can use up the part of another, and pools need not coordinate each request. If
// one pool's list says that an endpoint is draining, it is draining for all pools.
//
// The package has no I/O, clock or goroutine. An Allocator is not safe for concurrent use.
//
// The cost of a claim grows with its length and with the number of endpoints whose allotments it changes. An endpoint
// that only one pool lists causes no notification.
package sharedlimit

import "slices"

// roundingSlack is added to a number of connections before it is rounded down, since a floating-point product may be
// just below the exact whole number (0.29 * 100 is 28.999999999999996).
const roundingSlack = 1e-9

// Allotment is what one pool may use of one endpoint.
type Allotment struct {
	Fraction    float64 // of the endpoint's warm-up budget; above 0, at most 1
	Connections int     // maximum at one time; at least 1
	Draining    bool    // some pool's list says that the endpoint is draining
}

// reduces reports whether a allows less than before in any respect.
func (a Allotment) reduces(before Allotment) bool {
	beginsDraining := a.Draining && !before.Draining
	return a.Fraction < before.Fraction || a.Connections < before.Connections || beginsDraining
}

// Change notifies a pool of its new allotment of an endpoint that it shares, or has shared, with other pools.
type Change struct {
	Address   string // address of the endpoint
	Allotment Allotment
	Exclusive bool // no other pool lists the endpoint any more: the pool may use all of it, and Allotment is zero
}

// Pool is the last claim of a pool. The zero value lists no endpoint.
type Pool struct {
	weight    float64
	endpoints map[string]bool // by address; true: draining by this pool's list
}

// usage is the entry of one pool for a shared endpoint.
type usage struct {
	pool     *Pool
	notified Allotment // the last that the pool knows, by Changes or as its exclusive owner; zero: none
}

// Allocator records which pools list which endpoints, and computes the pools' allotments of shared endpoints.
type Allocator struct {
	connectionLimit int                 // connections to one endpoint, over all pools
	exclusive       map[string]*Pool    // by address: the one pool that lists the endpoint
	shared          map[string][]usage  // by address; endpoints that are shared now or were at the last Changes
	changed         map[string]struct{} // addresses in shared that the next Changes has to check
}

// NewAllocator returns an Allocator with a limit of connections to one endpoint, over all pools.
func NewAllocator(connectionLimit int) *Allocator {
	return &Allocator{
		connectionLimit: connectionLimit,
		exclusive:       map[string]*Pool{},
		shared:          map[string][]usage{},
		changed:         map[string]struct{}{},
	}
}

// SetConnectionLimit changes the limit of connections to one endpoint, over all pools.
func (a *Allocator) SetConnectionLimit(limit int) {
	if limit == a.connectionLimit {
		return
	}
	a.connectionLimit = limit
	for address := range a.shared {
		a.changed[address] = struct{}{}
	}
}

// Claim replaces the weight of a pool and the endpoints that it lists. The keys of endpoints are addresses; true means
// that the pool's list says that the endpoint is draining. The Allocator keeps the map, so the caller must not change
// it afterwards.
func (a *Allocator) Claim(pool *Pool, weight float64, endpoints map[string]bool) {
	before := pool.endpoints
	weightChanged := weight != pool.weight
	pool.weight, pool.endpoints = weight, endpoints
	for address := range before {
		if _, listed := endpoints[address]; !listed {
			a.removeUsage(pool, address)
		}
	}
	for address, draining := range endpoints {
		wasDraining, wasListed := before[address]
		switch {
		case !wasListed:
			a.addUsage(pool, address)
		case weightChanged || draining != wasDraining:
			a.markChanged(address)
		}
	}
}

// Remove removes a pool and its claim.
func (a *Allocator) Remove(pool *Pool) { a.Claim(pool, 0, nil) }

func (a *Allocator) addUsage(pool *Pool, address string) {
	usages, isShared := a.shared[address]
	other := a.exclusive[address]
	switch {
	case isShared:
		a.shared[address] = append(usages, usage{pool: pool})
	case other != nil:
		delete(a.exclusive, address)
		whole := Allotment{Fraction: 1, Connections: a.connectionLimit}
		a.shared[address] = []usage{{pool: other, notified: whole}, {pool: pool}}
	default:
		a.exclusive[address] = pool
	}
	a.markChanged(address)
}

func (a *Allocator) removeUsage(pool *Pool, address string) {
	if a.exclusive[address] == pool {
		delete(a.exclusive, address)
		return
	}
	a.shared[address] = slices.DeleteFunc(a.shared[address], func(u usage) bool { return u.pool == pool })
	a.markChanged(address)
}

// markChanged records that the allotments of an endpoint may have changed. An exclusive endpoint has none.
func (a *Allocator) markChanged(address string) {
	if _, ok := a.shared[address]; ok {
		a.changed[address] = struct{}{}
	}
}

// Changes returns the changes since the last call, by the pool to notify. Cuts reduce what a pool may use. All pools
// must be notified of them before any pool is notified of the rest, so that the pools never exceed a limit together. A
// pool's first allotment of an endpoint is in the rest. An endpoint that stays exclusive causes no change: its pool may
// use the whole endpoint.
//
// Over all pools, the fractions of an endpoint add up to 1, and its connections to no more than the limit, except that
// each pool gets at least one.
func (a *Allocator) Changes() (cuts, rest map[*Pool][]Change) {
	cuts, rest = map[*Pool][]Change{}, map[*Pool][]Change{}
	for address := range a.changed {
		usages := a.shared[address]
		if len(usages) < 2 {
			a.endSharing(address, rest)
			continue
		}
		demand := demandFor(address, usages)
		for i := range usages {
			use := &usages[i]
			allotment := a.allot(use.pool, demand)
			if allotment == use.notified {
				continue
			}
			isFirst := use.notified == Allotment{}
			target := rest
			if !isFirst && allotment.reduces(use.notified) {
				target = cuts
			}
			target[use.pool] = append(target[use.pool], Change{Address: address, Allotment: allotment})
			use.notified = allotment
		}
	}
	clear(a.changed)
	return cuts, rest
}

// endSharing drops the allotments of an endpoint that at most one pool still lists. If that pool was notified of an
// allotment, endSharing adds a change that makes the endpoint exclusive.
func (a *Allocator) endSharing(address string, changes map[*Pool][]Change) {
	usages := a.shared[address]
	delete(a.shared, address)
	if len(usages) == 0 {
		return
	}
	last := usages[0]
	a.exclusive[address] = last.pool
	if last.notified != (Allotment{}) {
		changes[last.pool] = append(changes[last.pool], Change{Address: address, Exclusive: true})
	}
}

// demand is the sum of all pools' claims on an endpoint.
type demand struct {
	weight   float64 // sum over the pools that list the endpoint
	draining bool    // some pool's list says that the endpoint is draining
}

func demandFor(address string, usages []usage) demand {
	var sum demand
	for _, use := range usages {
		sum.weight += use.pool.weight
		sum.draining = sum.draining || use.pool.endpoints[address]
	}
	return sum
}

// allot returns the allotment of one pool, in proportion to its weight.
func (a *Allocator) allot(pool *Pool, total demand) Allotment {
	fraction := pool.weight / total.weight
	return Allotment{
		Fraction:    fraction,
		Connections: max(1, int(float64(a.connectionLimit)*fraction+roundingSlack)),
		Draining:    total.draining,
	}
}
