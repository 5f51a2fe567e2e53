package service

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/live"
	"olivearch/internal/standin/fleet"
)

// testService is a running service with simulated nodes.
type testService struct {
	*Service
	t      *testing.T
	judge  *fleet.Judge // checks each request and its response
	folder string       // of configuration and endpoint lists
	url    string       // of the listener for clients
	stop   func()       // may be called more than once
}

// listener is the address that test configurations have for clients: the system chooses the port.
const listener = "127.0.0.1:0"

// startService starts a service with a configuration, to which parse adds the listeners. It is stopped at the end of
// the test.
func startService(t *testing.T, j *fleet.Judge, folder, text string) *testService {
	t.Helper()
	x := &testService{t: t, judge: j, folder: folder}
	s, err := Start(x.parse(text), "test")
	if err != nil {
		t.Fatal(err)
	}
	x.Service, x.url = s, "http://"+s.Address(listener).String()
	x.stop = sync.OnceFunc(s.Stop)
	t.Cleanup(x.stop)
	return x
}

// parse reads a configuration, with a listener for clients and one for operators before the text.
func (x *testService) parse(text string) *config.Loaded {
	x.t.Helper()
	c, err := config.Parse(
		filepath.Join(x.folder, "c.yaml"),
		[]byte("listeners: [{address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\n"+text),
	)
	if err != nil {
		x.t.Fatal(err)
	}
	return c
}

// apply reloads with a configuration, which must be accepted.
func (x *testService) apply(text string) {
	x.t.Helper()
	if err := x.Apply(x.parse(text)); err != nil {
		x.t.Fatal(err)
	}
}

// startNodes starts nodes n0, n1 and so on.
func startNodes(t *testing.T, j *fleet.Judge, n int, spec fleet.Spec) []*fleet.Node {
	t.Helper()
	var all []*fleet.Node
	for i := range n {
		spec.ID, spec.Seed = fmt.Sprintf("n%d", i), uint64(i)
		if spec.Cores == 0 {
			spec.Cores, spec.Queue, spec.Reports = 2, 50, 100*time.Millisecond
		}
		x, err := fleet.NewNode(spec, j)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		all = append(all, x)
	}
	return all
}

// writeList writes an endpoint list into the service's folder.
func (x *testService) writeList(name string, entries ...endpointlist.Node) {
	x.t.Helper()
	writeEndpoints(x.t, x.judge, x.folder, name, entries...)
}

func writeEndpoints(t *testing.T, j *fleet.Judge, folder, name string, entries ...endpointlist.Node) {
	t.Helper()
	if err := fleet.WriteList(filepath.Join(folder, name), j, entries); err != nil {
		t.Fatal(err)
	}
}

// clients returns clients of a host that send requests per second, with IDs that begin with the prefix.
func (x *testService) clients(host, prefix string, effect fleet.Effect, rate float64) *fleet.Clients {
	return fleet.NewClients(fleet.Traffic{
		URL: x.url + "/", Host: host, Method: "POST", Body: "b", Effect: effect, Deadline: time.Second, Rate: rate,
		Seed: 5, Prefix: prefix,
	}, x.judge)
}

// waitFor waits up to 20 s for the live view to show something.
func (x *testService) waitFor(what string, seen func(live.View) bool) {
	x.t.Helper()
	for end := time.Now().Add(20 * time.Second); !seen(x.View()); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatalf("not seen in time: %s\n%+v", what, x.View())
		}
	}
}

// pool returns a pool's part of the live view; the zero value if there is none.
func (x *testService) pool(name string) live.Pool {
	for _, p := range x.View().Pools {
		if p.Name == name {
			return p
		}
	}
	return live.Pool{}
}

// wantNoBreaches fails the test if a request broke one of the judge's rules, and returns the counts.
func (x *testService) wantNoBreaches() fleet.Summary {
	x.t.Helper()
	s := x.judge.Verdict(250 * time.Millisecond)
	for _, b := range s.Breaches {
		x.t.Error(b)
	}
	return s
}

const twoPools = `
classes: {c: {aim: 250ms, deadline: 1s}, r: {repeat: safe, aim: 250ms, deadline: 1s}}
pools:
  a: {nodes: {file: a.yaml}, queue: 100}
  b: {nodes: {file: b.yaml}, queue: 100}
routes:
  - {name: a, hosts: [a.example.org], class: c, pool: a}
  - {name: b, hosts: [b.example.org], class: r, pool: b}
`

// roundTrip sends bytes on a new connection and reads one response.
func (x *testService) roundTrip(text string) response {
	x.t.Helper()
	return x.dial(text).readResponse()
}
