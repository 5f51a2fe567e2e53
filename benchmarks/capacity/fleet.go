package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/capacity/hollow"
)

// middling is the size of the default run's fleet.
var middling = capacity.Size{Pools: 49, Nodes: 1800, Routes: 1500, Tenants: 14_000}

// few is the size of a fleet with few pools: 20 balancers of it have 80 inotify instances, where each pool has one.
var few = capacity.Size{Pools: 4, Nodes: 1800, Routes: 1500, Tenants: 1400}

const (
	regions = 6
	// An ordinary day of the planned fleet: changes of configuration, and machines that fail or are replaced, each of which goes from a
	// list and comes back to it.
	dayChanges  = 1500
	dayMachines = 88 + 3100
	day         = 24 * time.Hour
	// compression is how many times faster than that it is played.
	compression = 60

	everywhereMost = 15_000 // ms from a change to in force at all balancers
	controlCPUMost = 0.038  // part of a core
	controlMBMost  = 64
	// hollowMemoryMost bounds the process of hollow balancers, in MB: under half of a machine of 24 GB, of which others have their part.
	hollowMemoryMost = 11_000
	// eventsAt is the step at which the fleet's events are played, if it is reached: in the steps after it one process's collector goes over 300
	// heaps, and a restart, which reads its configuration and collects, took 4.9 s of CPU in place of 1.6.
	eventsAt = 100
	// watchedMost is how many balancers are asked when a change is in force: a user has 128 inotify instances, and each balancer takes
	// one. Those that get none look at their lists every 5 s.
	watchedMost = 100
)

// Fleet is what hollow balancers cost and how soon they knew. Costs are of one hollow balancer, not multiplied by the calibration's
// factors.
type Fleet struct {
	Size        capacity.Size `json:"size"`
	Steps       []Step        `json:"steps"`
	Stopped     string        `json:"stopped,omitempty"` // why there are no more
	ResidentFit capacity.Fit  `json:"resident_mb_by_balancers"`
	IdleFit     capacity.Fit  `json:"idle_cpu_by_balancers"`
	Day         Day           `json:"day"`
	ZoneLost    Event         `json:"zone_lost"`
	ZoneBack    Event         `json:"zone_back"`
	Restart     Event         `json:"a_tenth_restarted_in_ten_steps"`
	Cut         Event         `json:"region_joined_after_a_cut"`
}

// Step is a fleet of so many balancers.
type Step struct {
	Balancers   int     `json:"balancers"`
	StartCPUMS  float64 `json:"start_cpu_ms"`
	ReadyP50MS  float64 `json:"ready_p50_ms"`
	ReadyP99MS  float64 `json:"ready_p99_ms"`
	IdleCPU     float64 `json:"idle_cpu"`
	IdleRead    float64 `json:"idle_read_bytes_s"`
	ResidentMB  float64 `json:"resident_mb"`
	HeapMB      float64 `json:"heap_mb"`
	Goroutines  float64 `json:"goroutines"`
	Descriptors float64 `json:"descriptors"`
	Drain       Event   `json:"drain"`
	Polling99   float64 `json:"drain_by_polling_p99_ms"` // of balancers past the machine's inotify instances
	Reload      Event   `json:"reload"`
}

// Event is what one thing that happens to the fleet cost a balancer, and when it was in force over the fleet.
type Event struct {
	Times     int     `json:"times"`
	Balancers int     `json:"balancers"`
	CPUMS     float64 `json:"cpu_ms"` // of one balancer, for one time, less idle
	Read      float64 `json:"read_bytes"`
	P50MS     float64 `json:"p50_ms"`
	P99MS     float64 `json:"p99_ms"`
	WriteMS   float64 `json:"write_ms"` // of these, writing the lists or configurations
}

// Day is an ordinary day, compressed.
type Day struct {
	Compression float64 `json:"compression"`
	Seconds     float64 `json:"seconds"`
	Lists       int     `json:"list_changes"`
	Configs     int     `json:"configuration_changes"`
	Planned     [2]int  `json:"planned"`  // of both, in this time
	CPU         float64 `json:"cpu"`      // part of a core, of one balancer, as played
	DayCPU      float64 `json:"day_cpu"`  // the same at the day's own pace: idle, and the changes' part over the compression
	Read        float64 `json:"read_s"`   // bytes a second as played
	DayRead     float64 `json:"day_read"` // at the day's own pace
}

