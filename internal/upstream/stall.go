package upstream

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"olivearch/internal/http1"
)

// errStalled is the error of an attempt whose upstream took nothing of a streamed body for the time that the request
// has.
var errStalled = errors.New("upstream takes nothing of the request")

// minStallLimit is the shortest time for which an upstream may take nothing.
const minStallLimit = 50 * time.Millisecond

// stallChecks is how often the progress of a body is checked within the time that the upstream may take nothing.
const stallChecks = 8

// stallWatch ends the sending on a connection once the upstream has taken nothing for a time although bytes wait for
// it. The client's pauses don't count. Until the client's last byte the request's own time does not run, so no
// deadline of the attempt ends the writing of a streamed body.
type stallWatch struct {
	connection *conn
	limit      time.Duration

	mu           sync.Mutex
	timer        *time.Timer // nil: the watch has ended
	acknowledged uint64      // bytes, at the last progress
	progressAt   time.Time
	stalled      bool
}

// watchStall starts a stallWatch.
func watchStall(connection *conn, limit time.Duration) *stallWatch {
	limit = max(limit, minStallLimit)
	watch := &stallWatch{connection: connection, limit: limit, progressAt: time.Now()}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(limit/stallChecks, watch.check)
	return watch
}

// check is called by the timer.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	acknowledged, err := http1.Acknowledged(w.connection)
	isWaiting := http1.Undelivered(w.connection)
	now := time.Now()
	if err != nil || !isWaiting || acknowledged != w.acknowledged {
		w.acknowledged = acknowledged
		w.progressAt = now
	}
	if now.Sub(w.progressAt) >= w.limit {
		w.stalled = true
		w.connection.endWriting() // an early response can still be read
	}
	w.timer.Reset(w.limit / stallChecks)
}

// stop ends the watch, and returns the error of the body's sending, which is err unless the watch has caused it.
func (w *stallWatch) stop(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
	if err != nil && w.stalled {
		return fmt.Errorf("%w for %v: %w", errStalled, w.limit, err)
	}
	return err
}
