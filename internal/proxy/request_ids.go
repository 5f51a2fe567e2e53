package proxy

import (
	"errors"
	"log/slog"
	"sync"

	"olivearch/internal/hotrestart"
	"olivearch/internal/pool"
)

// maxQueuedIDs bounds the changes that wait to be sent to a peer process that hangs.
const maxQueuedIDs = 16 << 10

var errTooManyIDs = errors.New("the peer process does not take them")

// requestIDSender sends the changes of request ids to the peer process, in their order, from a goroutine of its own
// that runs only while changes wait. Any goroutine may add changes.
type requestIDSender struct {
	link *hotrestart.Link

	mu      sync.Mutex
	queued  []pool.RequestIDChanges
	sending bool
	dropped bool // a change was not queued
}

// add queues a change. It does not block.
func (s *requestIDSender) add(change pool.RequestIDChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queued) >= maxQueuedIDs {
		if !s.dropped {
			slog.Warn("request ids not sent", "err", errTooManyIDs)
		}
		s.dropped = true
		return
	}
	s.queued = append(s.queued, change)
	if !s.sending {
		s.sending = true
		go s.send()
	}
}

// send sends the queued changes until there are none, or the link has ended.
func (s *requestIDSender) send() {
	for changes := s.take(); len(changes) > 0; changes = s.take() {
		for _, change := range changes {
			ids := hotrestart.RequestIDs(change)
			message := hotrestart.Message{Kind: hotrestart.KindRequestIDs, RequestIDs: &ids}
			if err := s.link.Send(message, nil); err != nil {
				slog.Warn("request ids not sent", "err", err)
				return // sending stays true: the link has ended
			}
		}
	}
}

// take returns the queued changes. If there are none, the sending goroutine must end.
func (s *requestIDSender) take() []pool.RequestIDChanges {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.queued
	s.queued = nil
	s.sending = len(changes) > 0
	return changes
}

// shareRequestIDs keeps the peer process informed of the ids that must not be sent again.
func (b *Balancer) shareRequestIDs(peer *peerProcess) {
	sender := &requestIDSender{link: peer.link}
	b.pool.ShareRequestIDs(sender.add)
}
