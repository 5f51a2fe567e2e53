package pool

import (
	"context"
	"sync/atomic"
	"time"

	"olivearch/internal/discovery"
)

// listSource is the source of a pool's endpoint list, and the age of the list. The loop owns it, except for the
// atomics.
type listSource struct {
	client     *discovery.Client  // nil: lists are set by Pool.UpdateEndpoints
	stopWatch  context.CancelFunc // nil: the client is not watching
	hasList    bool               // a list has been applied, possibly only the initial one
	revision   uint64             // of the last list that was applied
	isStored   bool               // that list was stored by an earlier process, perhaps from another service
	maxAge     time.Duration      // how long a list is used without a response from its source; 0: without limit
	receivedAt time.Duration      // when the last list arrived
	lastError  string             // of the source, since the last list; empty: none

	received    atomic.Bool  // the source has sent a list
	confirmedAt atomic.Int64 // time.Duration: when the source last confirmed that the list is unchanged
}

// isOutdated reports whether a newer list was received before. Of a stored list that is unknown: it may have come from
// another service.
func (s *listSource) isOutdated(list *discovery.Listing) bool {
	if list.Complete && s.isStored {
		return false
	}
	return list.Revision < s.revision
}

// endClient closes the client of discovery, if there is one. s.client is kept, so that late responses of the closed
// client are not taken for lists from Pool.UpdateEndpoints.
func (s *listSource) endClient() {
	if s.client != nil {
		s.client.Close()
	}
}

// address returns the address of discovery; empty: none.
func (s *listSource) address() string {
	if s.client == nil {
		return ""
	}
	return s.client.Address
}

// age returns the time since the source last sent or confirmed the list.
func (s *listSource) age(now time.Duration) time.Duration {
	return now - max(s.receivedAt, time.Duration(s.confirmedAt.Load()))
}

// expired reports whether the list is too old to be used.
func (s *listSource) expired(now time.Duration) bool {
	return s.maxAge > 0 && s.age(now) > s.maxAge
}

// followDiscovery makes discovery at an address the source of the list, after it has closed the previous client; empty:
// no discovery.
func (l *loop) followDiscovery(address string) {
	l.source.endClient()
	l.source.client = nil
	l.source.revision = 0 // revisions of different sources can't be compared
	if address == "" {
		return
	}
	l.source.client = discovery.New(l.ctx, address, func(received discovery.Event) {
		l.enqueueUrgent(endpointsUpdated(received))
	})
}

// WatchEndpoints starts or stops watching discovery's list. Unless discovery is polled, the list is always watched. It
// is part of balancer.Host.
func (l *loop) WatchEndpoints(on bool) {
	if l.source.stopWatch != nil {
		l.source.stopWatch()
		l.source.stopWatch = nil
	}
	pushed := !l.settings.PollDiscovery
	wanted := on || pushed
	if wanted && l.source.client != nil {
		ctx, cancel := context.WithCancel(l.ctx)
		l.source.stopWatch = cancel
		go l.source.client.Watch(ctx, pushed)
	}
}

// FetchEndpoints polls discovery for the complete list. It is part of balancer.Host.
func (l *loop) FetchEndpoints() {
	if l.source.client != nil {
		go l.source.client.Fetch()
	}
}
