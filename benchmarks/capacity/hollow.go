package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/capacity/hollow"
	"olivearch/internal/faulttest/process"
	"olivearch/internal/procstat"
	"olivearch/internal/standin/loopnodes"
)

// role is the word with which this program starts itself as a process of hollow balancers.
const role = "hollow"

// hollows is a process of them.
type hollows struct {
	*process.Process
	tell      io.WriteCloser
	replies   *json.Decoder
	log       *lines
	addresses []string
	last      hollow.Reply
	files     []string // configurations, by balancer
}

// newHollows starts a process without balancers.
func (r *rig) newHollows() (*hollows, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	in, tell, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer in.Close()
	hear, out, err := os.Pipe()
	if err != nil {
		tell.Close()
		return nil, err
	}
	defer out.Close()
	h := &hollows{tell: tell, replies: json.NewDecoder(bufio.NewReader(hear)), log: &lines{came: make(chan struct{})}}
	cmd := exec.Command(self, role)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = in, out, h.log
	if h.Process, err = r.group.Start(cmd); err != nil {
		tell.Close()
		return nil, err
	}
	return h, nil
}

// hollowWithin bounds how long a command may take.
const hollowWithin = 120 * time.Second

// do sends a command and waits for its reply.
func (h *hollows) do(ctx context.Context, c hollow.Command) (hollow.Reply, error) {
	if err := json.NewEncoder(h.tell).Encode(c); err != nil {
		return hollow.Reply{}, err
	}
	type heard struct {
		hollow.Reply
		err error
	}
	came := make(chan heard, 1)
	go func() {
		var x heard
		x.err = h.replies.Decode(&x.Reply)
		came <- x
	}()
	select {
	case x := <-came:
		if x.err == nil && x.Err != "" {
			x.err = errors.New(x.Err)
		}
		if x.err != nil {
			return x.Reply, fmt.Errorf("hollow balancers: %s: %w; %s", c.Do, x.err, h.log.last())
		}
		h.addresses, h.last = x.Addresses, x.Reply
		return x.Reply, nil
	case <-time.After(hollowWithin):
		return hollow.Reply{}, fmt.Errorf("hollow balancers: %s is not done within %v; %s", c.Do, hollowWithin, h.log.last())
	case <-ctx.Done():
		return hollow.Reply{}, ctx.Err()
	}
}

// grow starts more balancers.
func (h *hollows) grow(ctx context.Context, files []string) (hollow.Reply, error) {
	h.files = append(h.files, files...)
	return h.do(ctx, hollow.Command{Do: hollow.Start, Files: files, Limit: int64(len(h.files)) * capacity.Memory / 10 * 8})
}

func (h *hollows) cpu() time.Duration {
	d, err := procstat.CPU(h.ID())
	if err != nil {
		return 0
	}
	return d
}

func (h *hollows) usage() procstat.Usage {
	u, err := procstat.Of(h.ID())
	if err != nil {
		return procstat.Usage{}
	}
	return u
}

// stop ends the process.
func (h *hollows) stop() {
	h.tell.Close()
	h.Kill()
	<-h.Ended()
}

// askers is how many ask at the same time when a change is in force.
const askers = 16

// inForce asks balancers for the first service until each is answered by a node, and tells when that was, by balancer. They are asked
// in turns, so it is known as exactly as a turn takes.
func inForce(ctx context.Context, client *http.Client, addresses []string, node string, began time.Time) (took []float64, err error) {
	ctx, cancel := context.WithDeadline(ctx, began.Add(inForceWithin))
	defer cancel()
	took = make([]float64, len(addresses))
	pending := make(chan int, len(addresses))
	for i := range addresses {
		pending <- i
	}
	var left atomic.Int64
	left.Store(int64(len(addresses)))
	done := make(chan struct{})
	var all sync.WaitGroup
	for range askers {
		all.Go(func() {
			for {
				select {
				case i := <-pending:
					if by, failed := answering(ctx, client, addresses[i]); failed != nil || by != node {
						pending <- i
						time.Sleep(time.Millisecond)
						break
					}
					took[i] = ms(time.Since(began))
					if left.Add(-1) == 0 {
						close(done)
					}
				case <-done:
					return
				case <-ctx.Done():
					return
				}
				if ctx.Err() != nil {
					return
				}
			}
		})
	}
	all.Wait()
	if n := left.Load(); n > 0 {
		return took, fmt.Errorf("the change is not in force within %v: %d of %d balancers are left (%w)", inForceWithin, n, len(addresses), ctx.Err())
	}
	return took, nil
}

