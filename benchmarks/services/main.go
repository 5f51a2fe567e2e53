// Command services measures that pools of one process do not harm each other: pool "maps" alone, then beside a pool
// "checkin" of which every node is stalled at a load where a shared limit would bind, then both through ten reloads a
// second. The stand-in fleet's judge looks for breaches of the four rules. It prints progress on standard error and one
// JSON object last on standard output, and exits with 1 if a stated bound is broken.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/service"
	"olivearch/internal/standin/fleet"
)

// The bounds of the issue: beside a stalled pool the other's p99 stays within both.
const (
	p99Most  = 250 * time.Millisecond
	p99Ratio = 1.3
)

const text = `
listeners: [{address: '127.0.0.1:0', connections: 600}]
limits: {descriptors: 1300, node_connections: 64}
classes: {checkin: {aim: 2s, deadline: 2s}, map: {repeat: safe, aim: 250ms, deadline: 750ms}}
pools:
  checkin: {nodes: {file: checkin.yaml}, connections: 200, queue: 250}
  maps: {nodes: {file: maps.yaml}, connections: 200, queue: 250}
routes:
  - {name: checkin, hosts: [checkin.plano.example.org], class: checkin, pool: checkin}
  - {name: maps, hosts: [maps.plano.example.org], class: map, pool: maps}
`

