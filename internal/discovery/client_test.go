package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// testService is a discovery service that a test can make unresponsive.
type testService struct {
	*httptest.Server
	unresponsive atomic.Bool
	queries      chan string // the query of each call
}

// servedRevision is the revision of the listing that a testService answers with.
const servedRevision = 5

func newTestService(t *testing.T) *testService {
	t.Helper()
	service := &testService{queries: make(chan string, 1000)}
	stop := make(chan struct{})
	service.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service.queries <- r.URL.RawQuery
		if service.unresponsive.Load() {
			select {
			case <-r.Context().Done():
			case <-stop:
			}
			return
		}
		body, err := json.MarshalIndent(Listing{
			Revision: servedRevision,
			Complete: true,
			Members:  []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Phase: PhaseDraining}},
		}, "", "\t")
		if err != nil {
			t.Error(err)
		}
		if _, err := w.Write(body); err != nil {
			t.Logf("answer not written: %v", err) // the client may have given up
		}
	}))
	t.Cleanup(func() {
		close(stop)
		service.Close()
	})
	return service
}

// unresponsiveWatch is a watch whose first call gets no answer.
type unresponsiveWatch struct {
	service    *testService
	events     chan Event
	ended      chan struct{} // closed when the watch has ended
	firstQuery string
	started    time.Time
}

// startUnresponsiveWatch starts a watch, and returns when its first call has failed.
func startUnresponsiveWatch(t *testing.T, pushed bool) *unresponsiveWatch {
	t.Helper()
	watch := &unresponsiveWatch{
		service: newTestService(t),
		events:  make(chan Event, 100),
		ended:   make(chan struct{}),
	}
	client := New(t.Context(), watch.service.Listener.Addr().String(), func(event Event) { watch.events <- event })
	t.Cleanup(client.Close)
	client.SetRevision(servedRevision - 1)
	watch.service.unresponsive.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		client.Watch(ctx, pushed)
		close(watch.ended)
	}()
	watch.firstQuery = <-watch.service.queries
	watch.started = time.Now()
	if event := <-watch.events; event.Err == nil {
		t.Fatalf("listing %v from an unresponsive service", event.Listing)
	}
	return watch
}

// TestUnresponsiveWatchIsRetried: an agent that pushes lists becomes unresponsive. The watch retries by itself, and
// posts the agent's list as soon as the agent answers again. A watch of a polled service ends after the first failure.
func TestUnresponsiveWatchIsRetried(t *testing.T) {
	t.Run("pushed true", func(t *testing.T) {
		t.Parallel()
		watch := startUnresponsiveWatch(t, true)
		if want := "since=4&timeout_ms=1000"; watch.firstQuery != want {
			t.Errorf("query %q, want %q", watch.firstQuery, want)
		}
		<-watch.service.queries // the query of the retry
		watch.service.unresponsive.Store(false)
		event := <-watch.events
		for event.Err != nil {
			event = <-watch.events
		}
		if event.Revision != servedRevision || len(event.Members) != 1 {
			t.Errorf("listing %v, want revision %d with one member", event.Listing, servedRevision)
		}
	})
	t.Run("pushed false", func(t *testing.T) {
		t.Parallel()
		watch := startUnresponsiveWatch(t, false)
		if want := "since=4&timeout_ms=2000"; watch.firstQuery != want {
			t.Errorf("query %q, want %q", watch.firstQuery, want)
		}
		<-watch.ended // the decision module chooses when to retry
		if elapsed := time.Since(watch.started); elapsed > WatchWait+WatchGrace+time.Second {
			t.Errorf("watch ended after %v", elapsed)
		}
	})
}
