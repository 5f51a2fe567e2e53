package scripted

import (
	"os"
	"runtime"
	"time"

	"olivearch/internal/cpushare"
)

// restTimeout bounds the wait until a test's goroutines and descriptors have ended.
const restTimeout = 10 * time.Second

// AtRest checks at the end of a test, after its other cleanups, that as many goroutines and descriptors are there as
// now. It is called first in a test that does not run in parallel with others.
func AtRest(t TB) {
	t.Helper()
	cpushare.Start() // its goroutine and its descriptor stay for good
	goroutines, descriptors := runtime.NumGoroutine(), openDescriptors(t)
	t.Cleanup(func() {
		t.Helper()
		limit := time.Now().Add(restTimeout)
		for runtime.NumGoroutine() > goroutines || openDescriptors(t) > descriptors {
			if time.Now().After(limit) {
				t.Fatal("goroutines and descriptors are left:", runtime.NumGoroutine(), "of", goroutines, "and",
					openDescriptors(t), "of", descriptors)
			}
			runtime.Gosched()
		}
	})
}

// openDescriptors returns the number of open descriptors of this process.
func openDescriptors(t TB) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
