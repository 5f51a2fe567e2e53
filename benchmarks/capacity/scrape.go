package main

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"olivearch/internal/live"
)

// Scrape is what it costs to tell counters and levels to something that gathers them, and parts of the live view. Each is a mean.
type Scrape struct {
	N      int     `json:"n"`
	Series int     `json:"series"`
	Plain  float64 `json:"plain_bytes"`
	Packed float64 `json:"packed_bytes"` // with gzip
	CPUMS  float64 `json:"cpu_ms"`       // of one that is packed
	MB     float64 `json:"resident_mb"`  // after them
	// Of the live view with no nodes, and of the largest pool with the nodes that are used.
	NoNodes     float64 `json:"view_without_nodes_bytes"`
	NoNodesCPU  float64 `json:"view_without_nodes_cpu_ms"`
	OnePool     float64 `json:"view_of_largest_bytes"`
	OnePoolCPU  float64 `json:"view_of_largest_cpu_ms"`
	Whole       float64 `json:"view_bytes"`
	WholeCPU    float64 `json:"view_cpu_ms"`
	WholeMB     float64 `json:"resident_mb_after_view"`
	IdleTakenAs float64 `json:"idle_cpu"`
}

const (
	scrapeEvery  = 15     // s, as gatherers usually do
	scrapeMost   = 2_900  // bytes a second, a tenth of what control may spend
	scrapeCPUMax = 20     // ms of CPU, as a change
	controlBytes = 29_000 // a second
)

// scrape reads what a balancer tells after all its services have been asked.
func (r *rig) scrape(ctx context.Context, b *balancer, idle float64) (*Scrape, error) {
	x := &Scrape{N: r.times(12, 4), IdleTakenAs: idle}
	// In place of the client's own way with gzip, which hides the packed size.
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	get := func(path, encoding string) ([]byte, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.places.Admin+path, nil)
		if err != nil {
			return nil, err
		}
		if encoding != "" {
			req.Header.Set("Accept-Encoding", encoding)
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("%s: %s", path, resp.Status)
		}
		return text, err
	}
	// cost asks a few times, and returns the bytes of one and its CPU.
	cost := func(times int, path, encoding string) (size, cpu float64, last []byte, err error) {
		if last, err = get(path, encoding); err != nil { // the connection, and what is made once
			return 0, 0, nil, err
		}
		if err := calm(ctx, b.cpu, idle); err != nil {
			return 0, 0, nil, err
		}
		began, used := time.Now(), b.cpu()
		for range times {
			if last, err = get(path, encoding); err != nil {
				return 0, 0, nil, err
			}
			if err := rest(ctx, 100*time.Millisecond); err != nil {
				return 0, 0, nil, err
			}
		}
		cpu = (ms(b.cpu()-used) - 1000*idle*time.Since(began).Seconds()) / float64(times)
		return float64(len(last)), cpu, last, nil
	}
	var text []byte
	var err error
	if x.Packed, x.CPUMS, text, err = cost(x.N, "/metrics", "gzip"); err != nil {
		return nil, err
	}
	unpacked, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	if text, err = io.ReadAll(unpacked); err != nil {
		return nil, err
	}
	x.Plain = float64(len(text))
	for line := range bytes.Lines(text) {
		if line[0] != '#' {
			x.Series++
		}
	}
	x.MB = usage(b).ResidentMB
	largest := b.site.Services[len(b.site.Services)-1].Name
	if x.NoNodes, x.NoNodesCPU, _, err = cost(r.times(3, 1), "/v1/live?"+live.Part{Nodes: live.NoNodes}.Query(), ""); err != nil {
		return nil, err
	}
	if x.OnePool, x.OnePoolCPU, _, err = cost(r.times(3, 1), "/v1/live?"+live.Part{Pools: []string{largest}, Nodes: live.UsedNodes}.Query(), ""); err != nil {
		return nil, err
	}
	if x.Whole, x.WholeCPU, _, err = cost(1, "/v1/live", ""); err != nil {
		return nil, err
	}
	x.WholeMB = usage(b).ResidentMB
	say("  a scrape: %d series, %.0f bytes, %.0f packed, %.1f ms of CPU; view without nodes %.0f bytes, %.1f ms; of %s %.0f bytes, %.1f ms; whole %.0f bytes, %.0f ms; %.1f MB, %.1f after the view",
		x.Series, x.Plain, x.Packed, x.CPUMS, x.NoNodes, x.NoNodesCPU, largest, x.OnePool, x.OnePoolCPU, x.Whole, x.WholeCPU, x.MB, x.WholeMB)
	return x, nil
}

// judgeScrape holds the largest size against the bounds.
func (r *rig) judgeScrape(x *Scrape) {
	r.most(fmt.Sprintf("metrics each %d s, bytes a second", scrapeEvery), x.Packed/scrapeEvery, scrapeMost)
	r.most("a scrape, ms of CPU", x.CPUMS, scrapeCPUMax)
	r.plan(fmt.Sprintf("the same without gzip each %d s, bytes a second", scrapeEvery), x.Plain/scrapeEvery, controlBytes)
	r.plan(fmt.Sprintf("a live view without nodes each %d s, bytes a second", scrapeEvery), x.NoNodes/scrapeEvery, controlBytes)
	r.plan(fmt.Sprintf("a live view of all nodes each %d s, bytes a second", scrapeEvery), x.Whole/scrapeEvery, controlBytes)
}
