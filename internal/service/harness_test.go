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

// site is a running service on a fleet.
type site struct {
	*Service
	t      *testing.T
	judge  *fleet.Judge
	folder string
	url    string
	stop   func()
}

const listener = "127.0.0.1:0"

// begin starts a service. Lists are files in its folder, named list(NAME) in the text.
func begin(t *testing.T, j *fleet.Judge, folder, text string) *site {
	t.Helper()
	x := &site{t: t, judge: j, folder: folder}
	s, err := Start(x.parse(text), "test")
	if err != nil {
		t.Fatal(err)
	}
	x.Service, x.url = s, "http://"+s.Address(listener).String()
	x.stop = sync.OnceFunc(s.Stop)
	t.Cleanup(x.stop)
	return x
}

func (x *site) parse(text string) *config.Loaded {
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

func (x *site) apply(text string) {
	x.t.Helper()
	if err := x.Apply(x.parse(text)); err != nil {
		x.t.Fatal(err)
	}
}

func nodes(t *testing.T, j *fleet.Judge, n int, spec fleet.Spec) []*fleet.Node {
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

func (x *site) list(name string, entries ...endpointlist.Node) {
	x.t.Helper()
	write(x.t, x.judge, x.folder, name, entries...)
}

func write(t *testing.T, j *fleet.Judge, folder, name string, entries ...endpointlist.Node) {
	t.Helper()
	if err := fleet.WriteList(filepath.Join(folder, name), j, entries); err != nil {
		t.Fatal(err)
	}
}

func (x *site) clients(host, prefix string, effect fleet.Effect, rate float64) *fleet.Clients {
	return fleet.NewClients(fleet.Traffic{
		URL: x.url + "/", Host: host, Method: "POST", Body: "b", Effect: effect, Deadline: time.Second, Rate: rate,
		Seed: 5, Prefix: prefix,
	}, x.judge)
}

// until waits for the live view to show something.
func (x *site) until(what string, seen func(live.View) bool) {
	x.t.Helper()
	for end := time.Now().Add(20 * time.Second); !seen(x.View()); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatalf("not seen in time: %s\n%+v", what, x.View())
		}
	}
}

func (x *site) pool(name string) live.Pool {
	for _, p := range x.View().Pools {
		if p.Name == name {
			return p
		}
	}
	return live.Pool{}
}

// clean wants no rule broken.
func (x *site) clean() fleet.Summary {
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

// raw sends bytes and reads one answer.
func (x *site) raw(text string) response {
	x.t.Helper()
	return x.dial(text).readResponse()
}