// fleet is the state of the lists of all regions.
type fleet struct {
	*rig
	*hollows
	site     *capacity.Site
	places   []capacity.Places // by region
	configs  []string          // files, by region
	client   *http.Client
	mu       sync.Mutex // of what follows
	edit     capacity.Edit
	turn     int
	draining map[int]bool
	lost     string       // zone whose nodes are gone
	cut      map[int]bool // regions whose lists stay as they are
	missed   map[int]bool // services that have changed meanwhile
}

// newFleet writes the lists and configurations of all regions.
func (r *rig) newFleet(size capacity.Size) (*fleet, error) {
	site, err := capacity.New(size, r.seed)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rig: r, site: site, draining: map[int]bool{}, cut: map[int]bool{}, missed: map[int]bool{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
	for region := range regions {
		folder := filepath.Join(r.folder, fmt.Sprintf("region-%d", region))
		f.places = append(f.places, capacity.Places{Listen: hollow.Listen, Lists: filepath.Join(folder, "lists"), Folders: 1, Node: r.nodes.At})
		f.configs = append(f.configs, filepath.Join(folder, "olivearch.yaml"))
		if err := site.WriteLists(&f.places[region], f.word); err != nil {
			return nil, err
		}
	}
	if err := f.configure(); err != nil {
		return nil, err
	}
	f.hollows, err = r.newHollows()
	return f, err
}

func (f *fleet) close() {
	f.client.CloseIdleConnections()
	f.hollows.stop()
	for _, c := range f.configs {
		os.RemoveAll(filepath.Dir(c))
	}
}

// word is what the lists say that are written now.
func (f *fleet) word(node int) capacity.Word {
	switch first := f.site.Services[0]; {
	case node < first.Nodes && node == f.turn:
		return capacity.Up // whatever happens, there is one by which a change is seen
	case f.lost != "" && strings.HasPrefix(capacity.Zone(node), f.lost):
		return capacity.Gone
	case node < first.Nodes, f.draining[node]:
		return capacity.Draining
	}
	return capacity.Up
}

// lists writes lists in all regions that can be reached, the first service's last, and returns the node by which the change is seen.
func (f *fleet) lists(services ...int) (node string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turn = (f.turn + 1) % f.site.Services[0].Nodes
	for _, x := range append(services, 0) {
		for region := range f.places {
			if f.cut[region] {
				f.missed[x] = true
				continue
			}
			if err := f.site.WriteList(&f.places[region], x, f.word); err != nil {
				return "", err
			}
		}
	}
	return f.places[0].Node(f.turn), nil
}

// configure writes the configurations.
func (f *fleet) configure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for region, path := range f.configs {
		if err := capacity.Replace(path, f.site.Config(&f.places[region], f.edit)); err != nil {
			return err
		}
	}
	return nil
}

// cost notes what happens while f runs, less what the fleet takes idle, by balancer and time.
func (f *fleet) cost(ctx context.Context, idle Step, times int, do func() error) (cpu, read float64, err error) {
	n := float64(len(f.files))
	used, u, began := f.cpu(), f.usage(), time.Now()
	for range times {
		if err := do(); err != nil {
			return 0, 0, err
		}
		if err := calm(ctx, f.cpu, idle.IdleCPU*n); err != nil {
			return 0, 0, err
		}
	}
	passed, k := time.Since(began).Seconds(), n*float64(times)
	return (ms(f.cpu()-used) - 1000*idle.IdleCPU*passed*n) / k, (float64(f.usage().Read-u.Read) - idle.IdleRead*passed*n) / k, nil
}

// seen makes a change of lists and waits until it is in force at balancers.
func (f *fleet) seen(ctx context.Context, addresses []string, change func() (string, error)) (took []float64, wrote time.Duration, err error) {
	began := time.Now()
	node, err := change()
	if err != nil {
		return nil, 0, err
	}
	wrote = time.Since(began)
	took, err = inForce(ctx, f.client, addresses, node, began)
	return took, wrote, err
}

// watched are the addresses of balancers that the system tells of changes.
func (f *fleet) watched() []string { return f.addresses[:min(len(f.addresses), watchedMost)] }

// listEvent measures a change of lists twice: its cost while nobody asks, and when it is in force.
func (f *fleet) listEvent(ctx context.Context, idle Step, times int, change func() (string, error)) (e Event, err error) {
	e.Times, e.Balancers = times, len(f.files)
	if e.CPUMS, e.Read, err = f.cost(ctx, idle, times, func() error { _, err := change(); return err }); err != nil {
		return e, err
	}
	var all []float64
	for range times {
		took, wrote, err := f.seen(ctx, f.watched(), change)
		if err != nil {
			return e, err
		}
		all = append(all, took...)
		e.WriteMS = max(e.WriteMS, ms(wrote))
	}
	e.P50MS, e.P99MS = capacity.Quantile(all, 0.5), capacity.Quantile(all, 0.99)
	return e, nil
}

