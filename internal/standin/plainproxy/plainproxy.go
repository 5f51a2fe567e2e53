// Package plainproxy is what olivearch is set against on sockets: net/http/httputil's ReverseProxy over a picker, with a cap
// on what is out at each node and one queue for what finds none, first in first out.
package plainproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/lbpolicy"
)

// triesMost bounds how often a request that never ran, or may run again, is sent on.
const triesMost = 3

// Options say what a proxy is like.
type Options struct {
	Picker string // a name of internal/lbpolicy; empty: none, nodes in turn as ReverseProxy's users write it
	Cap    int    // connections to one node
	Queue  int    // requests that wait; one more is refused
	Seed   uint64
}

// Proxy is a plain proxy.
type Proxy struct {
	http.Handler
	transport *http.Transport
	queue     int
	started   time.Time
	next      atomic.Uint64

	mu        sync.Mutex
	dispatch  *lbpolicy.Dispatch // nil: in turn
	addresses []string           // by the dispatch's numbers, or of those listed
	serial    uint64
	waiting   map[uint64]chan int
}

// New returns a proxy that knows no nodes.
func New(o Options) (*Proxy, error) {
	p := &Proxy{
		queue: o.Queue, started: time.Now(), waiting: map[uint64]chan int{},
		transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: o.Cap, DisableCompression: true},
	}
	if o.Picker == "" {
		p.transport.MaxConnsPerHost = o.Cap // its queue is first in first out, too
	} else {
		x, err := lbpolicy.New(o.Picker, o.Seed)
		if err != nil {
			return nil, err
		}
		p.dispatch = lbpolicy.NewDispatch(x, o.Cap)
	}
	p.Handler = p.limit(&httputil.ReverseProxy{
		Rewrite:      func(r *httputil.ProxyRequest) { r.Out.Host, r.Out.URL.Scheme = r.In.Host, "http" },
		Transport:    p,
		ErrorHandler: failed,
		ErrorLog:     log.New(io.Discard, "", 0), // each failure is told to its client
	})
	return p, nil
}

var errFull = errors.New("the queue is full")

// failed answers for what no node answered.
func failed(w http.ResponseWriter, _ *http.Request, err error) {
	switch {
	case errors.Is(err, errFull):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, context.DeadlineExceeded):
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// limit gives each request the time that its client waits.
func (p *Proxy) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil && ms > 0 {
			ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
			defer cancel()
			r = r.WithContext(ctx)
		}
		next.ServeHTTP(w, r)
	})
}

// List sets the nodes. Those that drain get nothing new.
func (p *Proxy) List(l endpointlist.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up []string
	for _, n := range l.Nodes {
		if n.Phase != endpointlist.PhaseDraining {
			up = append(up, n.Address)
		}
	}
	if p.dispatch == nil {
		p.addresses = up
		return
	}
	for i, k := range p.dispatch.List(up) {
		for len(p.addresses) <= k {
			p.addresses = append(p.addresses, "")
		}
		p.addresses[k] = up[i]
	}
	p.turn()
}

func (p *Proxy) now() time.Duration { return time.Since(p.started) }

// turn lets those that wait go while there is room. The caller holds the lock.
func (p *Proxy) turn() {
	for {
		id, k, ok := p.dispatch.Next(p.now())
		if !ok {
			return
		}
		p.waiting[id] <- k // has room for the one turn
		delete(p.waiting, id)
	}
}

// enter waits for a turn and returns the node's number.
func (p *Proxy) enter(ctx context.Context) (int, error) {
	p.mu.Lock()
	if p.dispatch.Waiting() >= p.queue {
		p.mu.Unlock()
		return 0, errFull
	}
	p.serial++
	id := p.serial
	k, ok := p.dispatch.Arrive(p.now(), id)
	if ok {
		p.mu.Unlock()
		return k, nil
	}
	turn := make(chan int, 1)
	p.waiting[id] = turn
	p.mu.Unlock()
	select {
	case k := <-turn:
		return k, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dispatch.Gone(id) {
		delete(p.waiting, id)
		return 0, ctx.Err()
	}
	return <-turn, nil // it has come at this moment
}

// again asks for another node after a failure; the request keeps its turn.
func (p *Proxy) again() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatch.Again(p.now())
}

// done ends a turn.
func (p *Proxy) done(k int, at time.Duration, o lbpolicy.Outcome, r lbpolicy.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.Done(p.now(), k, p.now()-at, o, r)
	p.turn()
}

// RoundTrip sends a request to a node of the picker's choice.
func (p *Proxy) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.dispatch == nil {
		p.mu.Lock()
		all := p.addresses
		p.mu.Unlock()
		if len(all) == 0 {
			return nil, errors.New("no nodes are listed")
		}
		return p.send(r, all[p.next.Add(1)%uint64(len(all))])
	}
	k, err := p.enter(r.Context())
	if err != nil {
		return nil, err
	}
	p.probe()
	for try := 1; ; try++ {
		at := p.now()
		p.mu.Lock()
		address := p.addresses[k]
		p.mu.Unlock()
		resp, err := p.send(r, address)
		if err == nil {
			resp.Body = &body{ReadCloser: resp.Body, end: func() { p.done(k, at, lbpolicy.Answered, report(resp.Header.Get("X-Load"))) }}
			return resp, nil
		}
		p.done(k, at, lbpolicy.Failed, lbpolicy.Report{})
		var op *net.OpError
		never := errors.As(err, &op) && op.Op == "dial"
		if r.Context().Err() != nil || try >= triesMost || (!never && r.Method != http.MethodGet) {
			return nil, err
		}
		var ok bool
		if k, ok = p.again(); !ok {
			return nil, err
		}
	}
}

func (p *Proxy) send(r *http.Request, address string) (*http.Response, error) {
	x := *r
	x.URL = new(url.URL)
	*x.URL = *r.URL
	x.URL.Host = address
	return p.transport.RoundTrip(&x)
}

// body tells when an answer has been read.
type body struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}

// report reads what weights need of an X-Load field.
func report(text string) (r lbpolicy.Report) {
	for part := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(part, "=")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			continue
		}
		switch name {
		case "util":
			r.Util, r.Known = x, true
		case "qps":
			r.Rate = x
		case "eps":
			r.Error = x
		}
	}
	return r
}

// probe asks nodes for their load beside the requests, if the picker wants it.
func (p *Proxy) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.dispatch.Probes(p.now()) {
		address := p.addresses[k]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
			if err != nil {
				return
			}
			resp, err := p.transport.RoundTrip(r)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			var inflight int
			var ms float64
			if _, err := fmt.Fscanf(resp.Body, "inflight=%d,latency_ms=%f", &inflight, &ms); err != nil {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.dispatch.Probed(p.now(), k, inflight, time.Duration(ms*float64(time.Millisecond)))
		}()
	}
}
