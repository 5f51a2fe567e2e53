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

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// http.Transport writes a GET or a keyed request again by itself when a kept connection breaks. What has been
// written once must not be written again by anything but the module, and an unsafe request never.
func TestOneAttemptIsOneWrite(t *testing.T) {
	for _, class := range []string{"checkin", "pay"} {
		t.Run(class, func(t *testing.T) {
			n := 0
			s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
				n++ // one connection at a time
				return n == 1 && scripted.Done(c, r)
			})
			d := HTTP1{Timeout: time.Second}
			send := func(c Conn) Result {
				h := http1.Fields{{Name: "X-Request-Id", Value: "1"}}
				if class == "pay" {
					h.Add("Idempotency-Key", "1")
				}
				m := Message{Line: "POST /x", Host: "x", Header: h}
				return d.Do(&Attempt{Message: &m, Address: s.Addr, Conn: c, Wait: time.Second})
			}
			first := send(nil)
			want(t, "first", first.Status, balancer.OK)
			want(t, "second", send(first.Conn).Status, balancer.Reset)
			want(t, "requests written", len(s.Arrivals), 2)
			want(t, "connections", s.Opened(), 1)
		})
	}
}

// A connection that the upstream closed while it idled is seen before anything is written to it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		scripted.Done(c, r)
		c.Close()
		closed <- struct{}{}
		return false
	})
	d := HTTP1{Timeout: time.Second}
	c, _, err := d.connect(nil, s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	run := func(c Conn) Result {
		m := Message{Line: "POST /x", Host: "x"}
		return d.Do(&Attempt{Message: &m, Address: s.Addr, Conn: c, Wait: time.Second})
	}
	r := run(c)
	want(t, "first", r.Status, balancer.OK)
	<-closed
	if err := r.Conn.(*conn).Wait(); err == nil { // the end has come
		t.Fatal("bytes on an idle connection")
	}
	want(t, "second", run(r.Conn).Status, balancer.OK)
	want(t, "connections", s.Opened(), 2)
}