// reloadAll adds a route everywhere.
func (f *fleet) reloadAll(ctx context.Context) (took []float64, wrote time.Duration, err error) {
	began := time.Now()
	f.mu.Lock()
	f.edit.Added++
	f.mu.Unlock()
	if err := f.configure(); err != nil {
		return nil, 0, err
	}
	wrote = time.Since(began)
	reply, err := f.do(ctx, hollow.Command{Do: hollow.Reload})
	return reply.TookMS, wrote, err
}

// step grows the fleet to so many balancers and measures it.
func (f *fleet) step(ctx context.Context, n int) (s Step, err error) {
	s.Balancers = n
	more, used := n-len(f.files), f.cpu()
	var files []string
	for i := range more {
		files = append(files, f.configs[(len(f.files)+i)%regions])
	}
	reply, err := f.grow(ctx, files)
	if err != nil {
		return s, err
	}
	s.StartCPUMS = ms(f.cpu()-used) / float64(more)
	s.ReadyP50MS, s.ReadyP99MS = capacity.Quantile(reply.TookMS, 0.5), capacity.Quantile(reply.TookMS, 0.99)
	if err := calm(ctx, f.cpu, 0.01*float64(n)); err != nil {
		return s, err
	}
	used, u, began := f.cpu(), f.usage(), time.Now()
	if err := rest(ctx, f.window()); err != nil {
		return s, err
	}
	passed, now, by := time.Since(began).Seconds(), f.usage(), float64(n)
	s.IdleCPU, s.IdleRead, s.ResidentMB = (f.cpu()-used).Seconds()/passed/by, float64(now.Read-u.Read)/passed/by, now.ResidentMB/by
	s.HeapMB, s.Goroutines, s.Descriptors = reply.HeapMB/by, float64(reply.Goroutines)/by, float64(now.Descriptors)/by
	if s.Drain, err = f.listEvent(ctx, s, f.times(2, 1), func() (string, error) { return f.lists() }); err != nil {
		return s, err
	}
	if polling := f.addresses[len(f.watched()):]; len(polling) > 0 {
		late, _, err := f.seen(ctx, polling, func() (string, error) { return f.lists() })
		if err != nil {
			return s, err
		}
		s.Polling99 = capacity.Quantile(late, 0.99)
	}
	s.Reload.Times, s.Reload.Balancers = f.times(2, 1), n
	var took []float64
	s.Reload.CPUMS, s.Reload.Read, err = f.cost(ctx, s, f.times(2, 1), func() error {
		some, wrote, err := f.reloadAll(ctx)
		took, s.Reload.WriteMS = append(took, some...), max(s.Reload.WriteMS, ms(wrote))
		return err
	})
	s.Reload.P50MS, s.Reload.P99MS = capacity.Quantile(took, 0.5), capacity.Quantile(took, 0.99)
	say("  %d hollow: start %.0f ms of CPU, ready p99 %.0f ms; idle %.4f; %.1f MB; drain %.2f ms of CPU, p99 %.0f ms; reload %.1f ms of CPU, p99 %.0f ms", n, s.StartCPUMS, s.ReadyP99MS,
		s.IdleCPU, s.ResidentMB, s.Drain.CPUMS, s.Drain.P99MS, s.Reload.CPUMS, s.Reload.P99MS)
	return s, err
}

