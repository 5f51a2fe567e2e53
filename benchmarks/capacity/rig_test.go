package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/discovery"
	"olivearch/internal/standin/loopnodes"
)

// TestLinesAreFoundFromWhereOneLooks: a line that came before does not count, one in two pieces does, and one that never comes is told.
func TestLinesAreFoundFromWhereOneLooks(t *testing.T) {
	l := &lines{came: make(chan struct{})}
	fmt.Fprint(l, "configuration read again\nother\nconfigura")
	from := l.count()
	if from != 2 || l.last() != "other" {
		t.Fatalf("%d lines, the last %q", from, l.last())
	}
	got := make(chan error, 1)
	go func() {
		line, err := l.await(from, 10*time.Second, "read again")
		if err == nil && line != "configuration read again 2" {
			err = fmt.Errorf("%q is found", line)
		}
		got <- err
	}()
	fmt.Fprint(l, "tion read again 2\n")
	if err := <-got; err != nil {
		t.Error(err)
	}
	if _, err := l.await(l.count(), time.Millisecond, "read again"); err == nil {
		t.Error("an old line is found")
	}
}

// TestCalmWaitsForWorkToEnd: a process that works for some looks and then rests is waited for, and one that never rests not for ever.
func TestCalmWaitsForWorkToEnd(t *testing.T) {
	looks := 0
	cpu := func() time.Duration { looks++; return time.Duration(min(looks, 6)) * 50 * time.Millisecond }
	if err := calm(context.Background(), cpu, 0.001); err != nil || looks != 9 {
		t.Errorf("%d looks, %v; the first, five with work and three without are wanted", looks, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := calm(ctx, cpu, 0); err == nil {
		t.Error("it waits on although the run has ended")
	}
}

// TestDirectoryTellsWhatACallerHasMissed: the whole list at first, an empty answer after the wait, and all that changed since.
func TestDirectoryTellsWhatACallerHasMissed(t *testing.T) {
	site, err := capacity.New(capacity.Size{Pools: 2, Nodes: 10, Routes: 2}, 1)
	if err != nil {
		t.Fatal(err)
	}
	d, err := newDirectory(site, 1, func(node int) string { return fmt.Sprintf("127.0.0.1:%d", node+1) })
	if err != nil {
		t.Fatal(err)
	}
	defer d.server.Close()
	ask := func(query string) (l discovery.Listing) {
		t.Helper()
		resp, err := http.Get("http://" + d.address + "/v1/servers" + query)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
		return l
	}
	if l := ask(""); !l.Complete || len(l.Members) != site.Services[1].Nodes || l.Revision != 1 {
		t.Errorf("%+v", l)
	}
	if l := ask("?since=1&timeout_ms=1"); l.Complete || len(l.Members) != 0 || l.Revision != 1 {
		t.Errorf("%+v", l)
	}
	d.change(0)
	d.change(2)
	d.change(0)
	if l := ask("?since=1&timeout_ms=1000"); l.Complete || len(l.Members) != 2 || l.Revision != 4 || l.Members[0].Phase != "up" || l.Members[1].Phase != "draining" {
		t.Errorf("%+v", l)
	}
	if l := ask("?since=3&timeout_ms=1000"); len(l.Members) != 1 {
		t.Errorf("%+v", l)
	}
	if d.calls.Load() != 4 || d.up.Load() == 0 || d.down.Load() == 0 {
		t.Errorf("%d calls, %d bytes up, %d down", d.calls.Load(), d.up.Load(), d.down.Load())
	}
}

// TestInForceWaitsForEveryBalancer: two balancers come round to the new node after some requests; each is asked until it has.
func TestInForceWaitsForEveryBalancer(t *testing.T) {
	var addresses []string
	var asked [2]atomic.Int64
	for i := range asked {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			node := "old"
			if asked[i].Add(1) > int64(3*i+1) {
				node = "new"
			}
			if r.Host != capacity.Host(0) {
				t.Errorf("host %s", r.Host)
			}
			w.Header().Set(loopnodes.NodeField, node)
		}))
		defer s.Close()
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	took, err := inForce(context.Background(), http.DefaultClient, addresses, "new", time.Now())
	if err != nil || len(took) != 2 || took[0] <= 0 || took[1] <= 0 || asked[0].Load() != 2 || asked[1].Load() != 5 {
		t.Errorf("%v, %v; asked %d and %d times", took, err, asked[0].Load(), asked[1].Load())
	}
	if _, err := inForce(context.Background(), http.DefaultClient, addresses, "never", time.Now().Add(-inForceWithin)); err == nil {
		t.Error("a change that never comes is in force")
	}
}

