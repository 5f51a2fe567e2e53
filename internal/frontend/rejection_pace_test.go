package frontend

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestRejectionsArePaced guards against clients that take the time of all others by requests that can't be served, and
// against an answer to them that comes later than the platform allows.
func TestRejectionsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := New(nil, nil, DefaultLimits(1))
		pace := func(status int, age time.Duration) (held time.Duration) {
			client := newClientConn(nil)
			client.requestBegan = time.Now().Add(-age)
			began := time.Now()
			server.paceRejection(client, &Rejection{Status: status})
			return time.Since(began)
		}
		for range rejectionBurst {
			if held := pace(http.StatusBadRequest, 0); held > 0 {
				t.Fatalf("a single request is held back for %v", held)
			}
		}
		var longest time.Duration
		for range rejectionBurst {
			longest = max(longest, pace(http.StatusBadRequest, 0))
		}
		if longest == 0 || longest > maxRejectionDelay {
			t.Errorf("held back for %v at most", longest)
		}
		if held := pace(http.StatusServiceUnavailable, 0); held > 0 {
			t.Errorf("a sound request's refusal is held back for %v", held)
		}
		if held := pace(http.StatusRequestTimeout, maxDelayedAge+1); held > 0 {
			t.Errorf("an answer that is late already is held back for %v", held)
		}
	})
}
