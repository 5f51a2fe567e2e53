// Package budget divides a limited resource of the process, such as memory or places, among clients. Each amount is
// reserved before the resource is used and released at one place. While the budget is used up, a reservation waits for
// a while, and a holder whose client has sent nothing for long is evicted; a client that makes progress is not.
package budget

import (
	"errors"
	"sync"
	"time"
)

const (
	// evictableAfter is the silence of a client after which its holder may be evicted.
	evictableAfter = time.Second
	// checkInterval is how often the first waiting reservation looks for a holder to evict.
	checkInterval = 10 * time.Millisecond
)

// ErrUsedUp is the error of a reservation that found no room in time.
var ErrUsedUp = errors.New("budget used up")

// Budget is an amount of a resource. Its methods may be called from any goroutine.
type Budget struct {
	first chan struct{} // has an element while a reservation is the first that waits
	freed chan struct{} // has an element after a release

	mu       sync.Mutex
	size     int64
	used     int64
	peak     int64
	waiting  int // reservations
	refused  int64
	evicted  int64
	awaiting map[*Holder]struct{} // holders whose client is awaited
}

// New returns a Budget of a size.
func New(size int64) *Budget {
	return &Budget{
		first:    make(chan struct{}, 1),
		freed:    make(chan struct{}, 1),
		size:     size,
		awaiting: map[*Holder]struct{}{},
	}
}

// SetSize sets the size. If more is reserved, nothing more is until enough has been released.
func (b *Budget) SetSize(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.size = size
}

// Usage is the state of a Budget and what has become of reservations since the start.
type Usage struct{ Size, Used, Peak, Refused, Evicted int64 }

// Usage returns the current state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Size: b.size, Used: b.used, Peak: b.peak, Refused: b.refused, Evicted: b.evicted}
}

// TryReserve reserves an amount, or nothing if less than keepFree would be left. It returns false if it reserved
// nothing.
func (b *Budget) TryReserve(amount, keepFree int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(amount, keepFree)
}

// Shared is a Budget of which any amount may be taken, and from which nobody is evicted.
type Shared struct{ *Budget }

// TryReserve reserves an amount. It returns false if it reserved nothing.
func (s Shared) TryReserve(amount int64) bool { return s.Budget.TryReserve(amount, 0) }

// take reserves an amount if that leaves keepFree. The caller holds the lock.
func (b *Budget) take(amount, keepFree int64) bool {
	if b.used+amount > b.size-keepFree {
		return false
	}
	b.used += amount
	b.peak = max(b.peak, b.used)
	return true
}

// Release ends the use of an amount.
func (b *Budget) Release(amount int64) {
	if amount <= 0 {
		return
	}
	b.mu.Lock()
	b.used -= amount
	b.mu.Unlock()
	select {
	case b.freed <- struct{}{}:
	default: // the first waiting reservation will look anyway
	}
}

// reserve reserves an amount and waits for it up to a patience. Reservations that wait are served in their order.
func (b *Budget) reserve(amount int64, patience time.Duration) error {
	if b.takeUnlessOthersWait(amount) {
		return nil
	}
	defer b.endWaiting()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case b.first <- struct{}{}:
	case <-timer.C:
		return b.refuse()
	}
	defer func() { <-b.first }()
	for {
		if b.TryReserve(amount, 0) {
			return nil
		}
		b.evictOne()
		select {
		case <-b.freed:
		case <-time.After(checkInterval):
		case <-timer.C:
			return b.refuse()
		}
	}
}

// takeUnlessOthersWait reserves an amount at once, or registers the caller as waiting. Then it calls endWaiting.
func (b *Budget) takeUnlessOthersWait(amount int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == 0 && b.take(amount, 0) {
		return true
	}
	b.waiting++
	return false
}

func (b *Budget) endWaiting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

func (b *Budget) refuse() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
	return ErrUsedUp
}

// evictOne evicts the holder whose client has been silent for longest, if that is long enough.
func (b *Budget) evictOne() {
	if holder := b.longestSilent(time.Now().Add(-evictableAfter)); holder != nil {
		holder.evict()
	}
}

// longestSilent returns the holder whose client has been awaited for longest, if that began before a time; nil: there
// is none. It does not return a holder twice.
func (b *Budget) longestSilent(before time.Time) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var longest *Holder
	for holder := range b.awaiting {
		if holder.amount > 0 && holder.awaitedSince.Before(before) {
			longest = holder
			before = holder.awaitedSince
		}
	}
	if longest != nil {
		delete(b.awaiting, longest)
		b.evicted++
	}
	return longest
}

// Holder is a client's part of a Budget. One goroutine at a time reserves; any may call the other methods.
type Holder struct {
	budget *Budget
	evict  func() // ends the use; the holder's goroutine then releases it

	// Guarded by the Budget's lock.
	amount       int64
	awaitedSince time.Time
}

// NewHolder returns a Holder without a reservation. evict is called at most once after each AwaitClient, from another
// goroutine.
func (b *Budget) NewHolder(evict func()) *Holder { return &Holder{budget: b, evict: evict} }

// Reserve reserves a further amount and waits for it up to a patience.
func (h *Holder) Reserve(amount int64, patience time.Duration) error {
	if err := h.budget.reserve(amount, patience); err != nil {
		return err
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.amount += amount
	return nil
}

// AwaitClient records that the client is awaited from now on: the holder may be evicted if it sends nothing for long.
func (h *Holder) AwaitClient() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.awaitedSince = time.Now()
	h.budget.awaiting[h] = struct{}{}
}

// ClientSent records that the client is not awaited any more.
func (h *Holder) ClientSent() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.awaiting, h)
}

// Release ends the use of all that is reserved.
func (h *Holder) Release() {
	h.ClientSent()
	h.budget.mu.Lock()
	amount := h.amount
	h.amount = 0
	h.budget.mu.Unlock()
	h.budget.Release(amount)
}
