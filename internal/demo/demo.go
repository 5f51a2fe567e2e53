// Package demo runs the real balancer between a stand-in fleet and seeded clients on loopback sockets, lets one trouble
// follow another, and has the fleet's judge look for breaches of the four rules.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/live"
	"olivearch/internal/service"
	"olivearch/internal/standin/fleet"
)

const (
	aim      = 250 * time.Millisecond
	deadline = 750 * time.Millisecond
	grace    = time.Second
)

// configuration is what the balancer runs on. Weights of the route "maps" and the folder of the lists are filled in.
const configuration = `
listeners: [{name: public, address: '127.0.0.1:0', connections: 500}]
admin: {address: '127.0.0.1:0'}
limits: {descriptors: 1200, node_connections: 40}
classes:
  checkin: {repeat: unsafe, aim: 250ms, deadline: 750ms}
  map: {repeat: safe, aim: 250ms, deadline: 750ms}
pools:
  checkin: {nodes: {file: %[1]q}, connections: 250, queue: 250, share: 3}
  maps: {nodes: {file: %[2]q}, connections: 150, queue: 100, share: 1}
  maps-next: {nodes: {file: %[2]q}, connections: 100, queue: 100, share: 1}
rules: {cold_from: 0.33, ramp_time: 4s, tip_multiple: 3, tip_after: 1500ms}
routes:
  - {name: checkin, hosts: [checkin.plano.example.org], path: {prefix: /checkin}, methods: [POST], class: checkin, pool: checkin}
  - {name: maps, hosts: [maps.plano.example.org], class: map, pools: [{pool: maps, weight: %[3]d}, {pool: maps-next, weight: %[4]d}]}
`

// Options are what a run may be told.
type Options struct {
	Length time.Duration // 20 s if zero; troubles are spread over it
	Seed   uint64
	Every  time.Duration // between two tables; no tables if zero
}

// Result is what came of a run.
type Result struct {
	fleet.Summary
	CheckinP99, MapsP99 time.Duration
}

// stage is the whole of a run.
type stage struct {
	out      io.Writer
	folder   string
	judge    *fleet.Judge
	nodes    []*fleet.Node
	phases   map[string]endpointlist.Phase // what the lists say; left out: not listed
	service  *service.Service
	checkins *fleet.Clients
	maps     *fleet.Clients
}

// Run plays the demo and prints what happens.
func Run(ctx context.Context, o Options, out io.Writer) (Result, error) {
	if o.Length == 0 {
		o.Length = 20 * time.Second
	}
	folder, err := os.MkdirTemp("", "olivearch-demo")
	if err != nil {
		return Result{}, err
	}
	defer os.RemoveAll(folder)
	s := &stage{out: out, folder: folder, judge: fleet.NewJudge(grace), phases: map[string]endpointlist.Phase{}}
	defer s.close()
	if err := s.start(o.Seed); err != nil {
		return Result{}, err
	}
	life, end := context.WithTimeout(ctx, o.Length)
	defer end()
	var wg sync.WaitGroup
	wg.Go(func() { s.checkins.Run(life) })
	wg.Go(func() { s.maps.Run(life) })
	if o.Every > 0 {
		wg.Go(func() { s.show(life, o.Every) })
	}
	err = s.play(life, o.Length)
	wg.Wait()
	s.service.Stop()
	return Result{s.judge.Verdict(aim), s.checkins.Quantile(0.99), s.maps.Quantile(0.99)}, err
}

func (s *stage) path(list string) string { return filepath.Join(s.folder, list+".yaml") }

// start makes fleet, lists, balancer and clients. Nodes 0 to 5 take check-ins, 4 to 7 maps: two are shared. Node 3 reports
// nothing.
func (s *stage) start(seed uint64) error {
	for i := range 8 {
		reports := 300 * time.Millisecond
		if i == 3 { // as plain nodes do: its load is estimated
			reports = 0
		}
		n, err := fleet.NewNode(fleet.Spec{
			ID: fmt.Sprintf("node-%d", i), Cores: 2, Work: 20 * time.Millisecond, Spread: 0.4, Queue: 6,
			Reports: reports, ColdFrom: 0.33, Ramp: 4 * time.Second, Multiple: 3, Window: 1500 * time.Millisecond, Seed: seed + uint64(i),
		}, s.judge)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		s.phases[n.ID] = endpointlist.PhaseUp
	}
	if err := s.list(); err != nil {
		return err
	}
	c, err := s.configure(1, 0)
	if err != nil {
		return err
	}
	if s.service, err = service.Start(c, "demo"); err != nil {
		return err
	}
	url := "http://" + s.service.Address("127.0.0.1:0").String()
	s.checkins = fleet.NewClients(fleet.Traffic{
		URL: url + "/checkin/gate", Host: "checkin.plano.example.org", Method: "POST", Body: `{"gate":7}`,
		Effect: fleet.Unsafe, Deadline: deadline, Rate: 150, Seed: seed, Prefix: "c",
	}, s.judge)
	s.maps = fleet.NewClients(fleet.Traffic{
		URL: url + "/map/level/2", Host: "maps.plano.example.org", Method: "GET",
		Effect: fleet.Safe, Deadline: deadline, Rate: 70, Seed: seed + 1, Prefix: "m",
	}, s.judge)
	return nil
}

