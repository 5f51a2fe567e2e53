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

// startPool starts a pool for the routes of a test.
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
	routing := &Routing{
		Destinations: []Destination{{Class: class, Limit: time.Second, KeyCookie: "obj"}},
		Pools:        map[string]*pool.Pool{},
	}
	var rules []route.Rule
	for _, p := range pools {
		routing.Pools[p.Name()] = p
		rules = append(rules, ruleTo(p.Name(), p.Name()+".example.org"))
	}
	var errs []error
	if routing.Table, errs = route.Build(rules); errs != nil {
		t.Fatal(errs)
	}
	return routing
}

// ruleTo returns a rule that leads from the paths under /a of a host to a pool.
func ruleTo(poolName, host string) route.Rule {
	return route.Rule{
		Name: poolName, Hosts: []string{host}, Kind: route.Prefix, Path: "/a",
		Pools: []route.WeightedPool{{Pool: poolName, Weight: 1}},
	}
}

// FuzzRouted reads arbitrary bytes as a client's request to a route. The bytes forwarded must be a single request, for
// which a server that reads it finds the same route.
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
	routing := routesTo(f, startPool(f, "x", 1))
	router := NewRouteTable(routing)
	f.Fuzz(func(t *testing.T, text []byte) {
		read, err := frontend.ReadRequest(router, scripted.Saying(text))
		if err != nil || read == nil {
			return
		}
		exchange := read.(*routedExchange)
		sent := exchange.Message.Bytes(time.Second)
		in := bufio.NewReader(bytes.NewReader(sent))
		got, err := http.ReadRequest(in)
		if err != nil {
			t.Fatalf("the server can't read %q: %v", sent, err)
		}
		body, err := io.ReadAll(got.Body)
		if err != nil || !bytes.Equal(body, exchange.Message.Body) || in.Buffered() > 0 || len(got.TransferEncoding) > 0 {
			t.Errorf("forwarded %q: the server reads %q, %v, and %d bytes remain", sent, body, err, in.Buffered())
		}
		host, err := route.Host(got.Host)
		target, err2 := route.ParseTarget(got.RequestURI)
		if err != nil || err2 != nil || host != got.Host || target.String() != got.RequestURI {
			t.Fatalf("forwarded host %q and target %q: %v, %v", got.Host, got.RequestURI, err, err2)
		}
		rule := routing.Table.Lookup(&route.Query{Host: host, Path: target.Path, Method: got.Method, Fields: exchange.fields})
		sameID := got.Header.Get("X-Request-Id") == exchange.ClientRequestID && exchange.ClientRequestID != ""
		if rule == nil || routing.Pools[rule.Name] != exchange.pool || !sameID {
			t.Errorf("forwarded %q to pool %s; the server would find the route %+v", sent, exchange.pool.Name(), rule)
		}
	})
}

// If a pool is retired between a request's head and its body, the route is looked up again, and the request goes to the
// current pool. The retired pool ends, and takes no request after that.
func TestPoolRetiredWhileRequestIsRead(t *testing.T) {
	old, next := startPool(t, "x", 100), startPool(t, "y", 100)
	router := NewRouteTable(routesTo(t, old))
	readHeads := func(n int) (all []*routedExchange) {
		for i := range n {
			fields := http1.Fields{{Name: "Host", Value: "x.example.org"}, {Name: "X-Request-Id", Value: fmt.Sprint(i)}}
			exchange, err := router.Check("POST", "/a", &fields)
			if err != nil {
				t.Fatal(err)
			}
			exchange.PoolRequest().Responses = make(chan pool.Response, 1)
			all = append(all, exchange.(*routedExchange))
		}
		return all
	}
	exchanges := readHeads(50)
	newRouting := routesTo(t, old, next)
	var errs []error
	if newRouting.Table, errs = route.Build([]route.Rule{ruleTo("y", "x.example.org")}); errs != nil {
		t.Fatal(errs)
	}
	var wg sync.WaitGroup
	for i, exchange := range exchanges {
		if i == len(exchanges)/2 {
			router.SetRouting(newRouting)
			old.Shutdown()
		}
		wg.Go(func() {
			if response, err := exchange.Admit(); err != nil || response.Status != 0 {
				t.Errorf("request %d: %v, %v", i, response, err)
				return
			}
			<-exchange.Responses // rejected: there is no upstream
			exchange.Done()
		})
	}
	wg.Wait()
	<-old.Done()
	if ok, full := old.Acquire(); ok || full {
		t.Error("an ended pool takes requests")
	}
	for _, exchange := range exchanges[len(exchanges)/2:] {
		if exchange.pool != next {
			t.Errorf("request %s went to the retired pool", exchange.ClientRequestID)
		}
	}
}
