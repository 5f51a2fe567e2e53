package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"olivearch/internal/endpointlist"

	"go.yaml.in/yaml/v3"
)

// Traffic is a stream of requests of one kind, that come at random times whatever becomes of those before.
type Traffic struct {
	URL      string // of the balancer and path
	Host     string
	Method   string
	Body     string
	Effect   Effect
	Deadline time.Duration
	Rate     float64 // a second
	Seed     uint64
	Prefix   string // of request ids
}

// Clients drive one kind of traffic and tell the judge.
type Clients struct {
	Traffic
	judge  *Judge
	client *http.Client
	mu     sync.Mutex
	rate   float64
	times  []time.Duration // of answers with status 200
	wg     sync.WaitGroup
	n      int
}

// NewClients returns clients that do not send yet.
func NewClients(t Traffic, j *Judge) *Clients {
	return &Clients{Traffic: t, judge: j, rate: t.Rate, client: &http.Client{Transport: &http.Transport{
		MaxIdleConns: 1000, MaxIdleConnsPerHost: 1000, DisableCompression: true, IdleConnTimeout: time.Minute,
	}}}
}

// SetRate changes how many come a second.
func (c *Clients) SetRate(rate float64) { c.mu.Lock(); c.rate = rate; c.mu.Unlock() }

// Run sends until the context ends, and returns when all is answered.
func (c *Clients) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.Seed, 2))
	next := time.Now()
	for {
		c.mu.Lock()
		rate := c.rate
		c.mu.Unlock()
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			c.wg.Wait()
			c.client.CloseIdleConnections()
			return
		}
		c.n++
		id := fmt.Sprintf("%s-%d", c.Prefix, c.n)
		c.wg.Go(func() { c.Ask(id) })
	}
}

// Ask sends one request and tells the judge what came of it. It returns the status, 0 if there was no answer.
func (c *Clients) Ask(id string) int {
	r, err := http.NewRequest(c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		panic(err) // the caller's URL is wrong
	}
	r.Host = c.Host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	// A transport that sends again by itself would look like the balancer's doing.
	r.GetBody = nil
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+2*time.Second)
	defer cancel()
	c.judge.Asked(id, c.Effect, c.Deadline)
	at := time.Now()
	resp, err := c.client.Do(r.WithContext(ctx))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" { // never taken
			c.judge.Left(id)
			return 0
		}
		c.judge.Answered(id, 0, "")
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.judge.Answered(id, 0, "")
		return 0
	}
	c.judge.Answered(id, resp.StatusCode, string(body))
	if resp.StatusCode == http.StatusOK {
		c.mu.Lock()
		c.times = append(c.times, time.Since(at))
		c.mu.Unlock()
	}
	return resp.StatusCode
}

// Quantile returns the time within which a part of the served requests was answered.
func (c *Clients) Quantile(part float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.times))
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// Served counts the requests that were answered with 200.
func (c *Clients) Served() int { c.mu.Lock(); defer c.mu.Unlock(); return len(c.times) }

// WriteList replaces a list's file at once. Nodes that it says drain, and those in gone, are told to the judge.
func WriteList(path string, j *Judge, nodes []endpointlist.Node, gone ...string) error {
	var text bytes.Buffer
	if err := yaml.NewEncoder(&text).Encode(endpointlist.List{Nodes: nodes}); err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text.Bytes(), 0o600); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	j.Told(gone...)
	for _, n := range nodes {
		if n.Phase == endpointlist.PhaseDraining {
			j.Told(n.ID)
		} else {
			j.Back(n.ID)
		}
	}
	return nil
}
