// Package hollow runs many balancers in one process: each with a configuration, lists, modules, timers and what it follows, as
// "olivearch serve" runs them, and each with a listener at a port of the system's to choose, since a configuration needs one. Nobody
// has to call there.
package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/service"
)

// The verbs of commands.
const (
	Start   = "start"   // balancers with the configurations in Files
	Reload  = "reload"  // all of them read their configurations again, at the same time
	Restart = "restart" // those from From to To stop, and then start anew
	Clean   = "clean"   // the collector runs
)

// Command is what the process is told, one JSON object a line.
type Command struct {
	Do    string   `json:"do"`
	Files []string `json:"files,omitempty"`
	From  int      `json:"from,omitempty"`
	To    int      `json:"to,omitempty"`
	Limit int64    `json:"limit,omitempty"` // of the process's memory, in bytes, for the collector
}

// Reply is what came of a command.
type Reply struct {
	Err        string    `json:"err,omitempty"`
	TookMS     []float64 `json:"took_ms,omitempty"` // by balancer
	Addresses  []string  `json:"addresses,omitempty"`
	Goroutines int       `json:"goroutines"`
	HeapMB     float64   `json:"heap_mb"` // of objects
}

// Listen is the address that a hollow balancer's configuration has for clients.
const Listen = "127.0.0.1:0"

// Run does what commands say until there are none, and stops all balancers.
func Run(in io.Reader, out io.Writer) error {
	h := &process{}
	defer func() {
		for _, b := range h.all {
			if b.service != nil {
				b.service.Stop()
			}
		}
	}()
	commands, replies := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var c Command
		if err := commands.Decode(&c); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		r := h.obey(c)
		r.Goroutines = runtime.NumGoroutine()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		r.HeapMB = float64(m.HeapAlloc) / (1 << 20)
		if err := replies.Encode(r); err != nil {
			return err
		}
	}
}

type process struct{ all []*balancer }

type balancer struct {
	file    string
	config  *config.Loaded
	service *service.Service
}

func (h *process) obey(c Command) (r Reply) {
	if c.Limit > 0 {
		debug.SetMemoryLimit(c.Limit)
	}
	some := h.all
	switch c.Do {
	case Start:
		service.PrepareConfigLoad()
		for _, file := range c.Files {
			h.all = append(h.all, &balancer{file: file})
		}
		r.TookMS, r.Err = each(h.all[len(some):], (*balancer).start)
	case Reload:
		r.TookMS, r.Err = each(h.all, (*balancer).reload)
	case Restart:
		if c.From < 0 || c.To < c.From || c.To > len(h.all) {
			r.Err = fmt.Sprintf("there are no balancers %d to %d", c.From, c.To)
			break
		}
		r.TookMS, r.Err = each(h.all[c.From:c.To], (*balancer).restart)
	case Clean:
		debug.FreeOSMemory()
	default:
		r.Err = fmt.Sprintf("no verb %q", c.Do)
	}
	if c.Do == Start || c.Do == Reload && slices.ContainsFunc(h.all, (*balancer).readMuch) {
		h.collect()
	}
	for _, b := range h.all {
		if b.service != nil {
			r.Addresses = append(r.Addresses, b.service.Address(Listen).String())
		}
	}
	return r
}

// headroom is what the heap may grow by for each balancer before the collector runs, as service.FinishConfigLoad has it for one.
const headroom = 16 << 20

// collect gives back what reading configurations took, once for all balancers, and bounds what the heap may grow by.
func (h *process) collect() {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	debug.SetGCPercent(min(400, int(100*headroom*float64(len(h.all))/float64(max(1, m.HeapAlloc)))+1))
}

// each does something with balancers, as many at a time as there are cores, and tells how long each took from its turn on.
func each(all []*balancer, f func(*balancer) error) (took []float64, failed string) {
	took = make([]float64, len(all))
	errs := make([]error, len(all))
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	var done sync.WaitGroup
	for i, b := range all {
		places <- struct{}{}
		done.Go(func() {
			defer func() { <-places }()
			began := time.Now()
			errs[i] = f(b)
			took[i] = float64(time.Since(began).Microseconds()) / 1000
		})
	}
	done.Wait()
	if err := errors.Join(errs...); err != nil {
		return took, err.Error()
	}
	return took, ""
}

// large is from how many bytes of a configuration on service.FinishConfigLoad collects what reading it took.
const large = 256 << 10

func (b *balancer) readMuch() bool { return b.config != nil && b.config.BytesRead() >= large }

func (b *balancer) start() error {
	c, err := config.Load(b.file)
	if err != nil {
		return err
	}
	b.config = c
	b.service, err = service.Start(c, "hollow")
	return err
}

func (b *balancer) reload() error {
	c, err := config.Reload(b.file, b.config)
	if err == nil {
		err = b.service.Apply(c)
	}
	if err == nil {
		b.config = c
		c.Commit()
	}
	return err
}

func (b *balancer) restart() error {
	b.service.Stop()
	b.service, b.config = nil, nil
	return b.start()
}

// Files repeats configurations until there are as many as balancers.
func Files(configurations []string, balancers int) []string {
	files := make([]string, balancers)
	for i := range files {
		files[i] = configurations[i%len(configurations)]
	}
	return slices.Clip(files)
}

// Serve is Run on the standard streams.
func Serve() error { return Run(os.Stdin, os.Stdout) }