func TestOutcomes(t *testing.T) {
	raw := func(text string, keep bool) func(net.Conn, *http.Request) bool {
		return func(c net.Conn, _ *http.Request) bool { io.WriteString(c, text); return keep }
	}
	for _, c := range []struct {
		name   string
		answer func(net.Conn, *http.Request) bool
		status any
		keeps  bool
	}{
		{"served", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: util=0.5\r\n\r\nab", true), balancer.OK, true},
		{"served in chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true), balancer.OK, true},
		{"served, then closed", raw("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", false), balancer.OK, false},
		{"served after a 1xx", raw("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true), balancer.OK, true},
		{"a second copy behind it", raw(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 2), true), balancer.OK, false},
		{"noise behind it", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab?", true), balancer.OK, false},
		{"1xx without end", raw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", http1.MaxInterim+1), true), balancer.Error, false},
		{"101", raw("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true), balancer.Error, false},
		{"a head without end", raw("HTTP/1.1 200 OK\r\n"+strings.Repeat("X-Pad: pppppppppp\r\n", http1.MaxHead/10), true), balancer.Error, false},
		{"a line without end", raw("HTTP/1.1 200 OK\r\nX-Pad: "+strings.Repeat("p", 2*http1.MaxHead), true), balancer.Error, false},
		{"no length, to the close", raw("HTTP/1.1 200 OK\r\n\r\nab", false), balancer.OK, false},
		{"both framings", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true), balancer.Error, false},
		{"two lengths", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", true), balancer.Error, false},
		{"a negative length", raw("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab", true), balancer.Error, false},
		{"noise for a chunk", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n", true), balancer.Error, false},
		{"a status that is none", raw("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nab", true), balancer.Error, false},
		{"a field without a colon", raw("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab", true), balancer.Error, false},
		{"a blank in a field's name", raw("HTTP/1.1 200 OK\r\nContent-Length : 3\r\nContent-Length: 2\r\n\r\nab", true), balancer.Error, false},
		{"3 GB", raw("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab", true), balancer.Error, false},
		{"error", raw("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", true), balancer.Error, true},
		{"503 that may have run", raw("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true), balancer.Error, true},
		{"503 not run", raw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), balancer.Rejected, true},
		{"504 not run", raw("HTTP/1.1 504 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), balancer.Rejected, true},
		{"502 not run is not in the table", raw("HTTP/1.1 502 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), balancer.Error, true},
		{"closed without an answer", raw("", false), balancer.Reset, false},
		{"cut short", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", false), balancer.Reset, false},
		{"cut short in chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false), balancer.Reset, false},
		{"no HTTP", raw("what?\r\n\r\n", false), balancer.Error, false},
		{"too large", raw("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", true), balancer.Error, false},
		{"too large in chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"+strings.Repeat("x", body.Whole+1)+"\r\n0\r\n\r\n", false), balancer.Error, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := scripted.Start(t, c.answer)
			m := Message{Line: "POST /x", Host: "x", Body: []byte("b")}
			r := HTTP1{Timeout: time.Second}.Do(&Attempt{Message: &m, Address: s.Addr, Wait: time.Second})
			want(t, "status", any(r.Status), c.status)
			want(t, "kept", r.Conn != nil, c.keeps)
			if c.status == balancer.OK {
				want(t, "body", string(r.Body), "ab")
			}
		})
	}
}

func TestConnectFailedAndMootWriteNothing(t *testing.T) {
	d := HTTP1{Timeout: time.Second}
	want(t, "refused", d.Do(&Attempt{Message: &Message{}, Address: scripted.Refusing(t)}).Status, balancer.ConnectFailed)

	// What waits for its connection when its request ends or its upstream leaves is not sent any more.
	s := scripted.Start(t, scripted.Done)
	a := &Attempt{Message: &Message{Line: "POST /x"}, Address: s.Addr, Wait: time.Second}
	want(t, "dropped", a.Drop(), true)
	r := d.Do(a)
	want(t, "status", r.Status, balancer.NotSent)
	want(t, "still of use", r.Conn != nil && r.Conn.(*conn).checkIdle() == nil, true)
	want(t, "requests written", len(s.Arrivals), 0)
}

func TestLoadReports(t *testing.T) {
	whole := balancer.Load{Fields: balancer.HasErrors | balancer.HasUtil | balancer.HasService, Errors: 0.5, Util: 0.61, Service: 14.5}
	for _, c := range []struct {
		name    string
		reports []string
		want    balancer.Load
		why     string
	}{
		{"whole", []string{"err_ps=0.5, load_share=0.61,mean_ms=14.5,other=3"}, whole, ""},
		{"none", nil, balancer.Load{}, ""},
		{"empty", []string{""}, balancer.Load{}, `"" is not NAME=NUMBER`},
		{"half of it", []string{"load_share=0.61,mean_ms=x"}, balancer.Load{}, `"mean_ms=x" is not NAME=NUMBER`},
		{"cut", []string{"load_share=0.61,mean"}, balancer.Load{}, `"mean" is not NAME=NUMBER`},
		{"two", []string{"load_share=0.61", "load_share=0.62"}, balancer.Load{}, "X-Load stands there more than once"},
		{"a name twice", []string{"load_share=0.61,load_share=0.1"}, balancer.Load{}, `"load_share" stands there more than once`},
		{"not finite", []string{"load_share=NaN"}, balancer.Load{}, `"load_share=NaN" is out of range`},
		{"negative", []string{"load_share=-0.5"}, balancer.Load{}, `"load_share=-0.5" is out of range`},
		{"more than all cores", []string{"load_share=61"}, balancer.Load{}, "a utilisation of 61: 1 is all cores busy"},
		{"unknown names", []string{"cpu=0.5"}, balancer.Load{}, `"cpu=0.5" names no load that is known`},
	} {
		got, err := parseLoadReport(c.reports)
		why := ""
		if err != nil {
			why = err.Error()
		}
		want(t, c.name, got, c.want)
		want(t, c.name, why, c.why)
	}
}
