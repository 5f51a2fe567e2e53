package faulttest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/relay"
)

// member is a node as the list service tells it.
type member struct {
	phase string // up, draining or removed
	since int64  // Unix time in ms at which it last started; 0: long ago
	zone  string
	cell  int
}

// listing is a list in the form of the protocol.
type listing struct {
	Revision uint64  `json:"revision"`
	Complete bool    `json:"complete"`
	Members  []entry `json:"members"`
}

type entry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// list is the list service: one for all balancers, each of which sees the nodes under addresses of its own.
type list struct {
	server   *http.Server
	address  string
	size     float64 // of every node
	services []*relay.Service
	told     func(caller, node int, leaves bool) // something else was written to a balancer
	due      func(node int, had int64)           // all balancers count as told that a node leaves, which the list has had since

	mu            sync.Mutex
	rng           *rand.Rand
	members       []member
	shown         []member // what is told: what there is, or what there was when the list grew old
	old           bool
	revision      uint64
	changed       chan struct{}        // closed at the next revision
	silenced      chan struct{}        // closed once the watches that are open fall silent
	broken        chan struct{}        // closed once they are reset
	left          map[int]int          // how often a node has left
	reached       int                  // goes up whenever calls begin or cease to fail
	hidden        map[int]map[int]bool // caller -> nodes that it is told have gone
	answers       float64              // share of calls that are answered
	last          map[int]listing      // what was last written to a caller
	calls, failed int
}

const (
	// wait bounds how long a watch may ask to wait.
	wait = time.Minute
	// dueAfter is how long after the list has had a change, and could be reached, it counts as told, whether or not it came.
	dueAfter = 6 * time.Second
)

func newList(seed uint64, members []member, size float64, services []*relay.Service, told func(int, int, bool), due func(int, int64)) (*list, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &list{
		address: l.Addr().String(), size: size, services: services, told: told, due: due, rng: rand.New(rand.NewPCG(seed, 7)), members: members,
		revision: 1, changed: make(chan struct{}), silenced: make(chan struct{}), broken: make(chan struct{}), left: map[int]int{}, hidden: map[int]map[int]bool{}, answers: 1, last: map[int]listing{},
	}
	x.shown = append([]member(nil), members...)
	x.server = &http.Server{Handler: http.HandlerFunc(x.serve)}
	go x.server.Serve(l) // ends with close
	return x, nil
}

func (x *list) close() { x.server.Close() }

// change changes what there is.
func (x *list) change(f func([]member)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(x.members)
	if !x.old {
		x.publish()
	}
}

// publish tells what there is now. The caller holds the lock.
func (x *list) publish() {
	for i, m := range x.members {
		if m.phase != "up" && x.shown[i].phase == "up" {
			x.falls(i)
		}
	}
	x.shown = append(x.shown[:0], x.members...)
	x.revision++
	close(x.changed)
	x.changed = make(chan struct{})
}

// falls lets the word that a node leaves count as told in its time, unless it is back by then, or was meanwhile, or calls have failed.
// The caller holds the lock.
func (x *list) falls(node int) {
	x.left[node]++
	had, reached, left := event.Now(), x.reached, x.left[node]
	time.AfterFunc(dueAfter, func() {
		x.mu.Lock()
		holds := x.reached == reached && x.left[node] == left && x.answers == 1 && x.shown[node].phase != "up"
		x.mu.Unlock()
		if holds {
			x.due(node, had)
		}
	})
}

// silence lets the watches that are open say nothing more, and reset breaks them. Later calls are answered.
func (x *list) silence() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.silenced)
	x.silenced = make(chan struct{})
}

func (x *list) reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.broken)
	x.broken = make(chan struct{})
}

// called counts the calls so far.
func (x *list) called() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.calls
}

// freeze makes the list old, or up to date again.
func (x *list) freeze(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.old = on; !on {
		x.publish()
	}
}

