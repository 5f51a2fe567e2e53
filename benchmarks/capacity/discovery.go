package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/discovery"
)

// Discovery is what a balancer and a discovery service say to each other, measured at the service: whole bytes of TCP's payload.
type Discovery struct {
	Lists       int          `json:"lists"`
	Nodes       int          `json:"nodes"`
	StartCalls  float64      `json:"start_calls_a_list"`
	StartUp     float64      `json:"start_bytes_up_a_list"` // from the balancer
	WholeFit    capacity.Fit `json:"start_bytes_down"`      // by the list's nodes
	IdleS       float64      `json:"idle_window_s"`
	IdleCalls   float64      `json:"idle_calls_a_second_a_list"`
	IdleUp      float64      `json:"idle_bytes_up_a_second_a_list"`
	IdleDown    float64      `json:"idle_bytes_down_a_second_a_list"`
	IdleCPU     float64      `json:"idle_cpu_a_list"` // part of a core
	DeltaUp     float64      `json:"change_as_delta_bytes_up"`
	DeltaDown   float64      `json:"change_as_delta_bytes_down"`
	DeltaMS     float64      `json:"change_as_delta_p50_ms"` // from the service's change to in force
	DeltaMostMS float64      `json:"change_as_delta_most_ms"`
	WholeChange capacity.Fit `json:"change_as_whole_list_bytes_down"` // by the list's nodes
	Descriptors int          `json:"descriptors"`
	// At490 is what 490 lists would cost idle at this rate, in bytes a second.
	At490 float64 `json:"idle_bytes_a_second_at_490_lists"`
}

// controlMost is what a balancer may spend on control, in bytes a second.
const controlMost = 29_000

// directory is a discovery service for one list.
type directory struct {
	server   *http.Server
	address  string
	up, down atomic.Int64
	calls    atomic.Int64
	whole    bool // a change is told as the whole list

	mu       sync.Mutex
	members  []discovery.Member
	log      []int // the members that have changed, from revision 2 on
	revision uint64
	changed  chan struct{}
}

