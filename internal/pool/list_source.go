package pool

import (
	"context"
	"sync/atomic"
	"time"

	"olivearch/internal/discovery"
)

// listSource is where a pool's endpoint list comes from, and how old the list is. The loop owns it, but for the
// atomics.
type listSource struct {
	client     *discovery.Client  // nil: lists come by Pool.UpdateEndpoints
	stopWatch  context.CancelFunc // nil: the client does not watch
	hasList    bool               // a list has been applied, if only that of the start
	revision   uint64             // of the list that was applied last
	maxAge     time.Duration      // how long a list is used without a good answer from its source; 0: for ever
	receivedAt time.Duration      // last good answer that came by the mailbox
	lastError  string             // why there has been none since; empty: not known

	received    atomic.Bool  // the source has given a list
	confirmedAt atomic.Int64 // a time.Duration: when it last said that the list has not changed
}

// endClient ends the client of discovery, if there is one. It stays the source, so that its late answers are told from
// others'.
func (s *listSource) endClient() {
	if s.client != nil {
		s.client.Close()
	}
}

// address is that of discovery; empty: there is none.
func (s *listSource) address() string {
	if s.client == nil {
		return ""
	}
	return s.client.Address
}

// age is the time since the source's last good answer.
func (s *listSource) age(now time.Duration) time.Duration {
	return now - max(s.receivedAt, time.Duration(s.confirmedAt.Load()))
}

// expired reports whether the list is too old to be used.
func (s *listSource) expired(now time.Duration) bool {
	return s.maxAge > 0 && s.age(now) > s.maxAge
}

// followDiscovery makes discovery at an address the list's source; empty: there is none. The client of the source
// before is ended.
func (l *loop) followDiscovery(address string) {
	l.source.endClient()
	l.source.client = nil
	l.source.revision = 0 // another source's revisions can't be compared with it
	if address == "" {
		return
	}
	l.source.client = discovery.New(l.ctx, address, func(heard discovery.Event) {
		l.enqueueUrgent(endpointsUpdated(heard))
	})
}

// WatchEndpoints starts to watch discovery's list, or stops it. A list that is pushed is watched whether or not the
// balancer asks. Part of balancer.Host.
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

// FetchEndpoints polls discovery for the complete list. Part of balancer.Host.
func (l *loop) FetchEndpoints() {
	if l.source.client != nil {
		go l.source.client.Fetch()
	}
}
