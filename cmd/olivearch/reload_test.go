package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/service"
)

const reloadLimit = 20 * time.Second

// testServer is a server in the test's process, which gets its signals from the test.
type testServer struct {
	server       *server
	hangups      chan os.Signal
	terminations chan os.Signal
	ended        chan error // the result of server.run
	url          string
}

// newTestServer prepares a server of a configuration file. At a reload it calls reload.
func newTestServer(
	t *testing.T, path string, reload func(current *config.Loaded) (*config.Loaded, error),
) *testServer {
	t.Helper()
	configuration, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	running, err := service.Start(configuration, "test")
	if err != nil {
		t.Fatal(err)
	}
	r := &testServer{
		hangups:      make(chan os.Signal, 1),
		terminations: make(chan os.Signal, 1),
		ended:        make(chan error, 1),
		url:          "http://" + running.Address("127.0.0.1:0").String(),
	}
	r.server = &server{
		service: running, configuration: configuration,
		hangups: r.hangups, terminations: r.terminations, reload: reload,
	}
	return r
}

func (r *testServer) run() { go func() { r.ended <- r.server.run() }() }

// hangup sends SIGHUP as signal.Notify does: it is dropped if one is waiting already.
func (r *testServer) hangup() {
	select {
	case r.hangups <- syscall.SIGHUP:
	default:
	}
}

// hasRoute reports whether a route with this path is in force.
func (r *testServer) hasRoute(t *testing.T, path string) bool {
	t.Helper()
	response, err := http.Get(r.url + path)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode != http.StatusNotFound
}

func configurationWithRoute(path string) string {
	return `listeners: [{address: '127.0.0.1:0'}]
classes: {c: {aim: 250ms, deadline: 1s}}
pools: {p: {nodes: {static: []}}}
routes:
- {name: one, path: {prefix: ` + path + `}, class: c, pool: p}
`
}

// TestReloadDuringReload: during a reload, the configuration changes twice, with a SIGHUP after each change. The last
// version must be in force in the end, and SIGTERM must not be lost among many SIGHUPs.
func TestReloadDuringReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.yaml")
	writeFile(t, path, configurationWithRoute("/a"))
	reloaded := make(chan string) // the path of the route in each configuration read
	var r *testServer
	reloads := 0
	r = newTestServer(t, path, func(current *config.Loaded) (*config.Loaded, error) {
		next, err := config.Reload(path, current)
		reloads++
		if reloads == 1 { // the file has been read: a later change needs another reload
			writeFile(t, path, configurationWithRoute("/c"))
			r.hangup()
			writeFile(t, path, configurationWithRoute("/d"))
			r.hangup()
			r.hangup()
		}
		reloaded <- next.Table.Rule("one").Path
		return next, err
	})
	r.run()
	writeFile(t, path, configurationWithRoute("/b"))
	r.hangup()
	for _, want := range []string{"/b", "/d"} {
		select {
		case got := <-reloaded:
			if got != want {
				t.Errorf("read %s, want %s", got, want)
			}
		case <-time.After(reloadLimit):
			t.Fatal("a SIGHUP was lost")
		}
	}
	waitUntil(t, reloadLimit, "the last version is in force", func() bool { return r.hasRoute(t, "/d") })
	for _, path := range []string{"/a", "/b", "/c"} {
		if r.hasRoute(t, path) {
			t.Errorf("an old version is in force: it has %s", path)
		}
	}
	for range 10 {
		r.hangup()
	}
	r.terminations <- syscall.SIGTERM
	requireEnds(t, r, reloaded)
}

// requireEnds waits until a server has ended without an error. It accepts further reloads before that.
func requireEnds(t *testing.T, r *testServer, reloaded <-chan string) {
	t.Helper()
	for {
		select {
		case <-reloaded:
		case err := <-r.ended:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(reloadLimit):
			t.Fatal("SIGTERM was lost")
		}
	}
}

func configurationWithTenants(tenants int) string {
	var text strings.Builder
	text.WriteString(`listeners: [{address: '127.0.0.1:0', connections: 20}]
limits:
  memory: 40MiB
  bodies: 1MiB
classes: {c: {aim: 250ms, deadline: 1s}}
pools: {p: {nodes: {static: []}, queue: 20}}
routes:
- {name: one, class: c, pool: p}
tenants:
`)
	for i := range tenants {
		fmt.Fprintf(&text, "  tenant-with-a-long-name-%06d: {quota: 5}\n", i)
	}
	return text.String()
}

