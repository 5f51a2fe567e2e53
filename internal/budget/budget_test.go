package budget

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

const patience = 5 * time.Second

// newHolder returns a holder that releases all when it is evicted, and a channel that is closed then.
func newHolder(b *Budget) (holder *Holder, evicted chan struct{}) {
	evicted = make(chan struct{})
	holder = b.NewHolder(func() {
		close(evicted)
		go holder.Release()
	})
	return holder, evicted
}

func mustReserve(t *testing.T, holder *Holder, amount int64) {
	t.Helper()
	if err := holder.Reserve(amount, patience); err != nil {
		t.Fatal(err)
	}
}

// TestSilentHolderGivesWay guards against clients that stop in the middle and keep all others from being served.
func TestSilentHolderGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10)
		older, olderEvicted := newHolder(budget)
		newer, newerEvicted := newHolder(budget)
		mustReserve(t, older, 5)
		older.AwaitClient()
		<-time.After(time.Millisecond)
		mustReserve(t, newer, 5)
		newer.AwaitClient()
		next, _ := newHolder(budget)
		began := time.Now()
		mustReserve(t, next, 5)
		if waited := time.Since(began); waited > evictableAfter+2*checkInterval {
			t.Errorf("waited %v", waited)
		}
		<-olderEvicted
		select {
		case <-newerEvicted:
			t.Error("one too many was evicted")
		default:
		}
	})
}

// TestMovingHolderStays guards against an eviction of a sound request that comes slowly, or that waits for its
// upstream.
func TestMovingHolderStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10)
		slow, slowEvicted := newHolder(budget)
		mustReserve(t, slow, 5)
		complete, completeEvicted := newHolder(budget)
		mustReserve(t, complete, 5)
		complete.AwaitClient()
		complete.ClientSent()
		stop := make(chan struct{})
		go func() {
			for {
				slow.AwaitClient() // a byte has come, the next one is awaited
				select {
				case <-time.After(evictableAfter * 9 / 10):
				case <-stop:
					return
				}
			}
		}()
		next, _ := newHolder(budget)
		if err := next.Reserve(1, patience); !errors.Is(err, ErrUsedUp) {
			t.Errorf("got %v, want %v", err, ErrUsedUp)
		}
		close(stop)
		select {
		case <-slowEvicted:
			t.Error("the slow client was evicted")
		case <-completeEvicted:
			t.Error("the complete request was evicted")
		default:
		}
		if usage := budget.Usage(); usage.Refused != 1 || usage.Evicted != 0 || usage.Used != 10 {
			t.Errorf("got %+v", usage)
		}
	})
}

// TestReservationsAreServedInOrder guards against a large reservation that waits while small ones take what is
// released.
func TestReservationsAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := New(10)
		first, _ := newHolder(budget)
		mustReserve(t, first, 10)
		large, _ := newHolder(budget)
		small, _ := newHolder(budget)
		served := make(chan string, 2)
		reserve := func(holder *Holder, amount int64, name string) {
			if holder.Reserve(amount, patience) == nil {
				served <- name
			}
		}
		go reserve(large, 10, "large")
		synctest.Wait()
		go reserve(small, 1, "small")
		synctest.Wait()
		first.Release()
		synctest.Wait()
		if got := <-served; got != "large" {
			t.Errorf("%s is served first", got)
		}
		large.Release()
		<-served
		small.Release()
		if usage := budget.Usage(); usage.Used != 0 || usage.Peak != 10 {
			t.Errorf("got %+v", usage)
		}
	})
}

// TestTryReserveLeavesRoom guards against memory that is read ahead and leaves none for others.
func TestTryReserveLeavesRoom(t *testing.T) {
	budget := New(10)
	if !budget.TryReserve(6, 4) || budget.TryReserve(1, 4) || !budget.TryReserve(4, 0) || budget.TryReserve(1, 0) {
		t.Errorf("got %+v", budget.Usage())
	}
	budget.SetSize(5)
	budget.Release(4)
	if budget.TryReserve(1, 0) {
		t.Error("reserved beyond a size that was lowered")
	}
}
