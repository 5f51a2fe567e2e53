package body

import (
	"bytes"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// TestUpstreamFailureIsNoClientError guards against an upstream's failure that is credited to the client, because that
// has left after it had sent its whole body.
func TestUpstreamFailureIsNoClientError(t *testing.T) {
	const bodyBytes = 2 * BlockSize
	client, balancerSide := scripted.Pair(t)
	if _, err := client.Write(bytes.Repeat([]byte("x"), bodyBytes)); err != nil {
		t.Fatal(err)
	}
	client.Close()
	limit := time.Now().Add(endTimeout)
	for http1.Peek(balancerSide) != http1.PeerSentLast && time.Now().Before(limit) {
		runtime.Gosched() // until the end has arrived
	}
	framing := http1.Framing{Length: bodyBytes}
	upload := NewUpload(new(Spool), balancerSide, framing, &DefaultLimits)
	if err := upload.ReadAhead(http1.NewStream(balancerSide, 1<<10).Body(framing, 0)); err != nil {
		t.Fatal(err)
	}
	upstream, otherSide := net.Pipe()
	otherSide.Close()
	if err := upload.Send(upstream, time.Time{}); err == nil || errors.As(err, new(ClientError)) {
		t.Errorf("got %v, want the upstream's error", err)
	}
}

// TestPausingClientIsNotLate guards against a chunked upload that is ended because its client pauses while its upstream
// is behind: the request's time counts from the last chunk.
func TestPausingClientIsNotLate(t *testing.T) {
	const limit = 100 * time.Millisecond
	client, balancerSide := scripted.Pair(t)
	send := func(text string) {
		t.Helper()
		if _, err := io.WriteString(client, text); err != nil {
			t.Fatal(err)
		}
	}
	send("8000\r\n" + strings.Repeat("x", 32<<10) + "\r\n")
	framing := http1.Framing{Chunked: true}
	upload := NewUpload(new(Spool), balancerSide, framing, &DefaultLimits)
	if err := upload.ReadAhead(http1.NewStream(balancerSide, 1<<10).Body(framing, 1<<20)); err != nil {
		t.Fatal(err)
	}
	late := make(chan struct{}, 1)
	watch := upload.WatchArrival(limit, func() { late <- struct{}{} })
	defer watch.Stop()
	select {
	case <-late:
		t.Fatal("the upload is late although its client has not sent the last chunk")
	case <-time.After(4 * limit):
	}
	send(http1.LastChunk)
	select {
	case <-late:
	case <-time.After(endTimeout):
		t.Error("the upload is not late although its last chunk has waited")
	}
}
