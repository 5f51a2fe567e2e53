package main

import (
	"context"
	"fmt"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/procstat"
)

// Row is what one process of a size cost.
type Row struct {
	Factor string `json:"factor"` // what grows from row to row
	capacity.Size
	Folders     int               `json:"folders"`       // of lists
	Why         string            `json:"why,omitempty"` // it was not measured in whole
	ReadyMS     float64           `json:"ready_ms"`
	StartCPUMS  float64           `json:"start_cpu_ms"` // until a second after it was ready
	IdleCPU     float64           `json:"idle_cpu"`     // part of a core
	IdleS       float64           `json:"idle_window_s"`
	IdleRead    float64           `json:"idle_read_bytes_s"`
	ResidentMB  float64           `json:"resident_mb"` // after the idle window
	PeakMB      float64           `json:"peak_mb"`     // the most until then
	EndMB       float64           `json:"end_mb"`      // after all changes
	EndPeakMB   float64           `json:"end_peak_mb"`
	Threads     int               `json:"threads"`
	Descriptors int               `json:"descriptors"`
	LogLines    int               `json:"log_lines"` // until the end of the idle window
	Changes     map[string]Change `json:"changes,omitempty"`
	Traffic     *Traffic          `json:"traffic,omitempty"`
	Scrape      *Scrape           `json:"scrape,omitempty"` // after all else
}

// Change is what one change of a kind cost, the mean of N.
type Change struct {
	N     int     `json:"n"`
	CPUMS float64 `json:"cpu_ms"` // of one, less what it takes idle
	P50MS float64 `json:"p50_ms"` // from the change's write to in force
	P99MS float64 `json:"p99_ms"` // the most, with fewer than 100
	Read  float64 `json:"read_bytes"`
	Why   string  `json:"why,omitempty"`
}

// The kinds of change.
const (
	comment = "comment" // one comment line of the configuration
	added   = "route"   // a route is added
	quota   = "quota"   // a tenant's quota changes
	drain   = "drain"   // a node of the smallest service drains and another is back
	largest = "largest" // a node of the largest service drains, or is back
)

// factor is a row of sizes in which one thing grows.
type factor struct {
	name  string
	of    func(capacity.Size) float64
	sizes []capacity.Size
}

const all = "all"

func pools(s capacity.Size) float64   { return float64(s.Pools) }
func nodes(s capacity.Size) float64   { return float64(s.Nodes) }
func routes(s capacity.Size) float64  { return float64(s.Routes) }
func tenants(s capacity.Size) float64 { return float64(s.Tenants) }

// smallest is what others are compared with.
var smallest = capacity.Size{Pools: 2, Nodes: 40, Routes: 10}

// planned is the size that the operators plan for.
var planned = capacity.Size{Pools: 490, Nodes: 18_000, Routes: 15_000, Tenants: 140_000}

// factors are the sizes of a run.
func (r *rig) factors() []factor {
	f := []factor{
		{"pools", pools, []capacity.Size{{Pools: 2, Nodes: 980, Routes: 490}, {Pools: 50, Nodes: 980, Routes: 490}, {Pools: 100, Nodes: 980, Routes: 490}, {Pools: 245, Nodes: 980, Routes: 490}, {Pools: 490, Nodes: 980, Routes: 490}}},
		{"nodes", nodes, []capacity.Size{{Pools: 20, Nodes: 40, Routes: 20}, {Pools: 20, Nodes: 1800, Routes: 20}, {Pools: 20, Nodes: 4500, Routes: 20}, {Pools: 20, Nodes: 9000, Routes: 20}, {Pools: 20, Nodes: 18_000, Routes: 20}}},
		{"routes", routes, []capacity.Size{smallest, {Pools: 2, Nodes: 40, Routes: 1500}, {Pools: 2, Nodes: 40, Routes: 3750}, {Pools: 2, Nodes: 40, Routes: 7500}, {Pools: 2, Nodes: 40, Routes: 15_000}}},
		{"tenants", tenants, []capacity.Size{smallest, {Pools: 2, Nodes: 40, Routes: 10, Tenants: 14_000}, {Pools: 2, Nodes: 40, Routes: 10, Tenants: 35_000}, {Pools: 2, Nodes: 40, Routes: 10, Tenants: 70_000}, {Pools: 2, Nodes: 40, Routes: 10, Tenants: 140_000}}},
		{all, pools, []capacity.Size{smallest, {Pools: 49, Nodes: 1800, Routes: 1500, Tenants: 14_000}, {Pools: 122, Nodes: 4500, Routes: 3750, Tenants: 35_000}, {Pools: 245, Nodes: 9000, Routes: 7500, Tenants: 70_000}, planned}},
	}
	if !r.full {
		f = []factor{{all, pools, []capacity.Size{smallest, {Pools: 49, Nodes: 1800, Routes: 1500, Tenants: 14_000}, {Pools: 150, Nodes: 5400, Routes: 4500, Tenants: 42_000}}}}
	}
	if r.largest > 0 {
		for i := range f {
			var kept []capacity.Size
			for _, s := range f[i].sizes {
				if s.Pools <= r.largest {
					kept = append(kept, s)
				}
			}
			f[i].sizes = kept
		}
	}
	return f
}