// answering tells which node answers a request for the first service.
func answering(ctx context.Context, client *http.Client, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return "", err
	}
	req.Host = capacity.Host(0)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	resp.Body.Close()
	return resp.Header.Get(loopnodes.NodeField), nil
}

// PerBalancer is what one balancer of a set cost, the set's sum by its number.
type PerBalancer struct {
	Balancers  int     `json:"balancers"`
	StartCPUMS float64 `json:"start_cpu_ms"`
	IdleCPU    float64 `json:"idle_cpu"` // part of a core
	IdleRead   float64 `json:"idle_read_bytes_s"`
	ResidentMB float64 `json:"resident_mb"` // after the idle window
	EndMB      float64 `json:"end_mb"`      // after the changes
	DrainCPUMS float64 `json:"drain_cpu_ms"`
	DrainRead  float64 `json:"drain_read_bytes"`
	ReloadMS   float64 `json:"reload_cpu_ms"`
}

// Calibration compares real balancers with hollow ones under the same load.
type Calibration struct {
	Size    capacity.Size      `json:"size"`
	Real    PerBalancer        `json:"real"`
	Hollow  PerBalancer        `json:"hollow"`
	Factors map[string]float64 `json:"factors"` // a real one's figure as a multiple of a hollow one's
	Outside []string           `json:"outside_a_tenth,omitempty"`
	BaseMB  float64            `json:"hollow_process_without_balancers_mb"`
	// OwnMB is what a real one has more, of which most is its process's own: where balancers are small it is to be carried instead of a factor.
	OwnMB float64 `json:"resident_difference_mb"`
}

// set is balancers that a load is put on.
type set struct {
	n      int
	cpu    func() time.Duration
	usage  func() procstat.Usage // of all together
	start  func() error
	reload func() error
}

// calibrate puts the same load on real and on hollow balancers.
func (r *rig) calibrate(ctx context.Context) error {
	x := &Calibration{Factors: map[string]float64{}}
	r.Calibration = x
	n := 20
	if x.Size = planned; !r.full {
		n, x.Size = 4, middling
	}
	if r.largest > 0 && x.Size.Pools > r.largest {
		x.Size = few
	}
	place, err := r.prepare("calibrate", x.Size, 1)
	if err != nil {
		return err
	}
	defer place.stop()
	var all []*balancer
	defer func() {
		for _, b := range all {
			b.stop()
		}
	}()
	for i := range n {
		b := *place // the lists are the same for all
		if b.places.Listen, err = free(); err != nil {
			return err
		}
		b.log = &lines{came: make(chan struct{})}
		b.config = filepath.Join(r.folder, fmt.Sprintf("real-%d", i), "olivearch.yaml")
		if err := os.MkdirAll(filepath.Dir(b.config), 0o755); err != nil {
			return err
		}
		if err := b.write(); err != nil {
			return err
		}
		all = append(all, &b)
	}
	real := set{
		n: n,
		cpu: func() (sum time.Duration) {
			for _, b := range all {
				sum += b.cpu()
			}
			return sum
		},
		usage: func() (sum procstat.Usage) {
			for _, b := range all {
				u := usage(b)
				sum.ResidentMB, sum.Read = sum.ResidentMB+u.ResidentMB, sum.Read+u.Read
			}
			return sum
		},
		start: func() error {
			return together(all, func(b *balancer) error { _, err := b.start(ctx, r, r.startWithin()); return err })
		},
		reload: func() error {
			return together(all, func(b *balancer) error { b.edit.Added++; _, err := b.reload(inForceWithin); return err })
		},
	}
	if x.Real, err = r.cost(ctx, real, place); err != nil {
		return fmt.Errorf("real ones: %w", err)
	}
	for _, b := range all {
		b.stop()
	}
	all = nil
	h, err := r.newHollows()
	if err != nil {
		return err
	}
	defer h.stop()
	if _, err := h.do(ctx, hollow.Command{Do: hollow.Clean}); err != nil {
		return err
	}
	x.BaseMB = h.usage().ResidentMB
	place.places.Listen = hollow.Listen
	place.edit = capacity.Edit{}
	if err := place.write(); err != nil {
		return err
	}
	hollowSet := set{
		n: n, cpu: h.cpu, usage: h.usage,
		start: func() error { _, err := h.grow(ctx, hollow.Files([]string{place.config}, n)); return err },
		reload: func() error {
			place.edit.Added++
			if err := place.write(); err != nil {
				return err
			}
			_, err := h.do(ctx, hollow.Command{Do: hollow.Reload})
			return err
		},
	}
	if x.Hollow, err = r.cost(ctx, hollowSet, place); err != nil {
		return fmt.Errorf("hollow ones: %w", err)
	}
	for _, f := range []struct {
		name string
		of   func(PerBalancer) float64
	}{
		{"start_cpu", func(p PerBalancer) float64 { return p.StartCPUMS }},
		{"idle_cpu", func(p PerBalancer) float64 { return p.IdleCPU }},
		{"idle_read", func(p PerBalancer) float64 { return p.IdleRead }},
		{"resident", func(p PerBalancer) float64 { return p.ResidentMB }},
		{"drain_cpu", func(p PerBalancer) float64 { return p.DrainCPUMS }},
		{"reload_cpu", func(p PerBalancer) float64 { return p.ReloadMS }},
	} {
		if f.of(x.Hollow) <= 0 || f.of(x.Real) <= 0 {
			continue
		}
		factor, within := capacity.Factor(f.of(x.Real), f.of(x.Hollow), 0.1)
		if x.Factors[f.name] = factor; !within {
			x.Outside = append(x.Outside, f.name)
		}
	}
	x.OwnMB = x.Real.ResidentMB - x.Hollow.ResidentMB
	say("calibration, %d of each, %v:\n  real   %+v\n  hollow %+v\n  factors %v", n, x.Size, x.Real, x.Hollow, x.Factors)
	return nil
}