// TestMemoryAtItsLimit: a configuration that needs more memory than its limit is rejected by check, at the start and by
// a reload, in one line with the place of the limit. After the reload, the current configuration stays in force.
func TestMemoryAtItsLimit(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "c.yaml")
	large := filepath.Join(folder, "big.yaml")
	writeFile(t, path, configurationWithTenants(10))
	writeFile(t, large, configurationWithTenants(80000))
	err := check([]string{large}, &strings.Builder{})
	switch {
	case err == nil:
		t.Error("check accepts it")
	case !strings.HasPrefix(err.Error(), large+":3:11: reading the file takes about"):
		t.Errorf("check: %v", err)
	case strings.Contains(err.Error(), "\n"):
		t.Errorf("check: more than one line: %v", err)
	}
	if _, err := config.Load(large); err == nil {
		t.Error("a start accepts it")
	}
	reloaded := make(chan error)
	var r *testServer
	var first *config.Loaded
	r = newTestServer(t, path, func(current *config.Loaded) (*config.Loaded, error) {
		if current != first {
			t.Error("another configuration is in force")
		}
		next, err := config.Reload(path, current)
		reloaded <- err
		return next, err
	})
	first = r.server.configuration
	r.run()
	writeFile(t, path, configurationWithTenants(80000))
	for range 2 {
		r.hangups <- syscall.SIGHUP
		err := <-reloaded
		if err == nil || !strings.Contains(err.Error(), "12 MiB of it for the configuration that holds") {
			t.Errorf("reload: %v", err)
		}
	}
	response, err := http.Get(r.url)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if r.server.service.View().Reloads != 0 {
		t.Error("the first configuration is no longer in force")
	}
	r.terminations <- syscall.SIGTERM
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
}

// poolsAndRoutes returns the pools and routes of a configuration, one route to each pool.
func poolsAndRoutes(count int) string {
	var pools, routes strings.Builder
	for i := range count {
		fmt.Fprintf(&pools, "  p%03d: {nodes: {file: l.yaml}}\n", i)
		fmt.Fprintf(&routes, "  - {name: r%03d, path: {prefix: /%d}, class: c, pool: p%03d}\n", i, i, i)
	}
	return "pools:\n" + pools.String() + "routes:\n" + routes.String()
}

// TestCheckAtSize: check reports the cost of 490 pools of one of many balancers within a few seconds. If there are too
// few descriptors or too little memory for them, it reports how much is needed.
func TestCheckAtSize(t *testing.T) {
	const limit = 5 * time.Second
	folder := t.TempDir()
	var list strings.Builder
	list.WriteString("nodes:\n")
	for i := range 60 {
		fmt.Fprintf(&list, "- {address: '127.0.0.1:%d'}\n", i+1)
	}
	writeFile(t, filepath.Join(folder, "l.yaml"), list.String())
	path := filepath.Join(folder, "c.yaml")
	poolsText := poolsAndRoutes(490)
	for _, c := range []struct{ limits, wantOutput, wantErr string }{
		{
			limits:     "{descriptors: 4096, memory: 512MiB}",
			wantOutput: "cost: 490 pools, 29400 nodes in lists, 490 routes, 0 tenants: about 75 MiB",
		},
		{
			limits:  "{descriptors: 1024}",
			wantErr: "c.yaml:1:23: listeners and pools may take 1050 with a reserve of 48, more than the 1024 there are",
		},
		{
			limits:  "{descriptors: 4096}",
			wantErr: "c.yaml:1:9: pools may hold 1960 requests, which can take 355 MiB",
		},
		{
			limits:     "{descriptors: 1200, memory: 160MiB}",
			wantOutput: "cost: 490 pools",
		},
		{
			limits:  "{descriptors: 1200, memory: 64MiB, bodies: 1MiB}",
			wantErr: "pools may hold 490 requests, which can take",
		},
	} {
		writeFile(t, path, "limits: "+c.limits+`
listeners: [{address: '127.0.0.1:0'}]
instances: {count: 1500, rank: 3}
classes: {c: {aim: 250ms, deadline: 1s}}
`+poolsText)
		var out strings.Builder
		began := time.Now()
		err := check([]string{path}, &out)
		if took := time.Since(began); took > limit {
			t.Errorf("%s: it took %v", c.limits, took)
		}
		if (err == nil) != (c.wantErr == "") {
			t.Errorf("%s: %v, want %q", c.limits, err, c.wantErr)
		}
		if err != nil && !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("%s: %v, want %q", c.limits, err, c.wantErr)
		}
		if !strings.Contains(out.String(), c.wantOutput) {
			t.Errorf("%s: %.300s\nwant %q", c.limits, &out, c.wantOutput)
		}
	}
	err := check([]string{path}, &strings.Builder{})
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) && len(joined.Unwrap()) > 1 {
		t.Errorf("more than one line: %v", err)
	}
}
