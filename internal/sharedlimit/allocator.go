// Package sharedlimit allots the endpoints that several pools of one process list. What an endpoint bears (connections,
// and traffic while it is warming up) is a limit of the endpoint, whoever sends there. Each pool gets a fixed fraction
// of it by its weight, so no pool can use up the part of another, and pools need not ask each other before each
// request. A pool that is draining an endpoint drains it for all of them.
//
// The package has no I/O, clock or goroutine. An Allocator belongs to one goroutine.
//
// A claim costs time by its own length and by the endpoints on which it changes something for other pools. An endpoint
// that one pool lists alone causes no notification at all.
package sharedlimit

import "slices"

// roundingSlack is added before a number of connections is rounded down: in floating point a fraction of the limit may
// come out just below the whole number that it is (0.29 of 100 is 28.999999999999996).
const roundingSlack = 1e-9

// Allotment is what one pool may use of one endpoint.
type Allotment struct {
	Fraction    float64 // of the endpoint's warm-up budget; above 0, at most 1
	Connections int     // maximum at once; at least 1
	Draining    bool    // the list of some pool says that the endpoint is draining
}

// reduces reports whether a allows less than before did, in any regard.
func (a Allotment) reduces(before Allotment) bool {
	beginsDraining := a.Draining && !before.Draining
	return a.Fraction < before.Fraction || a.Connections < before.Connections || beginsDraining
}

// Change is a new allotment of an endpoint that several pools list.
type Change struct {
	Address   string // address of the endpoint
	Allotment Allotment
	Exclusive bool // no other pool lists the endpoint any more: the pool may use all of it, and Allotment is empty
}

// Pool is a pool that an Allocator knows. The zero value lists no endpoint.
type Pool struct {
	weight    float64
	endpoints map[string]bool // by address; true: draining by this pool's list
}

// usage is the use that one pool makes of a shared endpoint.
type usage struct {
	pool     *Pool
	notified Allotment // as Changes last returned it; the zero value before that
}

// Allocator knows which pools list which endpoints, and what each of them was last notified of.
type Allocator struct {
	connectionLimit int                 // to one endpoint, over all pools
	exclusive       map[string]*Pool    // by address: the one pool that lists the endpoint
	shared          map[string][]usage  // by address; also endpoints that were shared when Changes was last called
	changed         map[string]struct{} // addresses in shared whose allotments may differ from those of the last Changes
}

// NewAllocator returns an Allocator for so many connections to one endpoint over all pools.
func NewAllocator(connections int) *Allocator {
	return &Allocator{
		connectionLimit: connections,
		exclusive:       map[string]*Pool{},
		shared:          map[string][]usage{},
		changed:         map[string]struct{}{},
	}
}

// SetConnectionLimit changes the number of connections to one endpoint over all pools.
func (a *Allocator) SetConnectionLimit(connections int) {
	if connections == a.connectionLimit {
		return
	}
	a.connectionLimit = connections
	for address := range a.shared {
		a.changed[address] = struct{}{}
	}
}

// Claim replaces the endpoints that a pool lists and the pool's weight. The keys are addresses; true means that the
// pool's list says that the endpoint is draining. The Allocator keeps the map: the caller must not change it any more.
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

// Remove forgets a pool and its claim.
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

// markChanged notes that allotments of an endpoint may have changed. Endpoints that are not shared have none.
func (a *Allocator) markChanged(address string) {
	if _, ok := a.shared[address]; ok {
		a.changed[address] = struct{}{}
	}
}

// Changes returns what pools are to be notified of since the last call: first, to all pools, the cuts that reduce their
// use of an endpoint, then the rest. A pool's first allotment of an endpoint is in the rest. There is no change for
// endpoints that a pool has exclusively: it may use all of them.
//
// Over all pools the fractions of an endpoint add up to 1, and its connections to no more than the limit, unless there
// are more pools than connections: then each gets one.
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

// endSharing drops the allotments of an endpoint that at most one pool lists now. A pool that was notified of one is to
// learn that the endpoint is exclusively its own.
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

// demand is what all pools together want of an endpoint.
type demand struct {
	weight   float64 // sum over the pools that list it
	draining bool    // by the list of any of them
}

func demandFor(address string, usages []usage) demand {
	var sum demand
	for _, use := range usages {
		sum.weight += use.pool.weight
		sum.draining = sum.draining || use.pool.endpoints[address]
	}
	return sum
}

// allot returns the allotment of one pool, by its weight among those of all.
func (a *Allocator) allot(pool *Pool, total demand) Allotment {
	fraction := pool.weight / total.weight
	return Allotment{
		Fraction:    fraction,
		Connections: max(1, int(float64(a.connectionLimit)*fraction+roundingSlack)),
		Draining:    total.draining,
	}
}
