package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"olivearch/internal/procstat"
)

const (
	hotUpstreams     = 15
	hotUpstreamDelay = 30 * time.Millisecond
	chunkedHead      = "Transfer-Encoding: chunked\r\n\r\n"
)

// shortDeadlines are honest clients whose requests have little time.
var shortDeadlines = honestLoad{
	clients:    24,
	pause:      20 * time.Millisecond,
	limit:      140 * time.Millisecond,
	tellsLimit: true,
}

// pipelineHealthChecks sends health checks without a pause and reads the answers beside it.
func pipelineHealthChecks(conn net.Conn, _ string) {
	go func() { discardAnswer(conn) }()
	checks := strings.Repeat("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 100)
	for {
		if _, err := io.WriteString(conn, checks); err != nil {
			return
		}
	}
}

// uploadByteChunks sends a body in chunks of one byte without a pause.
func uploadByteChunks(conn net.Conn, serial string) {
	go func() { discardAnswer(conn) }()
	chunks := strings.Repeat("1\r\nx\r\n", 1000)
	text := strings.Replace(platformHead(serial, "", 0), "Content-Length: 0\r\n", "", 1)
	text = strings.TrimSuffix(text, "\r\n") + chunkedHead
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		text = chunks
	}
}

// askForByteChunks asks again and again for responses that the upstream sends in chunks of one byte.
func askForByteChunks(conn net.Conn, serial string) {
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		if _, err := io.WriteString(conn, platformHead(serial+strconv.Itoa(i), "X-Byte-Chunks: 1\r\n", 0)); err != nil {
			return
		}
		if got, err := readAnswer(reader); err != nil || got.closes {
			return
		}
	}
}

// sendEmptyLines sends empty lines in place of a request.
func sendEmptyLines(conn net.Conn, _ string) {
	_, _ = io.WriteString(conn, strings.Repeat("\r\n", mebibyte/2)) // the balancer closes it
}

// sendNothing leaves its connection at once.
func sendNothing(net.Conn, string) {}

const hotConnections = 6

// hotClients keep their balancer busy without a pause.
var hotClients = []hostileClients{
	{"pipelined health checks", hotConnections, 192, pipelineHealthChecks, leave, false},
	{"pipelined health checks on one connection", 1, 192, pipelineHealthChecks, leave, false},
	{"uploads in chunks of one byte", hotConnections, 192, uploadByteChunks, leave, false},
	{"responses in chunks of one byte", hotConnections, 192, askForByteChunks, leave, false},
	{"empty lines", hotConnections, 192, sendEmptyLines, leave, false},
	{"connect and close", hotConnections, 192, sendNothing, leave, false},
}

// TestHotClientsLeaveTheProcessor guards against requests that are answered late because other clients, or upstreams
// that these ask, send small parts at full speed.
func TestHotClientsLeaveTheProcessor(t *testing.T) {
	connecting := shortDeadlines
	connecting.newConnections = true
	for _, hot := range hotClients {
		t.Run(hot.name, func(t *testing.T) { playHot(t, hot, shortDeadlines) })
		t.Run(hot.name+", new connections", func(t *testing.T) { playHot(t, hot, connecting) })
	}
}

func playHot(t *testing.T, hot hostileClients, honest honestLoad) {
	byteChunks := []byte(strings.Repeat("1\r\nx\r\n", 200_000) + "0\r\n\r\n")
	process := startPlatform(t, hotUpstreams, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Byte-Chunks") != "" {
			conn := hijack(t, w)
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+chunkedHead)
			_, _ = conn.Write(byteChunks) // the balancer may close it
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // the client has left
		}
		<-time.After(hotUpstreamDelay)
		_, _ = fmt.Fprintf(w, "the response to request %s", r.Header.Get("X-Request-Id"))
	})
	outcomes := playBeside(t, hot, honest, process.listen)
	usage, err := procstat.Of(process.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak %.1f MB; honest requests: %v", usage.PeakMB, outcomes)
	if !outcomes.areInTime() {
		t.Errorf("honest requests: %v", outcomes)
	}
}
