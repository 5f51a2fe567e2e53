package http1

import (
	"net"
	"sync"
	"time"
)

// deliveryChecks is how often the progress of a connection is checked within the time of a DeliveryWatch.
const deliveryChecks = 8

// DeliveryWatch calls a function once the other side of a connection has taken nothing for a time although bytes wait
// for it. Pauses of the sender don't count. So a side that takes bytes slowly is told from one that has stopped, which
// no deadline of a single write does.
type DeliveryWatch struct {
	connection net.Conn
	limit      time.Duration
	onStall    func()

	mu           sync.Mutex
	timer        *time.Timer // nil: the watch has ended
	acknowledged uint64      // bytes, at the last progress
	progressAt   time.Time
	stalled      bool
}

// WatchDelivery starts a DeliveryWatch. A connection that is not a socket never stalls for it.
func WatchDelivery(connection net.Conn, limit time.Duration, onStall func()) *DeliveryWatch {
	watch := &DeliveryWatch{connection: connection, limit: limit, onStall: onStall, progressAt: time.Now()}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(limit/deliveryChecks, watch.check)
	return watch
}

// check is called by the timer.
func (w *DeliveryWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	acknowledged, err := Acknowledged(w.connection)
	isWaiting := Undelivered(w.connection)
	now := time.Now()
	if err != nil || !isWaiting || acknowledged != w.acknowledged {
		w.acknowledged = acknowledged
		w.progressAt = now
	}
	if now.Sub(w.progressAt) >= w.limit {
		w.stalled = true
		w.onStall()
	}
	w.timer.Reset(w.limit / deliveryChecks)
}

// Stalled reports whether the other side has taken nothing for the time.
func (w *DeliveryWatch) Stalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// Stop ends the watch. The function is not called after it has returned.
func (w *DeliveryWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}
