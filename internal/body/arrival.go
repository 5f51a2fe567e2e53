package body

import (
	"sync"
	"time"

	"olivearch/internal/http1"
)

// arrivalChecks is how often the arrival of a body is checked within the time that follows it.
const arrivalChecks = 8

// ArrivalWatch finds out when the last byte of a body that is being streamed has arrived from the client, although it
// waits in the system behind bytes that the upstream takes slowly. The request's time counts from then.
type ArrivalWatch struct {
	upload *Upload
	limit  time.Duration
	onLate func()
	end    uint64 // bytes that have arrived on the connection once the body has; 0: unknown

	mu       sync.Mutex
	timer    *time.Timer // nil: the watch has ended
	late     bool
	arrived  uint64    // bytes, at the last check
	awaiting time.Time // when something last arrived, or the client was awaited
}

// WatchArrival calls a function if the body is not written within a time after its last byte has arrived. It is called
// by the goroutine that calls Send, before that.
func (u *Upload) WatchArrival(limit time.Duration, onLate func()) *ArrivalWatch {
	watch := &ArrivalWatch{upload: u, limit: limit, onLate: onLate, end: u.lastByteOffset(), awaiting: time.Now()}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(limit/arrivalChecks, watch.check)
	return watch
}

// lastByteOffset returns how many bytes will have arrived on the client's connection with the last byte of the body; 0:
// that is unknown.
func (u *Upload) lastByteOffset() uint64 {
	if !u.lengthKnown {
		return 0
	}
	arrived, unread, err := http1.Received(u.conn)
	if err != nil {
		return 0
	}
	return arrived - uint64(unread) + u.src.BytesToArrive()
}

// check is called by the timer.
func (w *ArrivalWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	if completeAt := w.arrivalTime(); !completeAt.IsZero() && time.Since(completeAt) >= w.limit && !w.late {
		w.late = true
		w.onLate()
	}
	w.timer.Reset(w.limit / arrivalChecks)
}

// arrivalTime returns when the last byte of the body arrived; zero: it has not, as far as is known. The end of a
// chunked body can't be seen before it is read: if bytes wait for the upstream and none follows them, they count as the
// last.
func (w *ArrivalWatch) arrivalTime() time.Time {
	if at := w.upload.ArrivedAt(); !at.IsZero() {
		return at
	}
	arrived, err := http1.Arrived(w.upload.conn)
	if err != nil {
		return time.Time{}
	}
	if w.end > 0 {
		if arrived >= w.end {
			w.upload.noteArrived()
		}
		return w.upload.ArrivedAt()
	}
	if arrived != w.arrived || !http1.Peek(w.upload.conn).HasUnread() {
		w.arrived = arrived
		w.awaiting = time.Now()
	}
	return w.awaiting
}

// Late reports whether the function was called.
func (w *ArrivalWatch) Late() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// Stop ends the watch. The function is not called after it has returned.
func (w *ArrivalWatch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
}

// noteArrived records that the last byte of the body has arrived. Only the first call counts.
func (u *Upload) noteArrived() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.arrivedAt.IsZero() {
		u.arrivedAt = time.Now()
	}
}

// ArrivedAt returns when the last byte of the body had arrived from the client, as far as that was noticed; zero: it
// has not.
func (u *Upload) ArrivedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivedAt
}