// times is how often something is done: in whole, or in the default run.
func (r *rig) times(full, fewer int) int {
	if r.full {
		return full
	}
	return fewer
}

// together does something with all balancers at the same time.
func together(all []*balancer, f func(*balancer) error) error {
	errs := make([]error, len(all))
	var done sync.WaitGroup
	for i, b := range all {
		done.Go(func() { errs[i] = f(b) })
	}
	done.Wait()
	return errors.Join(errs...)
}

// cost puts the calibration's load on a set: a start, an idle window, drains in a list that all follow, reloads that add a route.
func (r *rig) cost(ctx context.Context, s set, place *balancer) (p PerBalancer, err error) {
	n := float64(s.n)
	p.Balancers = s.n
	if err := s.start(); err != nil {
		return p, err
	}
	if err := calm(ctx, s.cpu, 0.01*n); err != nil {
		return p, err
	}
	used, u, began := s.cpu(), s.usage(), time.Now()
	p.StartCPUMS = ms(used) / n
	if err := rest(ctx, r.window()); err != nil {
		return p, err
	}
	passed, now := time.Since(began).Seconds(), s.usage()
	p.IdleCPU, p.IdleRead, p.ResidentMB = (s.cpu()-used).Seconds()/passed/n, float64(now.Read-u.Read)/passed/n, now.ResidentMB/n
	per := func(times int, f func() error) (cpu, read float64, err error) {
		used, u, began := s.cpu(), s.usage(), time.Now()
		for range times {
			if err := f(); err != nil {
				return 0, 0, err
			}
			if err := calm(ctx, s.cpu, p.IdleCPU*n); err != nil {
				return 0, 0, err
			}
		}
		passed, k := time.Since(began).Seconds(), float64(times)*n
		return (ms(s.cpu()-used) - 1000*p.IdleCPU*passed*n) / k, (float64(s.usage().Read-u.Read) - p.IdleRead*passed*n) / k, nil
	}
	if p.DrainCPUMS, p.DrainRead, err = per(r.times(5, 2), func() error {
		place.turn = (place.turn + 1) % place.site.Services[0].Nodes
		return place.site.WriteList(&place.places, 0, place.word)
	}); err != nil {
		return p, err
	}
	if p.ReloadMS, _, err = per(r.times(3, 1), s.reload); err != nil {
		return p, err
	}
	p.EndMB = s.usage().ResidentMB / n
	return p, nil
}
