package upstream

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// outcomeCase is a response and the expected result of the attempt.
type outcomeCase struct {
	name      string
	response  string
	staysOpen bool // the upstream keeps the connection open after the response
	status    balancer.Status
	reusable  bool
}

var outcomeCases = []outcomeCase{
	{
		name:      "served",
		response:  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: util=0.5\r\n\r\nab",
		staysOpen: true, status: balancer.OK, reusable: true,
	},
	{
		name:      "served in chunks",
		response:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		staysOpen: true, status: balancer.OK, reusable: true,
	},
	{
		name:     "served, then closed",
		response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab",
		status:   balancer.OK,
	},
	{
		name:      "served after a 1xx",
		response:  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		staysOpen: true, status: balancer.OK, reusable: true,
	},
	{
		name:      "a second copy behind it",
		response:  strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 2),
		staysOpen: true, status: balancer.OK,
	},
	{
		name:      "noise behind it",
		response:  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab?",
		staysOpen: true, status: balancer.OK,
	},
	{
		name:      "1xx without end",
		response:  strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", http1.MaxInterim+1),
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "101",
		response:  "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "a head without end",
		response:  "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: pppppppppp\r\n", http1.MaxHead/10),
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "a line without end",
		response:  "HTTP/1.1 200 OK\r\nX-Pad: " + strings.Repeat("p", 2*http1.MaxHead),
		staysOpen: true, status: balancer.Error,
	},
	{
		name:     "no length, to the close",
		response: "HTTP/1.1 200 OK\r\n\r\nab",
		status:   balancer.OK,
	},
	{
		name:      "both framings",
		response:  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "two lengths",
		response:  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "a negative length",
		response:  "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "noise for a chunk",
		response:  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "a status that is none",
		response:  "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nab",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "a field without a colon",
		response:  "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "a blank in a field's name",
		response:  "HTTP/1.1 200 OK\r\nContent-Length : 3\r\nContent-Length: 2\r\n\r\nab",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "3 GB",
		response:  "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab",
		staysOpen: true, status: balancer.Error,
	},
	{
		name:      "error",
		response:  "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
		staysOpen: true, status: balancer.Error, reusable: true,
	},
	{
		name:      "503 that may have run",
		response:  "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
		staysOpen: true, status: balancer.Error, reusable: true,
	},
	{
		name:      "503 not run",
		response:  "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		staysOpen: true, status: balancer.Rejected, reusable: true,
	},
	{
		name:      "504 not run",
		response:  "HTTP/1.1 504 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		staysOpen: true, status: balancer.Rejected, reusable: true,
	},
	{
		name:      "502 not run is not in the table",
		response:  "HTTP/1.1 502 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		staysOpen: true, status: balancer.Error, reusable: true,
	},
	{
		name:     "closed without an answer",
		response: "",
		status:   balancer.Reset,
	},
	{
		name:     "cut short",
		response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
		status:   balancer.Reset,
	},
	{
		name:     "cut short in chunks",
		response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		status:   balancer.Reset,
	},
	{
		name:     "no HTTP",
		response: "what?\r\n\r\n",
		status:   balancer.Error,
	},
	{
		name:      "too large",
		response:  "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n",
		staysOpen: true, status: balancer.Error,
	},
	{
		name: "too large in chunks",
		response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" +
			strings.Repeat("x", body.MaxBuffered+1) + "\r\n0\r\n\r\n",
		status: balancer.Error,
	},
}

// Each response of outcomeCases yields the expected status of the attempt, and a connection only if that is reusable.
func TestOutcomes(t *testing.T) {
	for _, c := range outcomeCases {
		t.Run(c.name, func(t *testing.T) {
			server := scripted.Start(t, func(connection net.Conn, _ *http.Request) bool {
				if _, err := io.WriteString(connection, c.response); err != nil {
					t.Logf("response not written completely: %v", err) // this side may have closed the connection
				}
				return c.staysOpen
			})
			message := Message{RequestLine: "POST /x", Host: "x", Body: []byte("b")}
			attempt := Attempt{Message: &message, Address: server.Addr, Timeout: time.Second}
			result := HTTP1{ConnectTimeout: time.Second}.Do(&attempt)
			want(t, "status", result.Status, c.status)
			want(t, "connection returned", result.Conn != nil, c.reusable)
			if c.status == balancer.OK {
				want(t, "body", string(result.Body), "ab")
			}
		})
	}
}
