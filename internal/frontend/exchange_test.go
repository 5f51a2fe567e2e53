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

// echoRouter is a desk whose pool answers each request at once, with the body that came.
type echoRouter struct{ asked int }

type echoExchange struct {
	pool.Request
	desk *echoRouter
}

func (d *echoRouter) Check(method, target string, h *http1.Fields) (Exchange, error) {
	if !strings.HasPrefix(target, "/") {
		return nil, BadRequest("the target is no path")
	}
	q := &echoExchange{desk: d}
	q.Message = upstream.Message{Line: method + " " + target, Header: *h, Bodied: method == http.MethodPost}
	return q, nil
}
func (d *echoRouter) Ping()                      {}
func (d *echoRouter) Now() time.Duration         { return 0 }
func (d *echoRouter) MaxDeadline() time.Duration { return time.Second }

func (q *echoExchange) PoolRequest() *pool.Request { return &q.Request }
func (q *echoExchange) Done()                      {}
func (q *echoExchange) Admit() (pool.Response, error) {
	q.desk.asked++
	return pool.Response{Status: http.StatusOK, Body: q.Message.Body}, nil
}

// FuzzExchange lets a client say anything on one connection. It gets one answer for each request that was taken, in order and
// readable, at most one refusal behind them, and then the end.
func FuzzExchange(f *testing.F) {
	const get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, text := range []string{
		get, get + get, "GET /a HTTP/1.0\r\n\r\n", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get,
		"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab" + get, "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n0\r\nX-T: 1\r\n\r\n" + get,
		"POST /a HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, "POST /a HTTP/1.1\r\nContent-Length: 99\r\n\r\nab",
		"GET /healthz HTTP/1.1\r\n\r\n" + get, "\r\n\r\n" + get, "GET /a HTTP/1.1\nHost: x\n\n", "PRI * HTTP/2.0\r\n\r\n", "\x16\x03\x01", "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := &echoRouter{}
		limits := Usual(10)
		limits.HTTP10 = true
		front := New(d, nil, limits)
		c := scripted.Saying(text)
		front.Take(c)
		front.connections.Wait()
		said := c.Heard.Bytes()
		answers := strings.Count(string(said), "HTTP/1.1 200 OK\r\n")
		refusals := 0
		for rest := said; ; {
			i := bytes.Index(rest, []byte("HTTP/1.1 "))
			if i < 0 || len(rest) < i+12 {
				break
			}
			if rest[i+9] >= '4' && rest[i+9] <= '5' {
				refusals++
			}
			rest = rest[i+12:]
		}
		health := strings.Count(string(said), "\r\n\r\nok\n")
		if bytes.Contains(text, []byte("HTTP/1.1 ")) { // it came back as a body
			return
		}
		if answers > d.asked+health || refusals > 1 {
			t.Errorf("%d requests were taken, %d answers and %d refusals given:\n%q", d.asked, answers, refusals, said)
		}
	})
}
