package service

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"olivearch/internal/live"
	"olivearch/internal/standin/scripted"
)

// TestHeldResponsesAreCounted guards against responses that the pools of a service hold and that no account counts.
func TestHeldResponsesAreCounted(t *testing.T) {
	const part = 40 << 10
	release := make(chan struct{})
	node := scripted.Start(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na000\r\n")
		_, _ = io.WriteString(c, strings.Repeat("x", part)+"\r\n")
		<-release
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	})
	x := startWithNodes(t, "", "", node)
	if size := x.responseMemory.Usage().Size; size <= 0 {
		t.Fatalf("the account has %d bytes", size)
	}
	c := x.dial("GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	<-node.Arrivals
	x.waitFor("a response is held", func(live.View) bool { return x.responseMemory.Usage().Used > 0 })
	close(release)
	if got := c.readResponse(); got.StatusCode != http.StatusOK {
		t.Errorf("got %d", got.StatusCode)
	}
	x.waitFor("nothing is held", func(live.View) bool { return x.responseMemory.Usage().Used == 0 })
}
