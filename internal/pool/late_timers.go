package pool

import (
	"time"

	"olivearch/internal/cpushare"
)

// longestRead bounds the wait until what has arrived is read.
const longestRead = 10 * time.Millisecond

// lateTimer is the delay of a timer from which on the process counts as held up, by its machine or by other work in it.
const lateTimer = 20 * time.Millisecond

// expireTimers handles expired timers, after the events that came before them.
func (l *loop) expireTimers(batch *eventBatch) {
	l.readArrived(batch)
	l.fireTimers()
}

// readArrived is called before timers expire. If the process was held up, or the response to the attempt that is due
// lies unread in its socket, it waits until what has arrived is read, and handles the events that came before: an
// endpoint that has answered in time must not be taken for one that has not.
func (l *loop) readArrived(batch *eventBatch) {
	next := l.timers.peekExpired(l.now())
	if next == nil {
		return
	}
	late := l.now() - next.at
	if late < lateTimer && !next.hasUnreadResponse() {
		return
	}
	if late >= lateTimer {
		l.trace(&l.tracing.wakeups, "event loop held up", "late", late)
	}
	cpushare.AwaitPoll(longestRead)
	l.applyEvents(batch.next(len(batch.pending)))
	if batch.refill(l.mailbox) {
		l.applyEvents(batch.next(len(batch.pending)))
	}
}

// hasUnreadResponse reports whether bytes of a response for which the timer's attempt or request waits have arrived
// that nobody has read.
func (t *timer) hasUnreadResponse() bool {
	if t.attempt != nil {
		return t.attempt.awaitsUnread()
	}
	if t.request == nil {
		return false
	}
	for _, attempt := range t.request.attempts {
		if attempt.awaitsUnread() {
			return true
		}
	}
	return false
}

// awaitsUnread reports whether bytes of the response for which an attempt waits have arrived that nobody has read.
func (a *attempt) awaitsUnread() bool { return !a.state.reported() && a.HasUnreadResponse() }
