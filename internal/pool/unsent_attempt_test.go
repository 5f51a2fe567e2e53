package pool

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// fixedClient is a Client whose Connected always returns the same value.
type fixedClient bool

func (p fixedClient) Connected() bool { return bool(p) }

// TestNothingWrittenAfterChangeWhileConnecting: an endpoint has been chosen for an attempt, and its connection is slow
// to open. If the endpoint drains or is removed, or the client leaves, before the first byte is written, nothing may be
// written.
func TestNothingWrittenAfterChangeWhileConnecting(t *testing.T) {
	cases := []struct {
		name   string
		spec   func(*Spec)
		client Client
		change func(h *manualLoop, r *Request, s *scripted.Node)
	}{
		{name: "the endpoint drains", change: func(h *manualLoop, _ *Request, s *scripted.Node) {
			h.updateEndpoints(21, drainingMember(upMember("s-00000001", s)))
		}},
		{name: "the endpoint is removed", change: func(h *manualLoop, _ *Request, _ *scripted.Node) {
			h.updateEndpoints(21)
		}},
		{name: "the client leaves", change: func(h *manualLoop, r *Request, _ *scripted.Node) {
			clientLeft{r}.apply(h.loop)
			h.reportPendingOutcomes()
		}},
		{
			name: "the client leaves, and attempts can't be cancelled",
			spec: func(s *Spec) { s.Settings.Limits.Cancel = false },
			change: func(h *manualLoop, r *Request, _ *scripted.Node) {
				clientLeft{r}.apply(h.loop)
				h.reportPendingOutcomes()
			},
		},
		{
			name: "the client leaves while the loop is busy",
			change: func(_ *manualLoop, r *Request, _ *scripted.Node) {
				r.ClientLeft()
			},
		},
		{
			name:   "the client leaves, and only a check of its connection shows it",
			client: fixedClient(false),
			change: func(h *manualLoop, r *Request, _ *scripted.Node) {
				r.ReceivedAt -= 2 * clientCheckDelay
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := scripted.Start(t, scripted.Done)
			spec := testSpec()
			if c.spec != nil {
				c.spec(&spec)
			}
			h := newManualLoop(t, spec)
			h.updateEndpoints(20, upMember("s-00000001", s))
			delayed := h.delayConnections()
			r := h.submit("1", "checkin", c.client)
			<-delayed.began
			c.change(h, r, s)
			close(delayed.connect)
			<-delayed.ended // what is written has been written by now
			h.finishAttempts()
			want(t, "requests at the endpoint", len(s.Arrivals), 0)
			want(t, "attempts without a reported outcome", r.unreportedOutcomes, 0)
		})
	}
}

// TestStreamedRequestIsNotSentAfterItsClientLeft guards against an attempt that begins long after its client has left,
// if the process was held up before it read the request: nobody else reads the connection of a streamed request.
func TestStreamedRequestIsNotSentAfterItsClientLeft(t *testing.T) {
	h := newManualLoop(t, testSpec())
	request := newRequest("1", h.now(), 4*time.Second)
	request.Client = fixedClient(false)
	request.loop = h.loop
	want(t, "a short request may be sent at once", request.clientPresent(), true)
	_, balancerSide := scripted.Pair(t)
	request.Message.Upload = newStreamedUpload(t, balancerSide)
	want(t, "a streamed request may be sent", request.clientPresent(), false)
}

// TestUploadEndsWithItsRequest guards against a reader that waits for ever for an upload that no attempt will begin,
// since only the gate of an attempt has found that the client has left.
func TestUploadEndsWithItsRequest(t *testing.T) {
	scripted.AtRest(t)
	server := scripted.Start(t, scripted.Done)
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", server))
	_, balancerSide := scripted.Pair(t)
	request := newRequest("1", h.now()-2*clientCheckDelay, 4*time.Second)
	request.Client = fixedClient(false)
	request.Message.Upload = newStreamedUpload(t, balancerSide)
	h.accept(request)
	h.finishAttempts()
	want(t, "requests at the endpoint", len(server.Arrivals), 0)
	select {
	case err := <-request.Message.Upload.Done():
		want(t, "the upload ends with a ClientError", errors.As(err, new(body.ClientError)), true)
	default:
		t.Error("the request has ended, and its upload has not")
	}
}

