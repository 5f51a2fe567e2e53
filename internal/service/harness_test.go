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

// testService is a running service, usually with simulated nodes, and the tools to test it.
type testService struct {
	*Service
	t      *testing.T
	judge  *fleet.Judge // checks each request and its response
	folder string       // of the configuration and the endpoint lists
	url    string       // of the client listener
	stop   func()       // may be called more than once
}

// listener is the address of the client listener in test configurations. The system chooses the port.
const listener = "127.0.0.1:0"

// startService starts a service with the configuration that parse makes from a text, and stops it at the end of the
// test.
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

// parse parses a configuration that consists of a client listener, an admin listener and the text.
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

// apply applies a configuration, and fails the test if the service does not accept it.
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

// clients returns clients that send requests to a host at a rate per second. The request IDs begin with the prefix.
func (x *testService) clients(host, prefix string, effect fleet.Effect, rate float64) *fleet.Clients {
	return fleet.NewClients(fleet.Traffic{
		URL: x.url + "/", Host: host, Method: "POST", Body: "b", Effect: effect, Deadline: time.Second, Rate: rate,
		Seed: 5, Prefix: prefix,
	}, x.judge)
}

// waitFor waits up to 20 s until a condition holds for the live view.
func (x *testService) waitFor(description string, holds func(live.View) bool) {
	x.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(x.View()); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatalf("condition not met in time: %s\n%+v", description, x.View())
		}
	}
}

// pool returns a pool's part of the live view, or the zero value if there is no such pool.
func (x *testService) pool(name string) live.Pool {
	for _, p := range x.View().Pools {
		if p.Name == name {
			return p
		}
	}
	return live.Pool{}
}

// wantNoBreaches fails the test if a request broke one of the judge's rules, and returns the judge's counts.
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

// roundTrip sends a request on a new connection and reads the head of one response.
func (x *testService) roundTrip(text string) response {
	x.t.Helper()
	return x.dial(text).readResponse()
}
