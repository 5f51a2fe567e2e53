package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/route"
	"olivearch/internal/standin/scripted"
	"olivearch/internal/wire"
)

// startPool starts a pool that a test's routes can lead to.
func startPool(t testing.TB, name string, queue int) *pool.Pool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p, err := pool.New(ctx, pool.Spec{
		Name: name, MaxRequests: queue, SharedWeight: 1, MaxConnections: 10,
		Links:    wire.ConnectionSettings{KeepAlive: time.Minute, ConnectTimeout: time.Second},
		Settings: oneClassSettings(),
	}, pool.NewEndpointRegistry(ctx, 10), nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func routesTo(t testing.TB, pools ...*pool.Pool) *Routing {
	t.Helper()
	class := balancer.Class{Name: "c", Deadline: time.Second, Idempotency: balancer.NonIdempotent}
	r := &Routing{
		Destinations: []Destination{{Class: class, Limit: time.Second, KeyCookie: "obj"}},
		Pools:        map[string]*pool.Pool{},
	}
	var rules []route.Rule
	for _, p := range pools {
		r.Pools[p.Name()] = p
		rules = append(rules, ruleTo(p.Name(), p.Name()+".example.org"))
	}
	var errs []error
	if r.Table, errs = route.Build(rules); errs != nil {
		t.Fatal(errs)
	}
	return r
}

// ruleTo leads from the paths under /a of a host to a pool.
func ruleTo(poolName, host string) route.Rule {
	return route.Rule{
		Name: poolName, Hosts: []string{host}, Kind: route.Prefix, Path: "/a",
		Pools: []route.WeightedPool{{Pool: poolName, Weight: 1}},
	}
}

// FuzzRouted reads what a client may send to routes. What goes on is one request, and a server that reads it comes to
// the route that was taken here.
func FuzzRouted(f *testing.F) {
	for _, text := range []string{
		"POST /a/%2e%2e/a//b?x HTTP/1.1\r\nHost: X.example.org:80\r\nContent-Length: 2\r\n\r\nab",
		"GET http://x.example.org/a HTTP/1.1\r\nHost: y\r\nX-Class: c\r\nConnection: Host, X-Request-Id\r\n\r\n",
		"PUT /a HTTP/1.1\r\nHost: x.example.org\r\nX-Request-Id: 7\r\nContent-Length: 0\r\nExpect: 100-continue\r\n\r\n",
		"DELETE /a;x HTTP/1.1\r\nHost: x.example.org\r\nContent-Length: 0\r\n\r\n",
		"HEAD /a HTTP/1.1\r\nHost: x.example.org\r\nCookie: obj=1\r\n folded\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	r := routesTo(f, startPool(f, "x", 1))
	router := NewRouteTable(r)
	f.Fuzz(func(t *testing.T, text []byte) {
		call, err := frontend.ReadRequest(router, scripted.Saying(text))
		if err != nil || call == nil {
			return
		}
		q := call.(*routedExchange)
		sent := q.Message.Bytes(time.Second)
		in := bufio.NewReader(bytes.NewReader(sent))
		got, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("the server can't read %q: %v", sent, err)
		}
		body, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(body, q.Message.Body) || in.Buffered() > 0 || len(got.TransferEncoding) > 0 {
			t.Errorf("passed on %q, of which the server reads %q, %v, %d more", sent, body, err, in.Buffered())
		}
		host, err := route.Host(got.Host)
		target, err2 := route.ParseTarget(got.RequestURI)
		if err != nil || err2 != nil || host != got.Host || target.String() != got.RequestURI {
			t.Fatalf("passed on host %q and target %q: %v, %v", got.Host, got.RequestURI, err, err2)
		}
		rule := r.Table.Lookup(&route.Query{Host: host, Path: target.Path, Method: got.Method, Fields: q.fields})
		sameID := got.Header.Get("X-Request-Id") == q.ClientRequestID && q.ClientRequestID != ""
		if rule == nil || r.Pools[rule.Name] != q.pool || !sameID {
			t.Errorf("passed on %q by pool %s; the server would come to %+v", sent, q.pool.Name(), rule)
		}
	})
}

// A pool is retired between a request's head and its body: the request is looked up again and goes to the current pool.
// The retired one ends, and never takes a request after that.
func TestPoolRetiredWhileRequestIsRead(t *testing.T) {
	old, next := startPool(t, "x", 100), startPool(t, "y", 100)
	d := NewRouteTable(routesTo(t, old))
	heads := func(n int) (all []*routedExchange) {
		for i := range n {
			h := http1.Fields{{Name: "Host", Value: "x.example.org"}, {Name: "X-Request-Id", Value: fmt.Sprint(i)}}
			q, err := d.Check("POST", "/a", &h)
			if err != nil {
				t.Fatal(err)
			}
			q.PoolRequest().Responses = make(chan pool.Response, 1)
			all = append(all, q.(*routedExchange))
		}
		return all
	}
	before := heads(50)
	moved := routesTo(t, old, next)
	var errs []error
	if moved.Table, errs = route.Build([]route.Rule{ruleTo("y", "x.example.org")}); errs != nil {
		t.Fatal(errs)
	}
	var wg sync.WaitGroup
	for i, q := range before {
		if i == len(before)/2 {
			d.SetRouting(moved)
			old.Shutdown()
		}
		wg.Go(func() {
			if a, err := q.Admit(); err != nil || a.Status != 0 {
				t.Errorf("request %d: %v, %v", i, a, err)
				return
			}
			<-q.Responses // rejected: there is no upstream
			q.Done()
		})
	}
	wg.Wait()
	<-old.Done()
	if ok, full := old.Acquire(); ok || full {
		t.Error("an ended pool takes requests")
	}
	for _, q := range before[len(before)/2:] {
		if q.pool != next {
			t.Errorf("request %s went to the retired pool", q.ClientRequestID)
		}
	}
}
