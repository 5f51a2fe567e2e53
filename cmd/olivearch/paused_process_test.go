package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// pause is a time in which a process did not run.
type pause struct{ began, ended time.Time }

// TestPausedProcessBlamesNoUpstream guards against requests that get no upstream after the process has stood still,
// because the answers that came meanwhile are taken for missing ones.
func TestPausedProcessBlamesNoUpstream(t *testing.T) {
	const pauses, interval = 4, 700 * time.Millisecond
	for _, length := range []time.Duration{100 * time.Millisecond, 160 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			process := startPlatform(t, hotUpstreams, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return // the client has left
				}
				<-time.After(hotUpstreamDelay)
				_, _ = fmt.Fprintf(w, "the response to request %s", r.Header.Get("X-Request-Id"))
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var outcomes honestOutcomes
			var running sync.WaitGroup
			running.Go(func() { shortDeadlines.run(ctx, process.listen, &outcomes) })
			<-time.After(interval) // until the upstreams are known
			before := time.Now()
			var stood []pause
			for range pauses {
				began := time.Now()
				sendSignal(t, process.cmd, syscall.SIGSTOP)
				<-time.After(length)
				sendSignal(t, process.cmd, syscall.SIGCONT)
				stood = append(stood, pause{began, time.Now()})
				<-time.After(interval)
			}
			cancel()
			running.Wait()
			beside := outcomes.between(before, time.Now(), stood)
			t.Logf("requests that no pause met: %v", beside)
			if beside.failed.Load()+beside.late.Load() > 0 {
				t.Errorf("requests that no pause met: %v", beside)
			}
		})
	}
}