func newDirectory(site *capacity.Site, service int, at func(int) string) (*directory, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := site.Services[service]
	d := &directory{address: l.Addr().String(), revision: 1, changed: make(chan struct{})}
	for node := x.First; node < x.First+x.Nodes; node++ {
		phase := "up"
		if service == 0 && node > 0 {
			phase = "draining"
		}
		d.members = append(d.members, discovery.Member{ID: fmt.Sprintf("n-%05d", node), HostPort: at(node), Locality: capacity.Zone(node), Cell: node % 4, Phase: phase, Size: 1})
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(&counting{l, d}) // ends with close
	return d, nil
}

// change lets the node that is up drain and the next one be up, or only one node drain and be back.
func (d *directory) change(turn int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	phase := "draining"
	if d.members[turn].Phase == phase {
		phase = "up"
	}
	d.members[turn].Phase = phase
	d.log = append(d.log, turn)
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	for watch && since >= d.revision {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			d.answer(w, discovery.Listing{Revision: since, Members: []discovery.Member{}})
			return
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	l := discovery.Listing{Revision: d.revision, Complete: true}
	if watch && !d.whole {
		l.Complete = false
		for _, node := range slices.Compact(slices.Sorted(slices.Values(d.log[since-1:]))) {
			l.Members = append(l.Members, d.members[node])
		}
	} else {
		l.Members = append(l.Members, d.members...)
	}
	d.mu.Unlock()
	d.answer(w, l)
}

func (d *directory) answer(w http.ResponseWriter, l discovery.Listing) {
	text, err := json.Marshal(l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text) // the reader may have gone
}

// counting counts bytes both ways.
type counting struct {
	net.Listener
	d *directory
}

func (l *counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{c, l.d}, nil
}

type counted struct {
	net.Conn
	d *directory
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.d.up.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.d.down.Add(int64(n))
	return n, err
}

// talk is what was said so far at all directories.
type talk struct{ calls, up, down float64 }

func talked(all []*directory) (t talk) {
	for _, d := range all {
		t.calls, t.up, t.down = t.calls+float64(d.calls.Load()), t.up+float64(d.up.Load()), t.down+float64(d.down.Load())
	}
	return t
}

// discovery measures a process whose pools follow discovery services.
func (r *rig) discovery(ctx context.Context) error {
	size := capacity.Size{Pools: 20, Nodes: 2000, Routes: 20}
	site, err := capacity.New(size, r.seed)
	if err != nil {
		return err
	}
	listen, err := free()
	if err != nil {
		return err
	}
	folder := filepath.Join(r.folder, "discovery")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	b := &balancer{
		site: site, log: &lines{came: make(chan struct{})}, config: filepath.Join(folder, "olivearch.yaml"),
		places: capacity.Places{Listen: listen, Lists: folder, Node: r.nodes.At}, client: &http.Client{Transport: &http.Transport{}},
	}
	defer b.stop()
	text := string(site.Config(&b.places, capacity.Edit{}))
	var all []*directory
	for i, x := range site.Services {
		d, err := newDirectory(site, i, r.nodes.At)
		if err != nil {
			return err
		}
		defer d.server.Close()
		all = append(all, d)
		text = strings.Replace(text, fmt.Sprintf("file: '%s'", filepath.Join(folder, x.Name+".yaml")), "discovery: '"+d.address+"'", 1)
	}
	if err := os.WriteFile(b.config, []byte(text), 0o644); err != nil {
		return err
	}
	if _, err := b.start(ctx, r, r.startWithin()); err != nil {
		return err
	}
	if err := rest(ctx, time.Second); err != nil {
		return err
	}
	x := &Discovery{Lists: len(all), Nodes: size.Nodes}
	r.Discovery = x
	n := float64(len(all))
	t := talked(all)
	x.StartCalls, x.StartUp = t.calls/n, t.up/n
	down := func(of func(*directory) float64) (points []capacity.Point) {
		for _, d := range all {
			points = append(points, capacity.Point{X: float64(len(d.members)), Y: of(d)})
		}
		return points
	}
	if x.WholeFit, err = capacity.Line(down(func(d *directory) float64 { return float64(d.down.Load()) })); err != nil {
		return err
	}
	idle := 10 * time.Second
	if !r.full {
		idle = 3 * time.Second
	}
	t, used, began := talked(all), b.cpu(), time.Now()
	if err := rest(ctx, idle); err != nil {
		return err
	}
	now := talked(all)
	x.IdleS = time.Since(began).Seconds()
	x.IdleCalls, x.IdleUp, x.IdleDown = (now.calls-t.calls)/x.IdleS/n, (now.up-t.up)/x.IdleS/n, (now.down-t.down)/x.IdleS/n
	x.IdleCPU = (b.cpu() - used).Seconds() / x.IdleS / n
	x.Descriptors = usage(b).Descriptors
	x.At490 = 490 * (x.IdleUp + x.IdleDown)
	if err := r.told(ctx, b, all, x); err != nil {
		return err
	}
	say("discovery, %d lists: at the start %.1f calls, %.0f bytes up, %.0f + %.0f a node down, each; idle %.2f calls, %.0f up and %.0f down a second, each (%.0f B/s at 490); a change as a delta %.0f up, %.0f down, %.0f ms; as a list %.0f + %.0f a node down",
		x.Lists, x.StartCalls, x.StartUp, x.WholeFit.At0, x.WholeFit.Slope, x.IdleCalls, x.IdleUp, x.IdleDown, x.At490, x.DeltaUp, x.DeltaDown, x.DeltaMS, x.WholeChange.At0, x.WholeChange.Slope)
	r.plan("idle bytes a second of 490 followed lists", x.At490, controlMost)
	r.most("a change told by discovery in force, ms", x.DeltaMostMS, inForceMost)
	return nil
}

// told lets services change and sees what that takes beside the idle talk.
func (r *rig) told(ctx context.Context, b *balancer, all []*directory, x *Discovery) error {
	times := r.times(10, 4)
	var took []float64
	t, began := talked(all), time.Now()
	first := all[0]
	for i := range times { // two changes each: the next node is up, and the one before it drains
		turn := i % len(first.members)
		next := (i + 1) % len(first.members)
		at := time.Now()
		first.change(next)
		first.change(turn)
		if err := b.until(ctx, at, b.places.Node(next)); err != nil {
			return err
		}
		took = append(took, ms(time.Since(at)))
		if err := rest(ctx, 250*time.Millisecond); err != nil { // the next watch call
			return err
		}
	}
	passed, now, n := time.Since(began).Seconds(), talked(all), float64(len(all))
	x.DeltaUp = (now.up - t.up - n*x.IdleUp*passed) / float64(2*times)
	x.DeltaDown = (now.down - t.down - n*x.IdleDown*passed) / float64(2*times)
	x.DeltaMS, x.DeltaMostMS = capacity.Quantile(took, 0.5), capacity.Quantile(took, 1)
	var points []capacity.Point
	for _, d := range all {
		d.mu.Lock()
		d.whole = true
		d.mu.Unlock()
		before, calls := d.down.Load(), d.calls.Load()
		d.change(0)
		for end := time.Now().Add(inForceWithin); d.calls.Load() == calls; { // the next call shows that the change was taken
			if err := rest(ctx, time.Millisecond); err != nil {
				return err
			}
			if time.Now().After(end) {
				return errors.New("no call comes after a change")
			}
		}
		points = append(points, capacity.Point{X: float64(len(d.members)), Y: float64(d.down.Load() - before)})
	}
	var err error
	x.WholeChange, err = capacity.Line(points)
	return err
}
