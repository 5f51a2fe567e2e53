package frontend

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/standin/scripted"
)

// startDownload starts a response of unknown length that is streamed to a client, and returns the upstream's side.
func startDownload(t *testing.T, router *heldRouter, client *testClient) net.Conn {
	t.Helper()
	balancerSide, upstreamSide := net.Pipe()
	t.Cleanup(func() { upstreamSide.Close() })
	download := body.NewDownload(http1.NewStream(balancerSide, 2<<10), http1.Framing{Chunked: true}, &body.DefaultLimits)
	began := make(chan struct{})
	go func() { _, _ = download.Receive(func() { close(began) }) }()
	<-began
	client.send(t, getRequest)
	(<-router.submitted).Responses <- pool.Response{Status: http.StatusOK, Stream: download}
	if _, err := client.in.Peek(1); err != nil { // the response has begun
		t.Fatal(err)
	}
	return upstreamSide
}

// TestStopWaitsForDownload guards against a shutdown that cuts a download which its route allows, because it waits no
// longer than for the first byte of a response.
func TestStopWaitsForDownload(t *testing.T) {
	scripted.AtRest(t)
	server, listener, router := newHookedServer(t)
	server.SetTransferLimit(time.Minute)
	client, _ := listener.dial(t, noHooks)
	upstream := startDownload(t, router, client)
	stopped := stopInBackground(server)
	select {
	case <-stopped:
		t.Error("Stop has returned in the middle of the response")
	case <-time.After(router.MaxDeadline() + 3*lameDuckPeriod):
	}
	if _, err := io.WriteString(upstream, "3\r\nabc\r\n"+http1.LastChunk); err != nil {
		t.Fatal(err)
	}
	client.expectStatus(t, http.StatusOK, false)
	<-stopped
}

// TestStopWaitsForDownloadWithinLimit guards against a shutdown that waits without end for a download that has no
// limit.
func TestStopWaitsForDownloadWithinLimit(t *testing.T) {
	server, listener, router := newHookedServer(t)
	server.SetTransferLimit(router.MaxDeadline() + 2*lameDuckPeriod)
	client, _ := listener.dial(t, noHooks)
	startDownload(t, router, client)
	select {
	case <-stopInBackground(server):
	case <-time.After(20 * time.Second):
		t.Error("Stop still waits for the response")
	}
}
