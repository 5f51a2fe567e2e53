package pool

import (
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// TestAnswerThatCameBeforeAHoldUpIsServed guards against endpoints that are taken for slow, and requests that fail,
// because the process was held up for longer than the requests had time.
func TestAnswerThatCameBeforeAHoldUpIsServed(t *testing.T) {
	scripted.AtRest(t)
	const budget = 200 * time.Millisecond
	answer := make(chan struct{})
	h := newManualLoop(t, testSpec())
	server := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		<-answer
		return scripted.Own(c, r)
	})
	h.updateEndpoints(20, upMember("s-00000001", server))
	request := newRequest("1", h.now(), budget)
	request.Message.Header = requestIDHeader("1")
	h.accept(request)
	<-server.Arrivals
	h.origin = h.origin.Add(-2 * budget) // the loop's clock goes on while the process is held up
	close(answer)
	h.awaitEvent()
	var batch eventBatch
	h.expireTimers(&batch)
	want(t, "status", (<-request.Responses).Status, http.StatusOK)
	h.finishAttempts()
}

// awaitEvent waits until an event is queued and does not handle it.
func (h *manualLoop) awaitEvent() {
	h.t.Helper()
	for limit := time.Now().Add(eventTimeout); time.Now().Before(limit); runtime.Gosched() {
		h.mailbox.mu.Lock()
		queued := len(h.mailbox.normal)
		h.mailbox.mu.Unlock()
		if queued > 0 {
			return
		}
	}
	h.t.Fatal("no event within eventTimeout")
}