// figures are what was seen in one part.
type figures struct {
	Asked    int     `json:"asked"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	MapsP50  float64 `json:"maps_p50_ms"`
	MapsP99  float64 `json:"maps_p99_ms"`
	Breaches int     `json:"breaches"`
	Reloads  int     `json:"reloads"`
	Readings int     `json:"readings_lost"` // of the unchanged pool's windows, over the reloads
}

type result struct {
	Cores   int     `json:"cores"`
	Alone   figures `json:"maps_alone"`
	Beside  figures `json:"beside_a_stalled_pool"`
	Reloads figures `json:"ten_reloads_a_second"`
	Ratio   float64 `json:"p99_beside_to_alone"`
	Within  bool    `json:"within_bounds"`
}

func main() {
	length := flag.Duration("length", 10*time.Second, "length of each of the three parts")
	seed := flag.Uint64("seed", 1, "of traffic and work")
	flag.Parse()
	if err := run(*length, *seed); err != nil {
		fmt.Fprintln(os.Stderr, "services:", err)
		os.Exit(1)
	}
}

func run(length time.Duration, seed uint64) error {
	r := result{Cores: runtime.NumCPU()}
	var err error
	if r.Alone, err = part("maps alone", length, seed, false, false, false); err != nil {
		return err
	}
	if r.Beside, err = part("beside a stalled pool", length, seed, true, true, false); err != nil {
		return err
	}
	if r.Reloads, err = part("ten reloads a second", length, seed, true, false, true); err != nil {
		return err
	}
	r.Ratio = r.Beside.MapsP99 / r.Alone.MapsP99
	r.Within = r.Beside.MapsP99 <= float64(p99Most.Milliseconds()) && r.Ratio <= p99Ratio &&
		r.Alone.Breaches+r.Beside.Breaches+r.Reloads.Breaches == 0 && r.Reloads.Failed == 0 && r.Reloads.Readings == 0
	out, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Println(string(out))
	if !r.Within {
		return fmt.Errorf("a stated bound is broken: p99 within %v and %.1f times the run alone, no rule broken, nothing failed or lost over reloads", p99Most, p99Ratio)
	}
	return nil
}

// part runs the maps' traffic, with the check-ins' or not.
func part(what string, length time.Duration, seed uint64, checkins, stalled, reloads bool) (f figures, err error) {
	folder, err := os.MkdirTemp("", "services")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(folder)
	j := fleet.NewJudge(time.Second)
	defer j.Close()
	lists := map[string][]endpointlist.Node{}
	for i := range 6 {
		n, err := fleet.NewNode(fleet.Spec{
			ID: fmt.Sprint("node-", i), Cores: 2, Work: 20 * time.Millisecond, Spread: 0.4, Queue: 40,
			Reports: 300 * time.Millisecond, Seed: seed + uint64(i),
		}, j)
		if err != nil {
			return f, err
		}
		defer n.Close()
		list := []string{"checkin", "maps"}[i/3]
		lists[list] = append(lists[list], n.Entry(endpointlist.PhaseUp))
		if stalled && list == "checkin" {
			n.Stall(true)
		}
	}
	for name, nodes := range lists {
		if err := fleet.WriteList(filepath.Join(folder, name+".yaml"), j, nodes); err != nil {
			return f, err
		}
	}
	load := func(text string) (*config.Loaded, error) {
		return config.Parse(filepath.Join(folder, "c.yaml"), []byte(text))
	}
	c, err := load(text)
	if err != nil {
		return f, err
	}
	s, err := service.Start(c, "rig")
	if err != nil {
		return f, err
	}
	defer s.Stop()
	url := "http://" + s.Address("127.0.0.1:0").String()
	maps := fleet.NewClients(fleet.Traffic{
		URL: url + "/level", Host: "maps.plano.example.org", Method: "GET", Effect: fleet.Safe,
		Deadline: 750 * time.Millisecond, Rate: 120, Seed: seed, Prefix: "m",
	}, j)
	all := []*fleet.Clients{maps}
	if checkins { // with every node stalled the module holds them for most of their aim: 800 a second are more than the listener has
		rate := 100.0
		if stalled {
			rate = 800
		}
		all = append(all, fleet.NewClients(fleet.Traffic{
			URL: url + "/gate", Host: "checkin.plano.example.org", Method: "POST", Body: "{}", Effect: fleet.Unsafe,
			Deadline: 2 * time.Second, Rate: rate, Seed: seed + 1, Prefix: "c",
		}, j))
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	for _, x := range all {
		wg.Go(func() { x.Run(ctx) })
	}
	if reloads {
		if err := reload(ctx, s, load, &f); err != nil {
			return f, err
		}
	}
	wg.Wait()
	v := j.Verdict(250 * time.Millisecond)
	f.Asked, f.Served, f.Refused, f.Failed, f.Breaches = v.Asked, v.Served, v.Refused, v.Failed, len(v.Breaches)+v.Further
	f.MapsP50, f.MapsP99 = float64(maps.Quantile(0.5).Microseconds())/1000, float64(maps.Quantile(0.99).Microseconds())/1000
	for i, b := range v.Breaches {
		if i < 5 {
			fmt.Fprintln(os.Stderr, " ", b)
		}
	}
	fmt.Fprintf(os.Stderr, "%-22s %5d asked, %5d served, %5d refused, %4d failed; maps p50 %.1f ms, p99 %.1f ms; %d breaches\n", what+":",
		f.Asked, f.Served, f.Refused, f.Failed, f.MapsP50, f.MapsP99, f.Breaches)
	return f, nil
}

// reload moves the route of the check-ins to another pool and back, ten times a second.
func reload(ctx context.Context, s *service.Service, load func(string) (*config.Loaded, error), f *figures) error {
	moved := strings.NewReplacer("routes:", "  spare: {nodes: {file: checkin.yaml}, connections: 100, queue: 100}\nroutes:", "pool: checkin}", "pool: spare}").Replace(text)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	readings := 0
	for ctx.Err() == nil {
		f.Reloads++
		c, err := load([]string{text, moved}[f.Reloads%2])
		if err != nil {
			return err
		}
		if err := s.Apply(c); err != nil {
			return err
		}
		n := 0
		for _, p := range s.View().Pools {
			for _, node := range p.Nodes {
				if p.Name == "maps" {
					n += node.Readings
				}
			}
		}
		f.Readings += max(0, readings-n)
		readings = n
		<-tick.C
	}
	return nil
}
