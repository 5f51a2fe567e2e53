package main

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestUnsafeRequestRunsOnceAlthoughItsClientComesAgain guards against an unsafe request that runs twice because its
// client left and came again with the same id.
func TestUnsafeRequestRunsOnceAlthoughItsClientComesAgain(t *testing.T) {
	for name, answersFirst := range map[string]bool{"while the upstream works": false, "after its answer": true} {
		t.Run(name, func(t *testing.T) { playRepeatedID(t, answersFirst) })
	}
}

// playRepeatedID lets a client leave while an upstream works on its request, and send it again before or after the
// upstream has answered.
func playRepeatedID(t *testing.T, answersFirst bool) {
	const id = "0123456789abcdef"
	began := make(chan string, 10)
	release := make(chan struct{})
	process := startPlatform(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if isReadyCheck(r) {
			return
		}
		began <- r.Header.Get("X-Request-Id")
		<-release
		respondText(t, w, "done")
	})
	t.Cleanup(func() {
		if !answersFirst {
			close(release)
		}
	})
	first := process.dial(t)
	if _, err := io.WriteString(first, platformHead(id, "", 0)); err != nil {
		t.Fatal(err)
	}
	<-began
	first.Close()
	process.awaitLog(t, "attempt abandoned")
	if answersFirst {
		close(release)
		waitUntil(t, processLimit, "a request after it is served", func() bool {
			got, err := process.send(t, "other", "")
			return err == nil && got.status == http.StatusOK && <-began == "other"
		})
	}
	got, err := process.sendWithin(t, id, 2*requestTime)
	if err != nil || got.status != http.StatusConflict {
		t.Errorf("got status %d, %v; want %d", got.status, err, http.StatusConflict)
	}
	select {
	case <-began:
		t.Error("the request ran twice")
	default:
	}
}

// sendWithin sends a request of class c and waits for the response for a time at most.
func (p *platformProcess) sendWithin(t *testing.T, id string, limit time.Duration) (answer, error) {
	t.Helper()
	type result struct {
		answer
		err error
	}
	done := make(chan result, 1)
	go func() {
		got, err := p.send(t, id, "")
		done <- result{got, err}
	}()
	select {
	case got := <-done:
		return got.answer, got.err
	case <-time.After(limit):
		return answer{}, fmt.Errorf("no answer within %v", limit)
	}
}
