// Command streams measures what long bodies, tunnels and slow clients cost: CPU a gigabyte and resident memory for answers and
// request bodies at 1, 16 and 64 streams, against net/http/httputil's ReverseProxy and a bare relay; the memory of idle tunnels;
// and the p99 of ordinary requests beside clients that send a byte now and then. All contenders run in processes of their own with
// GOMAXPROCS=1. It prints progress on standard error and one JSON object last on standard output, and exits with 1 if a stated
// bound is broken.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"olivearch/internal/standin/peers"
)

// The bounds: CPU a gigabyte as a part of ReverseProxy's, memory that bodies may add, and p99 beside slow clients as a part of that
// without them.
const (
	cpuMost  = 0.5
	flatMost = 16 // MB between bodies of a tenth of their length and whole ones: what the collector has not taken yet
	slowMost = 1.2
	slackMS  = 2 // a p99 of under a millisecond has no ratio worth a name
)

// stream is what was seen of one contender at one number of streams.
type stream struct {
	CPU    float64 `json:"cpu_s_per_gb"`
	Rate   float64 `json:"gb_per_s"`
	Memory float64 `json:"resident_mb"`
}

type result struct {
	Cores     int                                     `json:"cores"`
	Gigabytes float64                                 `json:"gb_each"`
	Streams   map[string]map[string]map[string]stream `json:"streams"`        // by direction, contender and number
	OfReverse map[string]map[string]float64           `json:"cpu_of_reverse"` // by direction and number
	Flat      float64                                 `json:"memory_added_mb"`
	Tunnels   map[string]tunnels                      `json:"idle_tunnels"`
	Slow      slowClients                             `json:"slow_clients"`
	Within    bool                                    `json:"within_bounds"`
}

func main() {
	if played, err := peers.Main(os.Getenv); played {
		if err != nil {
			fmt.Fprintln(os.Stderr, "streams:", err)
			os.Exit(1)
		}
		return
	}
	gb := flag.Float64("gb", 0.5, "gigabytes through each contender, in each direction and at each number of streams")
	idle := flag.Int("tunnels", 1000, "idle tunnels; 10,000 need a limit of 41,000 descriptors")
	flag.Parse()
	if err := run(*gb, *idle); err != nil {
		fmt.Fprintln(os.Stderr, "streams:", err)
		os.Exit(1)
	}
}

func run(gb float64, idle int) error {
	nodes := make([]string, 4)
	for i := range nodes {
		n, err := startNode()
		if err != nil {
			return err
		}
		defer n.Close()
		nodes[i] = n.Addr().String()
	}
	all, err := peers.Start(nodes, peers.Config{Connections: 2*idle + 200, Queue: 400, Tunnels: idle})
	if err != nil {
		return err
	}
	defer all.Stop()
	r := result{
		Cores: runtime.NumCPU(), Gigabytes: gb, Streams: map[string]map[string]map[string]stream{}, OfReverse: map[string]map[string]float64{},
		Tunnels: map[string]tunnels{}, Within: true,
	}
	if err := r.pass(all, gb); err != nil {
		return err
	}
	if err := r.hold(all, idle); err != nil {
		return err
	}
	if r.Slow, err = besideSlow(all.Named(peers.Olivearch)); err != nil {
		return err
	}
	r.judge()
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	if !r.Within {
		return fmt.Errorf("a bound is broken")
	}
	return nil
}

// pass lets bodies through in both directions.
func (r *result) pass(all *peers.Set, gb float64) error {
	var small, whole float64
	for _, direction := range []string{"download", "upload"} {
		s, err := through(all.Named(peers.Olivearch), direction, 64, gb/10)
		if err != nil {
			return err
		}
		small = max(small, s.Memory)
	}
	for _, direction := range []string{"download", "upload"} {
		r.Streams[direction], r.OfReverse[direction] = map[string]map[string]stream{}, map[string]float64{}
		for _, p := range all.All {
			r.Streams[direction][p.Name] = map[string]stream{}
		}
		for _, n := range []int{1, 16, 64} {
			key := strconv.Itoa(n)
			for _, p := range all.All {
				s, err := through(p, direction, n, gb)
				if err != nil {
					return fmt.Errorf("%s, %s, %d streams: %w", p.Name, direction, n, err)
				}
				fmt.Fprintf(os.Stderr, "%-9s %-8s %2d streams: %.3f s of CPU a GB, %.2f GB a second, %.0f MB\n", p.Name, direction, n, s.CPU, s.Rate, s.Memory)
				r.Streams[direction][p.Name][key] = s
				if p.Name == peers.Olivearch {
					whole = max(whole, s.Memory)
				}
			}
			r.OfReverse[direction][key] = r.Streams[direction]["olivearch"][key].CPU / r.Streams[direction]["reverse"][key].CPU
		}
	}
	r.Flat = whole - small
	return nil
}

func (r *result) judge() {
	broken := func(format string, args ...any) {
		r.Within = false
		fmt.Fprintln(os.Stderr, "BROKEN:", strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
	for direction, by := range r.OfReverse {
		for n, part := range by {
			if part > cpuMost {
				broken("%s at %s streams costs %.2f of ReverseProxy's CPU, at most %.2f", direction, n, part, cpuMost)
			}
		}
	}
	if r.Flat > flatMost {
		broken("bodies ten times as long add %.0f MB, at most %d", r.Flat, flatMost)
	}
	if r.Slow.P99 > slowMost*r.Slow.Alone && r.Slow.P99 > r.Slow.Alone+slackMS {
		broken("p99 beside slow clients is %.2f ms, alone %.2f ms, at most %.1f times", r.Slow.P99, r.Slow.Alone, slowMost)
	}
	if r.Slow.NotServed > 0 {
		broken("%d ordinary requests were not served beside slow clients", r.Slow.NotServed)
	}
}