func (s *stage) configure(old, next int) (*config.Loaded, error) {
	text := fmt.Sprintf(configuration, s.path("checkin"), s.path("maps"), old, next)
	return config.Parse(filepath.Join(s.folder, "demo.yaml"), []byte(text))
}

// list writes both lists by the phases that hold.
func (s *stage) list() error {
	for list, nodes := range map[string][]*fleet.Node{"checkin": s.nodes[:6], "maps": s.nodes[4:]} {
		entries, gone := []endpointlist.Node{}, []string{}
		for _, n := range nodes {
			if phase, ok := s.phases[n.ID]; ok {
				entries = append(entries, n.Entry(phase))
			} else {
				gone = append(gone, n.ID)
			}
		}
		if err := fleet.WriteList(s.path(list), s.judge, entries, gone...); err != nil {
			return err
		}
	}
	return nil
}

// play lets one trouble follow the other, each after a share of the length.
func (s *stage) play(ctx context.Context, length time.Duration) error {
	start := time.Now()
	for _, x := range []struct {
		at   float64
		what string
		do   func() error
	}{
		{0.10, "node-1 takes requests and answers none", func() error { s.nodes[1].Stall(true); return nil }},
		{0.25, "node-1 answers again", func() error { s.nodes[1].Stall(false); return nil }},
		{0.30, "node-2 crashes", func() error { s.nodes[2].Crash(); return nil }},
		{0.35, "node-2 is back, cold", func() error {
			if err := s.nodes[2].Restart(); err != nil {
				return err
			}
			return s.list()
		}},
		{0.45, "shared node-4 drains", func() error { s.phases["node-4"] = endpointlist.PhaseDraining; return s.list() }},
		{0.55, "node-4 has left the lists", func() error { delete(s.phases, "node-4"); return s.list() }},
		{0.60, "the list of maps is torn: the last one holds", func() error {
			return os.WriteFile(s.path("maps"), []byte("nodes: [{id: node-5, addr"), 0o600)
		}},
		{0.65, "four in ten maps requests move to another pool, by a reload", func() error {
			c, err := s.configure(6, 4)
			if err != nil {
				return err
			}
			return s.service.Apply(c)
		}},
		{0.70, "the list of maps is whole again, node-4 is back, cold", func() error {
			s.nodes[4].Crash()
			if err := s.nodes[4].Restart(); err != nil {
				return err
			}
			s.phases["node-4"] = endpointlist.PhaseUp
			return s.list()
		}},
		{0.80, "twice the check-ins", func() error { s.checkins.SetRate(300); return nil }},
		{0.90, "the usual number again", func() error { s.checkins.SetRate(150); return nil }},
	} {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(x.at * float64(length))))):
		case <-ctx.Done():
			return nil
		}
		fmt.Fprintf(s.out, "--- %5.1f s: %s\n", time.Since(start).Seconds(), x.what)
		if err := x.do(); err != nil {
			return fmt.Errorf("%s: %w", x.what, err)
		}
	}
	return nil
}

// show prints the live view now and then.
func (s *stage) show(ctx context.Context, every time.Duration) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			var v live.View = s.service.View()
			fmt.Fprintln(s.out)
			v.Write(s.out)
			fmt.Fprintln(s.out)
		case <-ctx.Done():
			return
		}
	}
}

func (s *stage) close() {
	for _, n := range s.nodes {
		n.Close()
	}
	s.judge.Close()
}

// Write prints the summary.
func (r Result) Write(out io.Writer) {
	fmt.Fprintf(out, "\n%d asked: %d served (%d within %v), %d refused, %d failed; %.3f executions a served request\n",
		r.Asked, r.Served, r.InAim, aim, r.Refused, r.Failed, r.PerRequest)
	fmt.Fprintf(out, "p99: check-ins %v, maps %v\n", r.CheckinP99.Round(time.Millisecond), r.MapsP99.Round(time.Millisecond))
	if len(r.Breaches) == 0 {
		fmt.Fprintln(out, "no rule was broken")
	}
	for _, b := range r.Breaches {
		fmt.Fprintln(out, b)
	}
	if r.Further > 0 {
		fmt.Fprintf(out, "and %d further breaches\n", r.Further)
	}
}
