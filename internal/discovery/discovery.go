// Package discovery follows the list of upstreams that a discovery service tells, by calls that may wait for news. Where the
// service is asked it never asks again by itself after a failure: when to ask is the decision module's to say. An agent on the
// balancer's own machine, to which lists are pushed, costs nobody anything and is asked until it answers.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"olivearch/balancer"
)

// A change counts as told ToldWithin after discovery had it and could be reached, whether or not it arrived (PROTOCOL, Figures).
// The worst case is a watch that falls silent as soon as it is open, right before the change: it is found out after WatchWait and
// AnswerWithin, the module lets a first pause pass, and the next call is answered within what discovery lets a call wait. The sum
// is in docs/design/membership.md and held to by TestToldInTime.
const (
	ToldWithin = 6 * time.Second
	// WatchWait is how long one watch call may wait for news, and AnswerWithin how much later its answer may come. A watch
	// that has fallen silent is noticed by nothing else: TCP keep-alive is answered by a machine that says nothing more.
	WatchWait    = 2 * time.Second
	AnswerWithin = 1200 * time.Millisecond
	// ListWithin is how long a call for the whole list may take. It is refused or given up by discovery before that.
	ListWithin = 2500 * time.Millisecond
	// PushWait and PushWithin are WatchWait and AnswerWithin at an agent, which answers at once or is silent.
	PushWait   = time.Second
	PushWithin = 500 * time.Millisecond
	// WatchPause is the least time from one watch call to the next: an agent that answers at once must not keep the
	// core busy. Discovery takes a call 200 ms after the last answer for a new watch.
	WatchPause = 100 * time.Millisecond
	maxListing = 4 << 20
)

// Listing is a discovery answer: the whole list, or the entries that changed.
type Listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is an entry of a Listing.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

var phases = map[string]balancer.State{"up": balancer.Active, "draining": balancer.Draining, "removed": balancer.Removed}

// Check tells what makes the entry unusable.
func (m *Member) Check() error {
	state, ok := phases[m.Phase]
	switch {
	case m.ID == "":
		return fmt.Errorf("an entry has no id")
	case !ok:
		return fmt.Errorf("%s: phase %q is unknown", m.ID, m.Phase)
	case state == balancer.Removed:
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

// Upstream is the entry as the module takes it.
func (m *Member) Upstream(id balancer.UpstreamID) balancer.Upstream {
	return balancer.Upstream{
		ID: id, Zone: m.Locality, Cell: m.Cell, Weight: m.Size, State: phases[m.Phase],
		StartedAt: time.Duration(m.UpSinceMS) * time.Millisecond,
	} // the loop's clock is Unix time at its start, so 0 stays 0
}

// Client asks one address for the list of upstreams and posts what it hears. It
// never asks again by itself after a failure: that is the module's to time.
type Client struct {
	Address string
	url     string
	client  *http.Client
	ctx     context.Context // ends all its calls
	cancel  context.CancelFunc
	held    atomic.Pointer[uint64] // revision of the list that the loop holds from it; nil: none yet
	post    func(Heard)
}

// Heard is an answer of discovery, or the failure of a call. It names whom it came from: a late one of a discovery
// that a new configuration has replaced must not be taken for news.
type Heard struct {
	From *Client
	Listing
	Err error
}

// New returns a Client of the service at an address. What it hears it posts.
func New(ctx context.Context, address string, post func(Heard)) *Client {
	d := &Client{
		Address: address, url: "http://" + address + "/v1/servers", post: post,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

// End ends all calls and closes the connections.
func (d *Client) End() {
	d.cancel()
	d.client.CloseIdleConnections()
}

// Watch follows the list until ctx ends, or, where the service is asked, until a call fails. Revisions of another discovery mean
// nothing to this one, so without a list of its own it asks for the whole.
func (d *Client) Watch(ctx context.Context, pushed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	wait, within, whole := WatchWait, AnswerWithin, ListWithin
	if pushed {
		wait, within, whole = PushWait, PushWithin, PushWithin
	}
	for failed := false; ctx.Err() == nil; {
		next := time.After(WatchPause)
		url, patience := d.url, whole
		if held := d.held.Load(); held != nil {
			url, patience = fmt.Sprintf("%s?since=%d&timeout_ms=%d", d.url, *held, wait.Milliseconds()), wait+within
		}
		l, err := d.call(ctx, url, patience)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			d.post(Heard{d, l, nil})
			d.Hold(l.Revision)
		case !pushed:
			<-next // what the module does on a failure may be to ask again at once
			d.post(Heard{d, l, err})
			return
		case !failed: // the module never asked for it, and there is nothing to decide
			d.post(Heard{d, l, err})
		}
		failed = err != nil
		<-next
	}
}

// Fetch asks for the whole list once.
func (d *Client) Fetch() {
	l, err := d.call(d.ctx, d.url, ListWithin)
	if d.ctx.Err() != nil {
		return
	}
	d.post(Heard{d, l, err})
	if err == nil {
		d.Hold(l.Revision)
	}
}

// Hold notes a revision that has been posted; it never goes back.
func (d *Client) Hold(revision uint64) {
	for held := d.held.Load(); (held == nil || revision > *held) && !d.held.CompareAndSwap(held, &revision); held = d.held.Load() {
	}
}

func (d *Client) call(ctx context.Context, url string, patience time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var l Listing
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("discovery: answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListing))
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	for i := range l.Members {
		if err := l.Members[i].Check(); err != nil {
			return l, fmt.Errorf("discovery: %w", err)
		}
	}
	if !l.Complete && d.held.Load() == nil {
		return l, errors.New("discovery: changes to a list that was never told")
	}
	slices.SortFunc(l.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return l, nil
}