// TestBoundsAreHeldAgainstTheLargest: what is broken at the largest size of all together breaks the run, and a row that was not
// measured does too.
func TestBoundsAreHeldAgainstTheLargest(t *testing.T) {
	rows := func() []*Row {
		small := &Row{Factor: all, Size: smallest, ReadyMS: 10, IdleCPU: 0.001, IdleS: 5, ResidentMB: 12}
		large := &Row{Factor: all, Size: planned, ReadyMS: 4000, IdleCPU: 0.009, IdleS: 5, ResidentMB: 70, Changes: map[string]Change{
			comment: {N: 1, CPUMS: 19, P99MS: 900}, drain: {N: 1, CPUMS: 1, P99MS: 30},
		}}
		return []*Row{small, large}
	}
	f := factor{all, pools, []capacity.Size{smallest, planned}}
	broken := func(change func(*Row)) (what []string) {
		r := &rig{Figures: &Figures{Fits: map[string]capacity.Fit{}}}
		x := rows()
		change(x[1])
		r.fit(f, x)
		what = r.Broken
		for _, b := range r.Bounds {
			if !b.Holds {
				what = append(what, b.What)
			}
		}
		return what
	}
	if got := broken(func(*Row) {}); len(got) > 0 {
		t.Errorf("broken: %v", got)
	}
	for name, change := range map[string]func(*Row){
		"ready":      func(r *Row) { r.ReadyMS = 5001 },
		"idle":       func(r *Row) { r.IdleCPU = 0.011 },
		"resident":   func(r *Row) { r.ResidentMB = 76.1 },
		"cpu":        func(r *Row) { r.Changes[comment] = Change{N: 1, CPUMS: 20.1, P99MS: 1} },
		"in force":   func(r *Row) { r.Changes[drain] = Change{N: 1, CPUMS: 1, P99MS: 1001} },
		"failed":     func(r *Row) { r.Changes[drain] = Change{Why: "it did not come"} },
		"not seen":   func(r *Row) { r.Why = "it does not answer" },
		"added":      func(r *Row) { r.Traffic = &Traffic{With: Seen{AddedP99: 1.2}} },
		"noise":      func(r *Row) { r.Traffic = &Traffic{With: Seen{AddedP99: 0.5, Relay99: 1.2}} },
		"one round":  func(r *Row) { r.Traffic = &Traffic{Rounds: []Seen{{Wrong: 1}, {}}} },
		"scrape":     func(r *Row) { r.Scrape = &Scrape{Packed: 44_000} },
		"scrape CPU": func(r *Row) { r.Scrape = &Scrape{CPUMS: 20.1} },
		"unanswered": func(r *Row) { r.Traffic = &Traffic{With: Seen{Wrong: 1}} },
	} {
		if got := broken(change); len(got) != 1 {
			t.Errorf("%s: broken: %v", name, got)
		}
	}
}

// TestPagesAreWritten writes figures, tables and plots of rows of which one failed.
func TestPagesAreWritten(t *testing.T) {
	folder := t.TempDir()
	r := &rig{Figures: &Figures{
		Fits: map[string]capacity.Fit{}, Discovery: &Discovery{Lists: 20}, Calibration: &Calibration{Factors: map[string]float64{"idle_cpu": 1.2}, Outside: []string{"idle_cpu"}},
		Fleet: &Fleet{Steps: []Step{{Balancers: 20}}},
	}, options: options{out: folder, name: "x"}}
	for _, f := range []factor{{all, pools, nil}, {"nodes", nodes, nil}} {
		var rows []*Row
		for i := range 3 {
			rows = append(rows, &Row{
				Factor: f.name, Size: capacity.Size{Pools: 2 + 10*i, Nodes: 40 + 100*i, Routes: 10, Tenants: i}, ReadyMS: float64(100 * i), IdleS: 5, IdleCPU: 0.1, ResidentMB: 10,
				Changes: map[string]Change{comment: {N: 2, CPUMS: float64(i), P50MS: 3, P99MS: 4}}, Traffic: &Traffic{}, Scrape: &Scrape{Series: 4711},
			})
		}
		rows[2].Why = "it does not answer"
		r.Rows = append(r.Rows, rows...)
		r.fit(f, rows)
	}
	if err := r.write(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(folder, "x.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"it does not answer", "| nodes | ready |", "over 10 %", "A fleet of hollow", "**broken**", "| 4711 |"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is not in the page", want)
		}
	}
	if plots, err := filepath.Glob(filepath.Join(folder, "x-*.svg")); err != nil || len(plots) < 5 {
		t.Errorf("plots: %v, %v", plots, err)
	}
	var back Figures
	if text, err = os.ReadFile(filepath.Join(folder, "x.json")); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &back); err != nil || len(back.Rows) != 6 {
		t.Errorf("%d rows, %v", len(back.Rows), err)
	}
	if c := back.Rows[0].change("unknown"); !math.IsNaN(c.CPUMS) {
		t.Errorf("%+v", c)
	}
}
