//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a stand-in for a server: it begins a request when its last byte has come, works, and answers 200 with
// the id of the request.
type upstream struct {
	stage   *stage
	id      string
	address string
	work    time.Duration // on each request

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request at an upstream: at its first bytes, as the balancer sent it.
type arrival struct {
	id string
	at time.Time
}

func (s *stage) upstream(id string, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{stage: s, id: id, address: listener.Addr().String(), work: work}
	go func() { _ = http.Serve(listener, u) }()
	return u, nil
}

// ServeHTTP serves a request. It ignores a body that does not come whole: the request has not begun then.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get("X-Request-Id")
	if name == "" {
		http.NotFound(w, r)
		return
	}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, arrival{name, time.Now()})
	u.mu.Unlock()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		u.stage.note("upstream %s: request %s did not come whole", u.id, name)
		return
	}
	u.stage.tell(name, "upstream %s: request %s runs (body of %d bytes)", u.id, name, size)
	time.Sleep(u.work)
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "answer to request %s", name)
}

// tell notes something of a request. Of background traffic, whose ids begin with bg, it is only logged.
func (s *stage) tell(request, format string, args ...any) {
	if strings.HasPrefix(request, "bg") {
		s.log(format, args...)
		return
	}
	s.note(format, args...)
}

// since returns how many requests have come since a time.
func (u *upstream) since(at time.Time) (count int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.arrivals {
		if a.at.After(at) {
			count++
		}
	}
	return count
}

// member is an entry of discovery's list.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`

	changedAt uint64 // revision
}

// listing is an answer of discovery.
type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a stand-in for the discovery service.
type discovery struct {
	stage   *stage
	name    string
	address string

	mu       sync.Mutex
	revision uint64
	members  []member
	changed  chan struct{} // closed at a change
}

func (s *stage) discovery(name string, revision uint64, upstreams ...*upstream) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		stage: s, name: name, address: listener.Addr().String(), revision: revision, changed: make(chan struct{}),
	}
	for i, u := range upstreams {
		d.members = append(d.members, member{
			ID: u.id, HostPort: u.address, Locality: "z1", Flavor: "m2", Cell: i, Phase: "up", Size: 1, changedAt: revision,
		})
	}
	go func() { _ = http.Serve(listener, d) }()
	return d, nil
}

// list returns the whole list.
func (d *discovery) list() listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listing{d.revision, true, append([]member{}, d.members...)}
}

// newest returns the revision of the last change.
func (d *discovery) newest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// setPhase changes the phase of an upstream.
func (d *discovery) setPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
			d.members[i].changedAt = d.revision
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	go d.stage.note("discovery %s, revision %d: %s is %s", d.name, d.revision, id, phase)
}

// ServeHTTP answers GET /v1/servers, as a watch if the query has since.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	isWatch := err == nil && since <= d.newest() // it has not told of a later one: the whole list is the answer
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isWatch {
		d.mu.Lock()
		changed, hasNews := d.changed, d.revision > since
		d.mu.Unlock()
		if hasNews {
			break
		}
		select {
		case <-changed:
			continue
		case <-end:
		}
		break
	}
	d.mu.Lock()
	answer := listing{Revision: d.revision, Complete: !isWatch, Members: []member{}}
	for _, m := range d.members {
		if !isWatch || m.changedAt > since {
			answer.Members = append(answer.Members, m)
		}
	}
	d.mu.Unlock()
	_ = json.NewEncoder(w).Encode(answer)
}

// settings are those of a small deployment like the site pt-checkin-ar, with one class of requests.
func settings(class string) string {
	return `{"az":"z1","balancers":1,"rank":0,"membership_mode":"on_request","weights":"nominal","worth_by":"work",
"granularity_us":5000,"zones":["z1"],"tiers":["nodes"],"stage":0,"over_share_worth":0.1,
"limits":{"cancel":true,"connect_timeout_us":120000,"keepalive_us":60000000,"max_attempts":5,"max_open":20000,
"max_retry_after_us":400000,"peers":false,"probes":true,"retry_after":false,"second_copies":false,
"streams_per_conn":100},
"obligations":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_from":0.33,"drain_grace_us":1000000,
"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3.0},
"profiles":[` + class + `],"reporting":{"fields":[],"via":"silent"}}`
}

// checkinTime is how long a client waits for a check-in.
const checkinTime = 750 * time.Millisecond

// checkin is the site's class: wanted within 250 ms, given up after 750 ms, never to run twice.
const checkin = `{"name":"checkin","target_us":250000,"give_up_us":750000,"group":"all","late_worth":0.0,` +
	`"memory_span_us":5000000,"repeat":"non_idempotent","stream":false,"worth":1.0}`

// writeConfig writes the JSON file that RELAY_CONFIG names, and returns its path.
func (s *stage) writeConfig(class, listen, discoveryAddress string, known listing) (string, error) {
	encoded, err := json.Marshal(known)
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		listen, discoveryAddress, encoded, settings(class))
	path := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}