// answer sets the share of calls that are answered.
func (x *list) answer(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.answers = share
	x.reached++
	for i, m := range x.shown {
		if m.phase != "up" {
			x.falls(i)
		}
	}
	if share == 0 { // watches end
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

// hide tells callers that nodes have gone, or no longer does.
func (x *list) hide(callers, nodes []int, on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range callers {
		for _, n := range nodes {
			if x.hidden[c] == nil {
				x.hidden[c] = map[int]bool{}
			}
			x.hidden[c][n] = on
		}
	}
	x.publish()
}

// view is the list as a caller is told it. The caller of view holds the lock.
func (x *list) view(caller int) listing {
	l := listing{Revision: x.revision, Complete: true, Members: []entry{}}
	for i, m := range x.shown {
		if m.phase == "removed" || x.hidden[caller][i] {
			continue
		}
		l.Members = append(l.Members, entry{
			ID: fmt.Sprintf("s-%08x", i+1), HostPort: x.services[i].At(caller), Locality: m.zone, Flavor: "std", Cell: m.cell,
			Phase: m.phase, Size: x.size, UpSinceMS: m.since,
		})
	}
	return l
}

// known is what a balancer was told last.
func (x *list) known(caller int) (listing, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.last[caller]
	return l, ok
}

// first is the list as a caller is told it now, asked or not.
func (x *list) first(caller int) listing {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view(caller)
}

// forget drops what a balancer was told: a new process knows what its list of the start says.
func (x *list) forget(caller int, known listing) {
	x.mu.Lock()
	x.last[caller] = known
	x.mu.Unlock()
	for _, e := range known.Members {
		if i, err := strconv.ParseUint(e.ID[2:], 16, 32); err == nil && e.Phase != "up" {
			x.told(caller, int(i)-1, true)
		}
	}
}

func (x *list) serve(w http.ResponseWriter, r *http.Request) {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	caller, known := relay.Caller(from.Addr())
	if err != nil || !known || r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	l, ok := x.await(r, caller)
	if !ok {
		http.Error(w, "not now", http.StatusServiceUnavailable)
		return
	}
	text, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// A balancer may act on a list before this goroutine has its next turn: that a node is up counts from before the list is written,
	// that it leaves from after.
	up, leave := x.differ(caller, l)
	for _, node := range up {
		x.told(caller, node, false)
	}
	if _, err := w.Write(text); err != nil {
		return
	}
	for _, node := range leave {
		x.told(caller, node, true)
	}
}

// await returns the list once it is newer than the one that a call names.
func (x *list) await(r *http.Request, caller int) (listing, bool) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	ms, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")) // none: no wait
	end := time.After(min(wait, time.Duration(ms)*time.Millisecond))
	x.mu.Lock()
	x.calls++
	if x.answers < 1 && x.rng.Float64() >= x.answers {
		x.failed++
		x.mu.Unlock()
		return listing{}, false
	}
	silenced, broken := x.silenced, x.broken
	for watch && since >= x.revision && x.answers > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-silenced:
			<-r.Context().Done()
			return listing{}, false
		case <-broken:
			panic(http.ErrAbortHandler)
		case <-end:
			x.mu.Lock()
			defer x.mu.Unlock()
			return listing{Revision: x.revision, Members: []entry{}}, x.answers > 0
		case <-r.Context().Done():
			return listing{}, false
		}
		x.mu.Lock()
	}
	defer x.mu.Unlock()
	return x.view(caller), x.answers > 0
}

// differ keeps what a caller is told, and says which nodes it tells otherwise than before.
func (x *list) differ(caller int, l listing) (up, leave []int) {
	if !l.Complete {
		return nil, nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	before := leaving(x.last[caller], len(x.members))
	x.last[caller] = l
	for node, leaves := range leaving(l, len(before)) {
		switch {
		case leaves == before[node]:
		case leaves:
			leave = append(leave, node)
		default:
			up = append(up, node)
		}
	}
	return up, leave
}

// leaving says of each node whether a list says that it drains or is gone.
func leaving(l listing, nodes int) []bool {
	all := make([]bool, nodes)
	for i := range all {
		all[i] = true
	}
	for _, e := range l.Members {
		if i, err := strconv.ParseUint(e.ID[2:], 16, 32); err == nil && int(i) <= nodes {
			all[i-1] = e.Phase != "up"
		}
	}
	return all
}
