//go:build review

package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is an answer of discovery.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Discovery is the service of PROTOCOL: whole lists, and watches that wait for a change.
type Discovery struct {
	Address string

	record   *Record
	mu       sync.Mutex
	revision uint64
	members  []Member
	changed  map[string]uint64 // revision of each member's last change
	news     chan struct{}     // closed at the next change
	server   *http.Server
	told     map[uint64]time.Time // when an answer with that revision was first written
}

// StartDiscovery starts the service on a free port, with a first list.
func StartDiscovery(record *Record, members []Member) (*Discovery, error) {
	d := &Discovery{
		record: record, revision: 41, members: members, news: make(chan struct{}),
		changed: map[string]uint64{}, told: map[uint64]time.Time{},
	}
	for _, member := range members {
		d.changed[member.ID] = 41
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.Address = listener.Addr().String()
	d.serve(listener)
	return d, nil
}

func (d *Discovery) serve(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(d.handle)}
	d.mu.Lock()
	d.server = server
	d.mu.Unlock()
	go server.Serve(listener)
}

// List returns the whole list.
func (d *Discovery) List() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return List{Revision: d.revision, Complete: true, Members: append([]Member(nil), d.members...)}
}

// SetPhase changes the phase of a member and returns the new revision.
func (d *Discovery) SetPhase(id, phase string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
			d.changed[id] = d.revision
		}
	}
	close(d.news)
	d.news = make(chan struct{})
	d.record.Line("discovery: %s is %s, revision %d", id, phase, d.revision)
	return d.revision
}

// Told returns when an answer with a revision was first written; zero: not yet.
func (d *Discovery) Told(revision uint64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[revision]
}

// Down ends the service: watches end, and new connections are refused.
func (d *Discovery) Down() {
	d.mu.Lock()
	server := d.server
	d.mu.Unlock()
	server.Close()
	d.record.Line("discovery: down")
}

// Up starts the service again at its address.
func (d *Discovery) Up() error {
	listener, err := net.Listen("tcp", d.Address)
	if err != nil {
		return err
	}
	d.serve(listener)
	d.record.Line("discovery: up")
	return nil
}

func (d *Discovery) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	since := r.URL.Query().Get("since")
	if since == "" {
		d.write(w, d.List())
		return
	}
	from, err := strconv.ParseUint(since, 10, 64)
	if err != nil {
		http.Error(w, "since", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, time.Minute))
	for {
		changes, news := d.since(from)
		if len(changes.Members) > 0 {
			d.write(w, changes)
			return
		}
		select {
		case <-news:
		case <-deadline:
			d.write(w, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (d *Discovery) since(from uint64) (changes List, news <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes = List{Revision: d.revision, Members: []Member{}}
	for _, member := range d.members {
		if d.changed[member.ID] > from {
			changes.Members = append(changes.Members, member)
		}
	}
	return changes, d.news
}

func (d *Discovery) write(w http.ResponseWriter, list List) {
	body, _ := json.Marshal(list)
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
	http.NewResponseController(w).Flush()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.told[list.Revision].IsZero() {
		d.told[list.Revision] = time.Now()
		d.record.Line("discovery: revision %d told, complete %v, %d members", list.Revision, list.Complete, len(list.Members))
	}
}
