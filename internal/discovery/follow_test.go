package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// The worst case from a change to the word, by the bounds that this package and the module name (docs/design/membership.md): it must
// fit into what the protocol allows.
func TestToldInTime(t *testing.T) {
	const (
		firstPause = 470 * time.Millisecond  // the module's first pause: up to 3/2 of a 32nd of 10 s
		lastPause  = 2250 * time.Millisecond // and its last: up to 3/2 of watchWaitMost
		queue      = 2 * time.Second         // that discovery lets a call wait before it refuses it
	)
	for _, x := range []struct {
		name  string
		parts []time.Duration
	}{
		{"asked: a watch falls silent, the change comes, the next call waits its turn", []time.Duration{WatchWait, AnswerWithin, firstPause, queue}},
		{"asked: discovery is back right after a call failed", []time.Duration{lastPause, queue}},
		{"asked: the call for the whole list hangs as discovery is back", []time.Duration{ListWithin, firstPause, queue}},
		{"pushed: a watch falls silent", []time.Duration{PushWait, PushWithin, WatchPause, PushWithin}},
	} {
		sum := time.Duration(0)
		for _, d := range x.parts {
			sum += d
		}
		if sum > ToldWithin {
			t.Errorf("%s: %v, %v at most", x.name, sum, ToldWithin)
		}
	}
}

// agent is a discovery service whose calls a test may leave unanswered.
type agent struct {
	*httptest.Server
	silent   atomic.Bool
	revision atomic.Uint64
	calls    chan string // the query of each
}

func newAgent(t *testing.T) *agent {
	a := &agent{calls: make(chan string, 1000)}
	a.revision.Store(5)
	stop := make(chan struct{})
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.calls <- r.URL.RawQuery
		if a.silent.Load() {
			select {
			case <-r.Context().Done():
			case <-stop:
			}
			return
		}
		text, _ := json.MarshalIndent(Listing{Revision: a.revision.Load(), Complete: true, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Phase: "draining"}}}, "", "\t")
		w.Write(text)
	}))
	t.Cleanup(func() { close(stop); a.Close() })
	return a
}

// An agent that falls silent in a watch is asked again, with nobody to tell the client to: what it has by then is heard as soon as it
// speaks. A service that is asked is left to the module after the first failure.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	for _, pushed := range []bool{true, false} {
		t.Run(fmt.Sprint("pushed ", pushed), func(t *testing.T) {
			t.Parallel()
			a := newAgent(t)
			heard := make(chan Heard, 100)
			d := New(t.Context(), a.Listener.Addr().String(), func(h Heard) { heard <- h })
			defer d.End()
			d.Hold(4)
			a.silent.Store(true)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan struct{})
			go func() { d.Watch(ctx, pushed); close(ended) }()
			first := <-a.calls
			begun := time.Now()
			if h := <-heard; h.Err == nil {
				t.Fatalf("heard %v of a silent service", h.Listing)
			}
			want := "since=4&timeout_ms=2000"
			if pushed {
				want = "since=4&timeout_ms=1000"
			}
			if first != want {
				t.Errorf("asked %q, want %q", first, want)
			}
			if !pushed {
				<-ended // the module says when to ask again
				if took := time.Since(begun); took > WatchWait+AnswerWithin+time.Second {
					t.Errorf("given up after %v", took)
				}
				return
			}
			<-a.calls // it asks anew
			a.silent.Store(false)
			for h := range heard {
				if h.Err == nil {
					if h.Revision != 5 || len(h.Members) != 1 {
						t.Errorf("heard %v", h.Listing)
					}
					break
				}
			}
		})
	}
}