// fleet grows a fleet of hollow balancers and lets things happen to it.
func (r *rig) fleet(ctx context.Context) error {
	x := &Fleet{Size: planned}
	steps, budget := []int{20, 50, 100, 200, 300, 400, 800, 1500}, 420*time.Second
	if !r.full {
		x.Size, steps, budget = middling, []int{3, 6}, 20*time.Second
	}
	if r.largest > 0 && x.Size.Pools > r.largest {
		x.Size = few
	}
	r.Fleet = x
	f, err := r.newFleet(x.Size)
	if err != nil {
		return err
	}
	defer f.close()
	began := time.Now()
	for _, n := range steps {
		if k := len(x.Steps); k > 0 {
			last := x.Steps[k-1]
			grow := time.Duration(last.StartCPUMS*float64(n-last.Balancers)/float64(r.Cores)) * time.Millisecond
			switch {
			case last.ResidentMB*float64(n) > hollowMemoryMost:
				x.Stopped = fmt.Sprintf("%d balancers of %.1f MB are more than the %d MB that they may have", n, last.ResidentMB, hollowMemoryMost)
			case time.Since(began)+2*grow > budget:
				x.Stopped = fmt.Sprintf("starting %d more takes some %v, more than is left of %v", n-last.Balancers, grow.Round(time.Second), budget)
			}
			if x.Stopped != "" {
				break
			}
		}
		s, err := f.step(ctx, n)
		if err != nil {
			return fmt.Errorf("%d balancers: %w", n, err)
		}
		x.Steps = append(x.Steps, s)
		if n == eventsAt {
			if err := f.events(ctx, x, s); err != nil {
				return err
			}
		}
	}
	var resident, idle []capacity.Point
	for _, s := range x.Steps {
		resident = append(resident, capacity.Point{X: float64(s.Balancers), Y: s.ResidentMB * float64(s.Balancers)})
		idle = append(idle, capacity.Point{X: float64(s.Balancers), Y: s.IdleCPU * float64(s.Balancers)})
	}
	if len(x.Steps) > 1 {
		if x.ResidentFit, err = capacity.Line(resident); err != nil {
			return err
		}
		if x.IdleFit, err = capacity.Line(idle); err != nil {
			return err
		}
	}
	last := x.Steps[len(x.Steps)-1]
	if x.Day.Seconds == 0 {
		if err := f.events(ctx, x, last); err != nil {
			return err
		}
	}
	r.most("hollow: CPU of an ordinary day, part of a core", x.Day.DayCPU, controlCPUMost)
	r.most("hollow: resident, MB", last.ResidentMB, controlMBMost)
	r.most("hollow: a drain in force everywhere, ms at p99", last.Drain.P99MS, inForceMost)
	r.most("hollow: a zone's loss in force everywhere, ms at p99", x.ZoneLost.P99MS, everywhereMost)
	r.most("hollow: a region's joining in force everywhere, ms at p99", x.Cut.P99MS, everywhereMost)
	r.most("hollow: restarted and ready, ms at p99", x.Restart.P99MS, readyMost)
	return nil
}

// events lets happen what does.
func (f *fleet) events(ctx context.Context, x *Fleet, idle Step) (err error) {
	if err := f.day(ctx, &x.Day, idle); err != nil {
		return fmt.Errorf("an ordinary day: %w", err)
	}
	var services []int
	for i := 1; i < len(f.site.Services); i++ {
		services = append(services, i)
	}
	zone := func(name string, e *Event) error {
		e.Times, e.Balancers = 1, len(f.files)
		var took []float64
		e.CPUMS, e.Read, err = f.cost(ctx, idle, 1, func() error {
			var wrote time.Duration
			took, wrote, err = f.seen(ctx, f.watched(), func() (string, error) {
				f.lost = name
				return f.lists(services...)
			})
			e.WriteMS = ms(wrote)
			return err
		})
		e.P50MS, e.P99MS = capacity.Quantile(took, 0.5), capacity.Quantile(took, 0.99)
		return err
	}
	if err := zone(capacity.Zone(7), &x.ZoneLost); err != nil {
		return fmt.Errorf("a zone lost: %w", err)
	}
	if err := zone("", &x.ZoneBack); err != nil {
		return fmt.Errorf("a zone back: %w", err)
	}
	if err := f.restart(ctx, &x.Restart, idle); err != nil {
		return fmt.Errorf("a tenth restarted: %w", err)
	}
	if err := f.cutOff(ctx, &x.Cut, idle); err != nil {
		return fmt.Errorf("a region cut off: %w", err)
	}
	say("  day %+v\n  zone lost %+v\n  zone back %+v\n  a tenth restarted %+v\n  a region joined %+v", x.Day, x.ZoneLost, x.ZoneBack, x.Restart, x.Cut)
	return nil
}