// newStreamedUpload returns the upload of a body of which nothing was read ahead.
func newStreamedUpload(t *testing.T, conn net.Conn) *body.Upload {
	t.Helper()
	framing := http1.Framing{Length: 1 << 20}
	upload := body.NewUpload(new(body.Spool), conn, framing, &body.DefaultLimits)
	if err := upload.ReadAhead(http1.NewStream(conn, 1<<10).Body(framing, 0)); err != nil {
		t.Fatal(err)
	}
	return upload
}

// TestClientLeftBeforeArrival: if the client leaves before the loop has handled its request, no connection is opened.
func TestClientLeftBeforeArrival(t *testing.T) {
	s := scripted.Start(t, scripted.Done)
	h := newManualLoop(t, testSpec())
	h.updateEndpoints(20, upMember("s-00000001", s))
	request := newRequest("1", h.now(), time.Second)
	request.loop = h.loop
	h.enqueue(requestArrived{request})
	request.ClientLeft()
	h.handleEvents()
	want(t, "connections to the endpoint", s.Opened(), 0)
	want(t, "requests", len(h.requests), 0)
	want(t, "client request ids", len(h.clientRequestIDs.open), 0)
}

// TestDeduplicationWindowEndsWhileConnecting: a request with an idempotency key may have run. Its second attempt is
// chosen within the deduplication window, but its connection opens only after the window. It must not be written then,
// because the endpoints may have forgotten the key.
func TestDeduplicationWindowEndsWhileConnecting(t *testing.T) {
	const window = 200 * time.Millisecond
	// The server reads the request and closes the connection.
	server := scripted.Start(t, func(net.Conn, *http.Request) bool { return false })
	spec := testSpec()
	spec.Settings.Classes = append(spec.Settings.Classes, balancer.Class{
		Name:                "pay",
		LatencyObjective:    2 * time.Second,
		Deadline:            4 * time.Second,
		Idempotency:         balancer.IdempotentWithKey,
		KeyScope:            balancer.KeyScopeAll,
		DeduplicationWindow: window,
		PriorityWeight:      1,
	})
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late: ", late), func(t *testing.T) {
			h := newManualLoop(t, spec)
			h.updateEndpoints(20, upMember("s-00000001", server), upMember("s-00000002", server))
			delayed := h.delayConnections()
			r := h.submit("1", "pay", nil)
			<-delayed.began
			delayed.connect <- struct{}{}
			<-server.Arrivals
			h.handleEvents() // the request may have run; the window allows a second attempt
			<-delayed.began
			if late {
				time.Sleep(window)
			}
			close(delayed.connect)
			h.finishAttempts()
			want(t, "attempts written after the first", len(server.Arrivals) > 0, !late)
			for len(server.Arrivals) > 0 {
				<-server.Arrivals
			}
			if late {
				// The key's scope is all endpoints: they drop a repeat of the request by the client.
				want(t, "status", (<-r.Responses).Status, http.StatusServiceUnavailable)
			}
		})
	}
}

// peekedClient is a Client whose connection is asked as a frontend does.
type peekedClient struct{ conn net.Conn }

func (p peekedClient) Connected() bool { return !http1.Peek(p.conn).Gone() }

// TestClientThatLeftBehindFullWindowIsSeen guards against an attempt that begins long after its client has left,
// because the end of the client's connection has no room behind bytes of its body.
func TestClientThatLeftBehindFullWindowIsSeen(t *testing.T) {
	const bodyBytes, spoolBytes = 100 << 10, 1 << 20
	client, balancerSide := scripted.Connect(t, scripted.ListenWithSmallBuffer(t, 16<<10))
	if err := client.SetWriteBuffer(4 * bodyBytes); err != nil {
		t.Fatal(err)
	}
	spool := new(body.Spool)
	framing := http1.Framing{Length: bodyBytes}
	upload := body.NewUpload(spool, balancerSide, framing, &body.DefaultLimits)
	if err := upload.ReadAhead(http1.NewStream(balancerSide, 1<<10).Body(framing, 0)); err != nil {
		t.Fatal(err)
	}
	spool.SetSize(spoolBytes)
	if _, err := client.Write(make([]byte, bodyBytes)); err != nil {
		t.Fatal(err)
	}
	client.Close()
	h := newManualLoop(t, testSpec())
	request := newRequest("1", h.now()-2*clientCheckDelay, 4*time.Second)
	request.loop = h.loop
	request.Client = peekedClient{balancerSide}
	want(t, "connected, as far as the system can tell", request.Client.Connected(), true)
	request.Message.Upload = upload
	want(t, "the request may be sent", request.clientPresent(), false)
	upload.Release()
	want(t, "bytes of the spool that are left", spool.Free(), int64(spoolBytes))
}
