package body

import (
	"bytes"
	"errors"
	"net"
	"runtime"
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
