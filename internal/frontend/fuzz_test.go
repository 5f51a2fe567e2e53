package frontend

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/standin/scripted"
	"olivearch/internal/upstream"
)

// echoRouter is a Router whose exchanges answer each request at once with the body of the request.
type echoRouter struct{ requests int }

type echoExchange struct {
	pool.Request
	router *echoRouter
}

func (r *echoRouter) Check(method, target string, h *http1.Fields) (Exchange, error) {
	if !strings.HasPrefix(target, "/") {
		return nil, BadRequest("the target is no path")
	}
	exchange := &echoExchange{router: r}
	exchange.Message = upstream.Message{RequestLine: method + " " + target, Header: *h, Bodied: method == http.MethodPost}
	return exchange, nil
}
func (r *echoRouter) Ping()                      {}
func (r *echoRouter) Now() time.Duration         { return 0 }
func (r *echoRouter) MaxDeadline() time.Duration { return time.Second }

func (e *echoExchange) PoolRequest() *pool.Request { return &e.Request }
func (e *echoExchange) Done()                      {}
func (e *echoExchange) Admit() (pool.Response, error) {
	e.router.requests++
	return pool.Response{Status: http.StatusOK, Body: e.Message.Body}, nil
}

// countRejections counts the responses with a status of 4xx or 5xx.
func countRejections(output []byte) int {
	const statusLine = "HTTP/1.1 "
	count := 0
	for {
		i := bytes.Index(output, []byte(statusLine))
		if i < 0 || len(output) < i+len(statusLine)+3 {
			return count
		}
		if firstDigit := output[i+len(statusLine)]; firstDigit >= '4' && firstDigit <= '5' {
			count++
		}
		output = output[i+len(statusLine)+3:]
	}
}

// FuzzExchange sends arbitrary bytes on one connection. The server must write at most one response for each accepted
// request or health check, and at most one rejection.
func FuzzExchange(f *testing.F) {
	const get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	const post = "POST /a HTTP/1.1\r\n"
	for _, text := range []string{
		get,
		get + get,
		"GET /a HTTP/1.0\r\n\r\n",
		"GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get,
		post + "Content-Length: 2\r\n\r\nab" + get,
		post + "Transfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n0\r\nX-T: 1\r\n\r\n" + get,
		post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get,
		post + "Content-Length: 99\r\n\r\nab",
		"GET /healthz HTTP/1.1\r\n\r\n" + get,
		"\r\n\r\n" + get,
		"GET /a HTTP/1.1\nHost: x\n\n",
		"PRI * HTTP/2.0\r\n\r\n",
		"\x16\x03\x01",
		"",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		router := &echoRouter{}
		limits := DefaultLimits(10)
		limits.HTTP10 = true
		server := New(router, nil, limits)
		conn := scripted.Saying(text)
		server.ServeConn(conn)
		server.connections.Wait()
		if bytes.Contains(text, []byte("HTTP/1.1 ")) { // the body of a response may contain it too
			return
		}
		output := conn.Heard.Bytes()
		responses := bytes.Count(output, []byte("HTTP/1.1 200 OK\r\n"))
		rejections := countRejections(output)
		healthChecks := bytes.Count(output, []byte("\r\n\r\nok\n"))
		if responses > router.requests+healthChecks || rejections > 1 {
			t.Errorf("%d requests were accepted, %d responses and %d rejections written:\n%q",
				router.requests, responses, rejections, output)
		}
	})
}
