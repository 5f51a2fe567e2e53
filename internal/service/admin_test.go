package service

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
)

// TestLiveViewTable reads the live view from the admin listener and prints it as "olivearch top" does.
func TestLiveViewTable(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 1, fleet.Spec{})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"))
	writeEndpoints(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := startService(t, j, folder, twoPools)
	x.waitFor(
		"both pools have an allotment of the node",
		func(live.View) bool { p := x.pool("a"); return len(p.Nodes) == 1 && p.Nodes[0].Part == 0.5 },
	)
	resp, err := http.Get("http://" + x.AdminAddress().String() + "/v1/live")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var v live.View
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	if err := v.Write(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"pool a: 0 of 100 open", "n0", "0.50"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("%q is not in\n%s", want, &table)
		}
	}
}

// getAdmin sends a GET request to the admin listener.
func (x *testService) getAdmin(path string) (status int, text string) {
	x.t.Helper()
	resp, err := http.Get("http://" + x.AdminAddress().String() + path)
	if err != nil {
		x.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		x.t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// livePart reads the part of the live view that a query selects from the admin listener.
func (x *testService) livePart(query string) (v live.View) {
	x.t.Helper()
	status, text := x.getAdmin("/v1/live?" + query)
	if err := json.Unmarshal([]byte(text), &v); err != nil || status != http.StatusOK {
		x.t.Fatalf("%s: %d, %v\n%s", query, status, err, text)
	}
	return v
}

// metricsWith returns the metrics once they contain a line, or after 5 s. It has to wait since gauges are up to a
// second old.
func (x *testService) metricsWith(line string) string {
	x.t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		_, text := x.getAdmin("/metrics")
		if strings.Contains(text, line) || time.Now().After(end) {
			return text
		}
	}
}

// TestMetricsAndPartialViews: the metrics have series for pools with requests and none for others. A part of the live
// view has the selected pools and endpoints, and an unknown pool or value is an error. A reload does not reset
// counters.
func TestMetricsAndPartialViews(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := startNodes(t, j, 2, fleet.Spec{})
	writeEndpoints(t, j, folder, "a.yaml", all[0].Entry("up"), all[1].Entry("draining"))
	writeEndpoints(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := startService(t, j, folder, twoPools)
	x.waitFor("both pools have their endpoints", func(live.View) bool {
		p := x.pool("a")
		return len(p.Nodes) == 2 && p.Nodes[0].Phase == "up" && len(x.pool("b").Nodes) == 1
	})
	if status := x.clients("a.example.org", "x", fleet.Unsafe, 1).Ask("1"); status != 200 {
		t.Fatal(status)
	}
	text := x.metricsWith(`olivearch_pools{state="made"} 1`)
	for _, want := range []string{
		`olivearch_requests_total{pool="a",result="served"} 1`,
		`olivearch_pool_nodes{pool="a",phase="up"} 1`,
		`olivearch_pool_nodes{pool="a",phase="draining"} 1`,
		`olivearch_nodes{phase="up"} 2`,
		`olivearch_pools_never_asked 1`,
		`olivearch_pools{state="made"} 1`,
		`olivearch_pools{state="unmade"} 1`,
		`olivearch_listener_connections_limit{`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is not in\n%s", want, text)
		}
	}
	if strings.Contains(text, `pool="b"`) {
		t.Error("pool b has had no requests but has series of its own")
	}
	if v := x.livePart("pool=b&pool=a"); len(v.Pools) != 2 || v.Pools[0].Name != "b" || len(v.Pools[1].Nodes) != 2 {
		t.Errorf("%+v", v.Pools)
	}
	if v := x.livePart(
		"pool=a&nodes=none",
	); len(v.Pools) != 1 || len(v.Pools[0].Nodes) != 0 || v.Pools[0].Served != 1 ||
		len(v.Listeners) != 1 {
		t.Errorf("%+v", v)
	}
	if v := x.livePart("nodes=used"); len(v.Pools[0].Nodes) != 2 || len(v.Pools[1].Nodes) != 0 { // b uses none
		t.Errorf("%+v", v.Pools)
	}
	if status, text := x.getAdmin(
		"/v1/live?pool=c",
	); status != http.StatusNotFound ||
		!strings.Contains(text, `no pool "c"`) {
		t.Errorf("%d, %s", status, text)
	}
	if status, text := x.getAdmin(
		"/v1/live?nodes=some",
	); status != http.StatusBadRequest ||
		!strings.Contains(text, "used") {
		t.Errorf("%d, %s", status, text)
	}
	x.apply(strings.Replace(twoPools, "queue: 100}\n  b", "queue: 101}\n  b", 1))
	if _, text := x.getAdmin(
		"/metrics",
	); !strings.Contains(text, `olivearch_requests_total{pool="a",result="served"} 1`) ||
		!strings.Contains(text, "olivearch_reloads_total 1") {
		t.Errorf("a reload reset the counters:\n%s", text)
	}
}

// TestLoadSources: the live view and its table show which nodes report their load, for which it is estimated, and why
// load reports could not be parsed.
func TestLoadSources(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	var entries []endpointlist.Node
	for id, report := range map[string]string{"reporting": "util=0.3", "silent": "", "malformed": "cpu=30%"} {
		n, err := fleet.NewNode(fleet.Spec{ID: id, Cores: 2, Queue: 50, Says: report}, j)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		entries = append(entries, n.Entry("up"))
	}
	writeEndpoints(t, j, folder, "a.yaml", entries...)
	writeEndpoints(t, j, folder, "b.yaml", entries...)
	x := startService(t, j, folder, twoPools)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { x.clients("a.example.org", "a", fleet.Unsafe, 400).Run(ctx) })
	x.waitFor("the source of each node's load is known", func(v live.View) bool {
		loads := map[string]string{}
		for _, n := range x.pool("a").Nodes {
			loads[n.ID] = n.Load
		}
		return loads["reporting"] == live.Reported && loads["silent"] == live.Estimated &&
			loads["malformed"] == live.Estimated
	})
	cancel()
	wg.Wait()
	var table strings.Builder
	v := x.View()
	if err := v.Write(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"load estimated", `reports unreadable ("cpu=30%" is not NAME=NUMBER)`} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("%q is not in\n%s", want, &table)
		}
	}
	x.wantNoBreaches()
}