// day plays a part of an ordinary day, compressed.
func (f *fleet) day(ctx context.Context, d *Day, idle Step) error {
	length := 30 * time.Second
	if !f.full {
		length = 3 * time.Second
	}
	d.Compression = compression
	played := compression * length.Seconds() / day.Seconds()
	d.Planned = [2]int{int(2 * dayMachines * played), int(dayChanges * played)}
	rng := rand.New(rand.NewPCG(f.seed, 11))
	n := float64(len(f.files))
	used, u, began := f.cpu(), f.usage(), time.Now()
	var failed [2]error
	var both sync.WaitGroup
	pace := func(i int, times int, change func() error) {
		both.Go(func() {
			done := 0
			for ; done < times && failed[i] == nil && time.Since(began) < length; done++ {
				if failed[i] = rest(ctx, time.Until(began.Add(length*time.Duration(done)/time.Duration(times)))); failed[i] == nil {
					failed[i] = change()
				}
			}
			if i == 0 {
				d.Lists = done
			} else {
				d.Configs = done
			}
		})
	}
	pace(0, d.Planned[0], func() error {
		node := rng.IntN(f.site.Nodes)
		f.mu.Lock()
		if f.draining[node] = !f.draining[node]; !f.draining[node] {
			delete(f.draining, node)
		}
		f.mu.Unlock()
		for i, x := range f.site.Services {
			if node >= x.First && node < x.First+x.Nodes {
				return f.writeOne(i)
			}
		}
		return nil
	})
	pace(1, d.Planned[1], func() error { _, _, err := f.reloadAll(ctx); return err })
	both.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	if err := rest(ctx, time.Until(began.Add(length))); err != nil {
		return err
	}
	if err := calm(ctx, f.cpu, idle.IdleCPU*n); err != nil {
		return err
	}
	d.Seconds = time.Since(began).Seconds()
	d.CPU, d.Read = (f.cpu()-used).Seconds()/d.Seconds/n, float64(f.usage().Read-u.Read)/d.Seconds/n
	// What was not made in its time is added by what one costs.
	missing := float64(d.Planned[0]-d.Lists)*idle.Drain.CPUMS + float64(d.Planned[1]-d.Configs)*idle.Reload.CPUMS
	d.DayCPU = idle.IdleCPU + (max(0, d.CPU-idle.IdleCPU)+max(0, missing)/1000/d.Seconds)/compression
	d.DayRead = idle.IdleRead + max(0, d.Read-idle.IdleRead)/compression
	return nil
}

// writeOne writes one service's lists.
func (f *fleet) writeOne(service int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for region := range f.places {
		if err := f.site.WriteList(&f.places[region], service, f.word); err != nil {
			return err
		}
	}
	return nil
}

// restart starts a tenth of the balancers anew, in ten steps.
func (f *fleet) restart(ctx context.Context, e *Event, idle Step) error {
	n := len(f.files)
	each := max(1, n/100)
	e.Balancers = each
	var took []float64
	used := f.cpu()
	for i := range min(f.times(10, 3), n/each) {
		e.Times = i + 1
		reply, err := f.do(ctx, hollow.Command{Do: hollow.Restart, From: i * each, To: (i + 1) * each})
		if err != nil {
			return err
		}
		took = append(took, reply.TookMS...)
	}
	e.CPUMS = ms(f.cpu()-used) / float64(len(took))
	e.P50MS, e.P99MS = capacity.Quantile(took, 0.5), capacity.Quantile(took, 0.99)
	return nil
}

// cutOff lets a region's lists stay as they are while those of others change, and then brings them what they have missed.
func (f *fleet) cutOff(ctx context.Context, e *Event, idle Step) error {
	changes := f.times(20, 10)
	f.cut[0] = true
	for i := range changes {
		node := (i*7919 + 1) % f.site.Nodes
		for x, s := range f.site.Services {
			if node >= s.First && node < s.First+s.Nodes {
				f.draining[node] = true
				if _, err := f.lists(x); err != nil {
					return err
				}
			}
		}
		if err := rest(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	var behind []string
	for i, a := range f.watched() {
		if f.files[i] == f.configs[0] {
			behind = append(behind, a)
		}
	}
	e.Times = 1
	for _, file := range f.files {
		if file == f.configs[0] {
			e.Balancers++
		}
	}
	used, u, began := f.cpu(), f.usage(), time.Now()
	f.cut[0] = false
	took, wrote, err := f.seen(ctx, behind, func() (string, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.missed[0] = true
		for x := range f.missed {
			if x > 0 {
				if err := f.site.WriteList(&f.places[0], x, f.word); err != nil {
					return "", err
				}
			}
		}
		return f.places[0].Node(f.turn), f.site.WriteList(&f.places[0], 0, f.word)
	})
	if err != nil {
		return err
	}
	n := float64(len(f.files))
	if err := calm(ctx, f.cpu, idle.IdleCPU*n); err != nil {
		return err
	}
	passed := time.Since(began).Seconds()
	e.CPUMS = (ms(f.cpu()-used) - 1000*idle.IdleCPU*passed*n) / float64(e.Balancers)
	e.Read = (float64(f.usage().Read-u.Read) - idle.IdleRead*passed*n) / float64(e.Balancers)
	e.P50MS, e.P99MS, e.WriteMS = capacity.Quantile(took, 0.5), capacity.Quantile(took, 0.99), ms(wrote)
	return nil
}