// window is how long a process is watched idle: in whole as long as it takes until its lists are looked at again, so that one look is in it.
func (r *rig) window() time.Duration {
	if r.full {
		return 5 * time.Second
	}
	return 2 * time.Second
}

// startWithin is how long a start may take before it counts as one that never ends.
func (r *rig) startWithin() time.Duration {
	if r.full {
		return 30 * time.Second
	}
	return 10 * time.Second
}

// slopes measures processes of all sizes.
func (r *rig) slopes(ctx context.Context) error {
	known := map[capacity.Size]*Row{}
	for _, f := range r.factors() {
		var rows []*Row
		for i, size := range f.sizes {
			row := known[size]
			if row == nil {
				traffic := r.full && size == smallest || f.name == all && i == len(f.sizes)-1
				if row = r.row(ctx, size, 1, traffic); ctx.Err() != nil {
					return ctx.Err()
				}
				known[size] = row
			}
			again := *row
			again.Factor = f.name
			rows = append(rows, &again)
		}
		r.Rows = append(r.Rows, rows...)
		r.fit(f, rows)
	}
	return nil
}

// row measures one process.
func (r *rig) row(ctx context.Context, size capacity.Size, folders int, traffic bool) *Row {
	row := &Row{Size: size, Folders: folders, Changes: map[string]Change{}}
	if err := r.measure(ctx, row, traffic); err != nil {
		row.Why = err.Error()
	}
	say("%v: ready %.0f ms, %.0f ms of CPU; idle %.4f; %.1f MB (peak %.1f); %d threads, %d descriptors; changes %s%s", size, row.ReadyMS, row.StartCPUMS,
		row.IdleCPU, row.ResidentMB, row.PeakMB, row.Threads, row.Descriptors, brief(row.Changes), map[bool]string{true: "; " + row.Why}[row.Why != ""])
	return row
}

func brief(changes map[string]Change) (text string) {
	for _, kind := range kinds {
		if c, ok := changes[kind]; ok {
			text += fmt.Sprintf(" %s %.1f ms of CPU, p50 %.0f ms;", kind, c.CPUMS, c.P50MS)
		}
	}
	return text
}

func (r *rig) measure(ctx context.Context, row *Row, traffic bool) error {
	b, err := r.prepare("serve", row.Size, row.Folders)
	if err != nil {
		return err
	}
	defer b.stop()
	if traffic { // it is asked for its metrics
		if b.places.Admin, err = free(); err != nil {
			return err
		}
		if err := b.write(); err != nil {
			return err
		}
	}
	ready, err := b.start(ctx, r, r.startWithin())
	if err != nil {
		row.ReadyMS = ms(r.startWithin())
		if b.Process != nil {
			row.StartCPUMS = ms(b.cpu())
			u, _ := procstat.Of(b.ID())
			row.ResidentMB, row.PeakMB, row.LogLines = u.ResidentMB, u.PeakMB, b.log.count()
		}
		return err
	}
	row.ReadyMS = ms(ready)
	if err := rest(ctx, time.Second); err != nil {
		return err
	}
	row.StartCPUMS = ms(b.cpu())
	used, before, began, asked := b.cpu(), usage(b), time.Now(), r.nodes.Connections()
	if err := rest(ctx, r.window()); err != nil {
		return err
	}
	row.IdleS = time.Since(began).Seconds()
	u := usage(b)
	row.IdleCPU = (b.cpu() - used).Seconds() / row.IdleS
	row.IdleRead = float64(u.Read-before.Read) / row.IdleS
	row.ResidentMB, row.PeakMB, row.Threads, row.Descriptors, row.LogLines = u.ResidentMB, u.PeakMB, u.Threads, u.Descriptors, b.log.count()
	if n := r.nodes.Connections() - asked; n > 0 {
		return fmt.Errorf("%d connections to nodes came up while nobody asked anything", n)
	}
	for _, kind := range kinds {
		if kind == quota && row.Tenants == 0 {
			continue
		}
		c, err := r.changes(ctx, b, row, kind)
		if err != nil {
			if ctx.Err() != nil {
				return err
			}
			c.Why = err.Error()
		}
		row.Changes[kind] = c
	}
	if traffic {
		if row.Traffic, err = r.traffic(ctx, b); err != nil {
			return fmt.Errorf("traffic: %w", err)
		}
	}
	u = usage(b)
	row.EndMB, row.EndPeakMB = u.ResidentMB, u.PeakMB
	if traffic {
		if row.Scrape, err = r.scrape(ctx, b, row.IdleCPU); err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
	}
	return nil
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// usage is what a balancer holds; nothing if it has ended.
func usage(b *balancer) procstat.Usage {
	u, err := procstat.Of(b.ID())
	if err != nil {
		return procstat.Usage{}
	}
	return u
}

// rest lets time pass.
func rest(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
