package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"clayladder"
)

const (
	watchWait    = 10 * time.Second // how long one watch call may wait for news
	callPatience = 3 * time.Second  // and how much later its answer may come
	// watchPause is the least time from one watch call to the next: an agent that answers at once must not keep the
	// core busy. Discovery takes a call 200 ms after the last answer for a new watch.
	watchPause = 100 * time.Millisecond
	maxListing = 4 << 20
)

// listing is a discovery answer: the whole list, or the entries that changed.
type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// member is an entry of a listing.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

var phases = map[string]clayladder.State{"up": clayladder.Active, "draining": clayladder.Draining, "removed": clayladder.Gone}

// check tells what makes the entry unusable.
func (m *member) check() error {
	state, ok := phases[m.Phase]
	switch {
	case m.ID == "":
		return fmt.Errorf("an entry has no id")
	case !ok:
		return fmt.Errorf("%s: phase %q is unknown", m.ID, m.Phase)
	case state == clayladder.Gone:
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

// upstream is the entry as the module takes it.
func (m *member) upstream(id clayladder.UpstreamID) clayladder.Upstream {
	return clayladder.Upstream{ID: id, Zone: m.Locality, Cell: m.Cell, Weight: m.Size, State: phases[m.Phase],
		StartedAt: time.Duration(m.UpSinceMS) * time.Millisecond} // the loop's clock is Unix time at its start, so 0 stays 0
}

// names maps discovery's ids to the module's. The module orders upstreams by these
// numbers, so all balancers must come to the same: "s-" and up to eight hex digits
// gives that number, and any other id the FNV-1a hash of its text. If two ids come
// to one number, the later one is hashed on with a count behind it until a number
// is free. The entries of a list are named in the order of their ids, so balancers
// differ at most in which of two such ids came first: their rings differ then, but
// no two upstreams are ever mixed up. An id keeps its number until it is gone and nothing is out there.
type names struct {
	ids   map[string]clayladder.UpstreamID
	taken map[clayladder.UpstreamID]bool
}

func newNames() *names {
	return &names{ids: map[string]clayladder.UpstreamID{}, taken: map[clayladder.UpstreamID]bool{}}
}

func (n *names) id(text string) clayladder.UpstreamID {
	if id, ok := n.ids[text]; ok {
		return id
	}
	id := plainID(text)
	for i := 0; n.taken[id]; i++ {
		id = hashed(text + "#" + strconv.Itoa(i))
	}
	n.ids[text], n.taken[id] = id, true
	return id
}

// forget frees the number of an id that is gone for good: upstreams come and go all day under ids that are ever new.
// Should it come back it gets the number that its text gives.
func (n *names) forget(text string) {
	delete(n.taken, n.ids[text])
	delete(n.ids, text)
}

func plainID(text string) clayladder.UpstreamID {
	if digits, ok := strings.CutPrefix(text, "s-"); ok {
		if x, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return clayladder.UpstreamID(x)
		}
	}
	return hashed(text)
}

func hashed(text string) clayladder.UpstreamID {
	h := fnv.New32a()
	io.WriteString(h, text) // never fails
	return clayladder.UpstreamID(h.Sum32())
}

// discovery asks one address for the list of upstreams and posts what it hears. It
// never asks again by itself after a failure: that is the module's to time.
type discovery struct {
	address string
	url     string
	client  *http.Client
	ctx     context.Context // ends all its calls
	cancel  context.CancelFunc
	held    atomic.Pointer[uint64] // revision of the list that the loop holds from it; nil: none yet
	post    func(event)
}

// listed is an answer of discovery, or the failure of a call. It names whom it came from: a late one of a discovery
// that a new configuration has replaced must not be taken for news.
type listed struct {
	from *discovery
	listing
	err error
}

func newDiscovery(ctx context.Context, address string, post func(event)) *discovery {
	d := &discovery{address: address, url: "http://" + address + "/v1/servers", post: post,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	d.ctx, d.cancel = context.WithCancel(ctx)
	return d
}

// end ends all calls and closes the connections.
func (d *discovery) end() {
	d.cancel()
	d.client.CloseIdleConnections()
}

// watch follows the list until a call fails or ctx ends. Revisions of another discovery mean nothing to this one, so
// without a list of its own it asks for the whole.
func (d *discovery) watch(ctx context.Context) {
	for ctx.Err() == nil {
		next := time.After(watchPause)
		url, patience := d.url, callPatience
		if held := d.held.Load(); held != nil {
			url = fmt.Sprintf("%s?since=%d&timeout_ms=%d", d.url, *held, watchWait.Milliseconds())
			patience += watchWait
		}
		l, err := d.call(ctx, url, patience)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			<-next // what the module does on a failure may be to ask again at once
			d.post(listed{d, l, err})
			return
		}
		d.post(listed{d, l, nil})
		d.hold(l.Revision)
		<-next
	}
}

// fetch asks for the whole list once.
func (d *discovery) fetch() {
	l, err := d.call(d.ctx, d.url, callPatience)
	if d.ctx.Err() != nil {
		return
	}
	d.post(listed{d, l, err})
	if err == nil {
		d.hold(l.Revision)
	}
}

// hold notes a revision that has been posted; it never goes back.
func (d *discovery) hold(revision uint64) {
	for held := d.held.Load(); (held == nil || revision > *held) && !d.held.CompareAndSwap(held, &revision); held = d.held.Load() {
	}
}

func (d *discovery) call(ctx context.Context, url string, patience time.Duration) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var l listing
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
		if err := l.Members[i].check(); err != nil {
			return l, fmt.Errorf("discovery: %w", err)
		}
	}
	if !l.Complete && d.held.Load() == nil {
		return l, errors.New("discovery: changes to a list that was never told")
	}
	slices.SortFunc(l.Members, func(a, b member) int { return strings.Compare(a.ID, b.ID) })
	return l, nil
}
