package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/internal/procstat"
)

const (
	hotClients       = 6
	hotTime          = 3 * time.Second
	hotUpstreams     = 15
	hotUpstreamDelay = 30 * time.Millisecond
	chunkedHead      = "Transfer-Encoding: chunked\r\n\r\n"
)

// shortDeadlines are honest clients whose requests have little time.
var shortDeadlines = honestLoad{clients: 24, pause: 20 * time.Millisecond, limit: 140 * time.Millisecond, tellsLimit: true}

// hotClient is a client that keeps its balancer busy without a pause for as long as its connection stays open.
type hotClient struct {
	name   string
	count  int
	send   func(conn net.Conn, serial string)
	honest honestLoad
}

// run keeps the clients going until ctx ends.
func (h hotClient) run(ctx context.Context, address string) {
	var clients sync.WaitGroup
	var serial atomic.Int64
	var dialer net.Dialer
	for range h.count {
		clients.Go(func() {
			for ctx.Err() == nil {
				conn, err := dialer.DialContext(ctx, "tcp", address)
				if err != nil {
					continue
				}
				stop := context.AfterFunc(ctx, func() { conn.Close() })
				h.send(conn, fmt.Sprintf("h%015x", serial.Add(1)))
				stop()
				conn.Close()
			}
		})
	}
	clients.Wait()
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

// comeAndGo sends nothing.
func comeAndGo(net.Conn, string) {}

// TestHotClientsLeaveTheProcessor guards against requests that are answered late because other clients, or upstreams
// that these ask, send small parts at full speed.
func TestHotClientsLeaveTheProcessor(t *testing.T) {
	connecting := shortDeadlines
	connecting.newConnections = true
	for _, hot := range []hotClient{
		{"pipelined health checks", hotClients, pipelineHealthChecks, shortDeadlines},
		{"pipelined health checks, new connections", 1, pipelineHealthChecks, connecting},
		{"uploads in chunks of one byte", hotClients, uploadByteChunks, shortDeadlines},
		{"responses in chunks of one byte", hotClients, askForByteChunks, shortDeadlines},
		{"empty lines", hotClients, sendEmptyLines, shortDeadlines},
		{"connect and close", hotClients, comeAndGo, shortDeadlines},
		{"connect and close, new connections", hotClients, comeAndGo, connecting},
	} {
		t.Run(hot.name, func(t *testing.T) { playHot(t, hot) })
	}
}

func playHot(t *testing.T, hot hotClient) {
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
	ctx, cancel := context.WithTimeout(t.Context(), hotTime)
	defer cancel()
	var outcomes honestOutcomes
	var running sync.WaitGroup
	running.Go(func() { hot.run(ctx, process.listen) })
	running.Go(func() { hot.honest.run(ctx, process.listen, &outcomes) })
	running.Wait()
	usage, err := procstat.Of(process.cmd.Process.Pid)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak %.1f MB; honest requests: %v", usage.PeakMB, &outcomes)
	if !outcomes.areInTime() {
		t.Errorf("honest requests: %v", &outcomes)
	}
}
