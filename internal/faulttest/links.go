package faulttest

import (
	"sync"

	"olivearch/internal/faulttest/relay"
)

// links keeps which faults each link has now: several may lie on one.
type links struct {
	relay *relay.Relay
	mu    sync.Mutex
	on    map[link]map[int]twoWay
}

type link struct {
	caller  int
	service *relay.Service
}

type twoWay struct{ there, back relay.Faults }

func newLinks(r *relay.Relay) *links { return &links{relay: r, on: map[link]map[int]twoWay{}} }

// put lays a fault, by its number, on links.
func (x *links) put(all []link, fault int, f twoWay) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range all {
		if x.on[l] == nil {
			x.on[l] = map[int]twoWay{}
		}
		x.on[l][fault] = f
	}
	x.apply(all)
}

// lift takes it away.
func (x *links) lift(all []link, fault int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, l := range all {
		delete(x.on[l], fault)
	}
	x.apply(all)
}

// apply puts on links what their faults come to together. The caller holds the lock.
func (x *links) apply(all []link) {
	changes := make([]relay.Change, len(all))
	for i, l := range all {
		c := relay.Change{Caller: l.caller, Service: l.service}
		for _, f := range x.on[l] {
			c.There, c.Back = c.There.Join(f.there), c.Back.Join(f.back)
		}
		changes[i] = c
	}
	x.relay.Set(changes...)
}
