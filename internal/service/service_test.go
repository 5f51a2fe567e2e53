package service

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
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
	c, err := config.Parse(filepath.Join(x.folder, "c.yaml"), []byte("listeners: [{address: '127.0.0.1:0'}]\nadmin: {address: '127.0.0.1:0'}\n"+text))
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

func (x *site) clients(host, path, prefix string, effect fleet.Effect, rate float64) *fleet.Clients {
	return fleet.NewClients(fleet.Traffic{
		URL: x.url + path, Host: host, Method: "POST", Body: "b", Effect: effect, Deadline: time.Second, Rate: rate,
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

// TestStalledPoolHarmsNoOther: every node of pool a takes requests and answers none, and its aim is so long that the module
// goes on holding what comes: without the queue bound pool a would hold all of the listener's connections. Pool b goes on
// in time, and each request of a gets one final answer.
func TestStalledPoolHarmsNoOther(t *testing.T) {
	const connections = 150
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 4, fleet.Spec{Work: 5 * time.Millisecond})
	write(t, j, folder, "a.yaml", all[0].Entry("up"), all[1].Entry("up"))
	write(t, j, folder, "b.yaml", all[2].Entry("up"), all[3].Entry("up"))
	x := begin(t, j, folder, "limits: {descriptors: 300}\n"+strings.NewReplacer("c: {aim: 250ms, deadline: 1s}", "c: {aim: 3s, deadline: 3s}",
		"a.yaml}, queue: 100", "a.yaml}, queue: 80", "b.yaml}, queue: 100", "b.yaml}, queue: 60").Replace(twoPools))
	all[0].Stall(true)
	all[1].Stall(true)
	a := fleet.NewClients(fleet.Traffic{
		URL: x.url, Host: "a.example.org", Method: "POST", Effect: fleet.Unsafe, Deadline: 3 * time.Second, Rate: 300,
		Seed: 5, Prefix: "a",
	}, j)
	b := x.clients("b.example.org", "/", "b", fleet.Safe, 100)
	ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	x.until("pool a holds all that it may", func(live.View) bool { return x.pool("a").Open == 80 })
	wg.Go(func() { b.Run(ctx) })
	wg.Wait()
	s := x.clean()
	if most := x.View().Listeners[0].Limit; most != connections {
		t.Errorf("the listener takes %d connections, the test is made for %d", most, connections)
	}
	if b.Served() < 100 || b.Quantile(0.99) > 250*time.Millisecond {
		t.Errorf("pool b: %d served, p99 %v", b.Served(), b.Quantile(0.99))
	}
	if a.Served() > 0 || s.Refused+s.Failed < 400 {
		t.Errorf("pool a: %d served by nodes that answer none; %d refused, %d failed", a.Served(), s.Refused, s.Failed)
	}
}

// TestReloadsUnderLoad reloads ten times a second: the route of b moves to and fro between pools, the pool "extra" comes and
// goes, and pool a does not change: it keeps its windows. No request is lost, none runs twice.
func TestReloadsUnderLoad(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 3, fleet.Spec{Work: 5 * time.Millisecond})
	for _, name := range []string{"a.yaml", "b.yaml"} {
		write(t, j, folder, name, all[0].Entry("up"), all[1].Entry("up"), all[2].Entry("up"))
	}
	moved := strings.NewReplacer("class: r, pool: b", "class: r, pool: extra", "routes:", "  extra: {nodes: {file: b.yaml}, queue: 50}\nroutes:").Replace(twoPools)
	x := begin(t, j, folder, twoPools)
	a, b := x.clients("a.example.org", "/", "a", fleet.Unsafe, 100), x.clients("b.example.org", "/", "b", fleet.Safe, 100)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { a.Run(ctx) })
	wg.Go(func() { b.Run(ctx) })
	readings, reloads := 0, 0
	for tick := time.NewTicker(100 * time.Millisecond); ctx.Err() == nil; <-tick.C {
		reloads++
		if reloads%2 == 1 {
			x.apply(moved)
		} else {
			x.apply(twoPools)
		}
		n := 0
		for _, node := range x.pool("a").Nodes {
			n += node.Readings
		}
		if n < readings {
			t.Errorf("pool a had %d readings before a reload and %d after it", readings, n)
		}
		readings = n
	}
	wg.Wait()
	s := x.clean()
	if s.Failed > 0 || s.Served < s.Asked*9/10 || reloads < 15 || readings < 10 {
		t.Errorf("%d of %d served, %d failed, %d refused, in %d reloads; %d readings", s.Served, s.Asked, s.Failed, s.Refused, reloads, readings)
	}
	if got := x.View().Reloads; got != reloads {
		t.Errorf("%d reloads shown, %d made", got, reloads)
	}
}

// TestRemovedPoolAnswersWhatItHolds: a reload moves the route away and removes the pool while a request waits at a node.
func TestRemovedPoolAnswersWhatItHolds(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 2, fleet.Spec{})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	write(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := begin(t, j, folder, twoPools)
	all[0].Stall(true)
	answered := make(chan int)
	go func() { answered <- x.clients("a.example.org", "/", "x", fleet.Unsafe, 1).Ask("held") }()
	x.until("the request is at the node", func(live.View) bool {
		for _, n := range x.pool("a").Nodes {
			if n.Out == 1 {
				return true
			}
		}
		return false
	})
	x.apply(`
classes: {c: {aim: 250ms, deadline: 1s}}
pools: {b: {nodes: {file: b.yaml}, queue: 100}}
routes: [{name: a, hosts: [a.example.org], class: c, pool: b}]
`)
	if status := x.clients("a.example.org", "/", "x", fleet.Unsafe, 1).Ask("next"); status != 200 || all[1].Runs() != 1 {
		t.Errorf("after the move: %d, %d runs at the new pool's node", status, all[1].Runs())
	}
	all[0].Stall(false)
	if status := <-answered; status != 200 {
		t.Errorf("the held request got %d", status)
	}
	x.retiring.Wait() // the removed pool ends
	x.clean()
}

// TestDrains: a node drains in the list of a and not in that of b. By default no pool sends there; where b goes by its own
// list, b does.
func TestDrains(t *testing.T) {
	for _, own := range []bool{false, true} {
		j, folder := fleet.NewJudge(time.Second), t.TempDir()
		all := nodes(t, j, 2, fleet.Spec{})
		write(t, j, folder, "a.yaml", all[0].Entry("up"), all[1].Entry("up"))
		write(t, j, folder, "b.yaml", all[0].Entry("up"), all[1].Entry("up"))
		text := twoPools
		if own {
			text = strings.Replace(text, "b: {nodes: {file: b.yaml}", "b: {drains: own, nodes: {file: b.yaml}", 1)
		}
		x := begin(t, j, folder, text)
		phase := func(pool, node string) string {
			for _, n := range x.pool(pool).Nodes {
				if n.ID == node {
					return n.Phase
				}
			}
			return "none"
		}
		x.until("both nodes are up", func(live.View) bool { return phase("a", "n0") == "up" && phase("b", "n0") == "up" })
		write(t, fleet.NewJudge(0), folder, "a.yaml", all[0].Entry(endpointlist.Draining), all[1].Entry("up"))
		x.until("the drain in a", func(live.View) bool { return phase("a", "n0") == "draining" })
		if own {
			x.until("b keeps the node", func(live.View) bool { return phase("b", "n0") == "up" })
		} else {
			x.until("b has heard", func(live.View) bool { return phase("b", "n0") == "draining" })
		}
		before := all[0].Runs()
		for i := range 20 {
			x.clients("a.example.org", "/", "a", fleet.Unsafe, 1).Ask(fmt.Sprint("a", i))
		}
		if got := all[0].Runs(); got != before {
			t.Errorf("own %v: pool a sent %d to a node that drains", own, got-before)
		}
		for i := range 20 {
			x.clients("b.example.org", "/", "b", fleet.Safe, 1).Ask(fmt.Sprint("b", i))
		}
		if got := all[0].Runs() - before; (got > 0) != own {
			t.Errorf("own %v: pool b sent %d to a node that drains by a's list", own, got)
		}
		x.clean()
	}
}

// TestSilentList: the list of a is torn while that of b goes on. The last one holds, its age and trouble are shown, and
// after its hold the pool refuses at once; a whole list ends that.
func TestSilentList(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 2, fleet.Spec{})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	write(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := begin(t, j, folder, strings.Replace(twoPools, "a: {nodes: {file: a.yaml}", "a: {nodes: {file: a.yaml, hold: 500ms}", 1))
	ask := func(host, id string) int { return x.clients(host, "/", "x", fleet.Unsafe, 1).Ask(id) }
	if err := os.WriteFile(filepath.Join(folder, "a.yaml"), []byte("nodes: [{addr"), 0o600); err != nil {
		t.Fatal(err)
	}
	x.until("the trouble", func(live.View) bool { return strings.Contains(x.pool("a").Trouble, "a.yaml:1:") })
	if p := x.pool("a"); len(p.Nodes) != 1 || p.Nodes[0].Phase != "up" {
		t.Errorf("a torn list changed something: %+v", p.Nodes)
	}
	x.until("the hold is over", func(live.View) bool { return x.pool("a").Expired })
	before := time.Now()
	if status := ask("a.example.org", "1"); status != 503 || time.Since(before) > 500*time.Millisecond {
		t.Errorf("with an expired list: %d after %v", status, time.Since(before))
	}
	if status := ask("b.example.org", "2"); status != 200 {
		t.Errorf("the other pool: %d", status)
	}
	x.list("a.yaml", all[0].Entry("up"))
	x.until("the list is whole", func(live.View) bool { return !x.pool("a").Expired })
	if status := ask("a.example.org", "3"); status != 200 {
		t.Errorf("with a whole list: %d", status)
	}
	x.clean()
}

// TestSharedColdNode restarts a node that six pools list, each beside a busy node of its own by which it judges what a whole
// one can do. The fleet's judge sees what comes to it from all of them. The node bears a quarter of what the configuration
// says, so that the module's own margins do not hide the parts: without them it falls over.
func TestSharedColdNode(t *testing.T) {
	x, all := sharedNode(t, 64)
	shared := all[len(all)-1]
	ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
	defer cancel()
	wait := x.drive(ctx)
	shared.Crash()
	if err := shared.Restart(); err != nil {
		t.Fatal(err)
	}
	x.sharedLists(all)
	wait()
	if shared.Fallen() || shared.Runs() == 0 {
		t.Errorf("the cold node: fallen %v, %d runs", shared.Fallen(), shared.Runs())
	}
	t.Logf("the cold node was sent %.2f of what pushes it over", shared.ColdPeak())
	x.clean()
}

// TestSharedNodesConnections: six pools hold no more connections to a node together than it takes, by the node's count.
func TestSharedNodesConnections(t *testing.T) {
	const most = 6
	x, all := sharedNode(t, most)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	x.drive(ctx)()
	shared := all[len(all)-1]
	if n, _ := shared.Connections(); n > most || shared.Runs() < 50 {
		t.Errorf("the shared node had %d connections at once, %d are allowed over all pools; %d runs", n, most, shared.Runs())
	}
	x.clean()
}

const sharers = 6

// sharedNode starts a service with pools that list a node of their own each, and the last one all together.
func sharedNode(t *testing.T, connections int) (*site, []*fleet.Node) {
	t.Helper()
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, sharers+1, fleet.Spec{
		Cores: 2, Queue: 200, Work: 20 * time.Millisecond, Reports: 100 * time.Millisecond, ColdFrom: 0.33, Ramp: 20 * time.Second,
		Multiple: 0.75, Window: 1500 * time.Millisecond,
	})
	text := fmt.Sprintf("classes: {c: {aim: 250ms, deadline: 1s}}\nrules: {ramp_time: 20s}\nlimits: {node_connections: %d}\npools:\n", connections)
	routes := "routes:\n"
	for i := range sharers {
		text += fmt.Sprintf("  p%d: {nodes: {file: p%d.yaml}}\n", i, i)
		routes += fmt.Sprintf("  - {name: r%d, hosts: [h%d], class: c, pool: p%d}\n", i, i, i)
	}
	x := &site{t: t, judge: j, folder: folder}
	x.sharedLists(all)
	return begin(t, j, folder, text+routes), all
}

func (x *site) sharedLists(all []*fleet.Node) {
	x.t.Helper()
	for i := range sharers {
		x.list(fmt.Sprintf("p%d.yaml", i), all[i].Entry("up"), all[sharers].Entry("up"))
	}
}

// drive sends to all pools, and returns once they have learnt how long nodes take. What it returns waits for the end.
func (x *site) drive(ctx context.Context) (wait func()) {
	x.t.Helper()
	var wg sync.WaitGroup
	for i := range sharers {
		wg.Go(func() { x.clients(fmt.Sprint("h", i), "/", fmt.Sprint("p", i), fleet.Unsafe, 90).Run(ctx) })
	}
	x.until("all pools have learnt", func(v live.View) bool {
		for _, p := range v.Pools {
			if p.Served < 100 {
				return false
			}
		}
		return true
	})
	return wg.Wait
}

// TestQueueBound: a pool that holds as many requests as it may turns the next one away at once, with when to come back in
// whole seconds, and does not close the connection.
func TestQueueBound(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 1, fleet.Spec{})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	write(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := begin(t, j, folder, strings.Replace(twoPools, "a: {nodes: {file: a.yaml}, queue: 100}", "a: {nodes: {file: a.yaml}, queue: 2}", 1))
	all[0].Stall(true)
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() { x.clients("a.example.org", "/", "x", fleet.Unsafe, 1).Ask(fmt.Sprint(i)) })
	}
	x.until("the pool is full", func(live.View) bool { return x.pool("a").Open == 2 })
	resp := x.raw("POST / HTTP/1.1\r\nHost: a.example.org\r\nContent-Length: 0\r\n\r\n")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" || resp.Close {
		t.Errorf("%d, %v, close %v", resp.StatusCode, resp.Header, resp.Close)
	}
	all[0].Stall(false)
	wg.Wait()
	if got := x.pool("a").TurnedAway; got != 1 {
		t.Errorf("%d turned away", got)
	}
	x.clean()
}

// raw sends bytes and reads one answer.
func (x *site) raw(text string) *http.Response {
	x.t.Helper()
	_, in := x.dial(text)
	return answer(x.t, in)
}

// TestOneReading: however host and path are spelt, a request comes to the route of its canonical reading or is turned away,
// and the node gets that reading.
func TestOneReading(t *testing.T) {
	type got struct{ host, target string }
	arrived := make(chan got, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- got{r.Host, r.RequestURI}
		w.Header().Set("X-Kept", "yes")
		w.Header().Set("X-Load", "util=0.5") // for the balancer, as is what Connection names
		w.Header().Set("X-Hop", "1")
		w.Header().Set("Connection", "X-Hop")
		w.WriteHeader(http.StatusCreated)
	})}
	go node.Serve(l)
	t.Cleanup(func() { node.Close() })
	x := begin(t, fleet.NewJudge(0), t.TempDir(), fmt.Sprintf(`
classes: {c: {aim: 250ms, deadline: 5s}, k: {repeat: keyed, memory: 1m, aim: 250ms, deadline: 5s}, d: {aim: 250ms, deadline: 5s}}
pools: {p: {nodes: {static: [{address: '%s'}]}}}
routes:
  - {name: open, hosts: [a.example.org], path: {prefix: /open}, class: c, pool: p}
  - {name: key, hosts: [a.example.org], path: {prefix: /key}, class: k, pool: p}
  - {name: field, hosts: [a.example.org], path: {exact: /field}, headers: {X-Gate: '7'}, class: d, pool: p}
`, l.Addr()))
	for _, c := range []struct {
		line, fields string
		status       int
		host, target string
	}{
		{"POST /open/x?q=/../y", "Host: A.example.org:80", 201, "a.example.org", "/open/x?q=/../y"},
		{"POST http://a.example.org/open", "Host: b.example.org", 201, "a.example.org", "/open"}, // RFC 9112, section 3.2.2
		{"POST http://b.example.org/open", "Host: a.example.org", 404, "", ""},
		{"POST /open/%2e%2e/key", "Host: a.example.org", 400, "", ""}, // it is the keyed route's, and has no key
		{"POST /open/%2e%2e/key", "Host: a.example.org\r\nIdempotency-Key: 1", 201, "a.example.org", "/key"},
		{"POST //open//x", "Host: a.example.org", 201, "a.example.org", "/open/x"},
		{"POST /%6fpen", "Host: a.example.org", 201, "a.example.org", "/open"},
		{"POST /open%2fx", "Host: a.example.org", 400, "", ""},
		{"POST /open/..%5ckey", "Host: a.example.org", 400, "", ""},
		{"POST /open/..;/key", "Host: a.example.org", 400, "", ""},
		{"POST /../open", "Host: a.example.org", 400, "", ""},
		{"POST /open", "Host: a.example.org\r\nHost: a.example.org", 400, "", ""},
		{"POST /open", "X-Nothing: 1", 400, "", ""},
		{"POST http://a.example.org/open", "X-Nothing: 1", 400, "", ""},
		{"POST /open", "Host: a.example.org\r\nX-Class: d", 400, "", ""}, // host and path say c
		{"POST /open", "Host: a.example.org\r\nX-Class: c", 201, "a.example.org", "/open"},
		{"POST /field", "Host: a.example.org\r\nX-Gate: 7", 201, "a.example.org", "/field"},
		{"POST /field", "Host: a.example.org\r\nX-Gate: 7\r\nX-Gate: 8", 404, "", ""},
		{"POST /opened", "Host: a.example.org", 404, "", ""},
		{"CONNECT a.example.org:80", "Host: a.example.org", 501, "", ""},
	} {
		resp := x.raw(c.line + " HTTP/1.1\r\n" + c.fields + "\r\nContent-Length: 0\r\n\r\n")
		if resp.StatusCode != c.status {
			t.Errorf("%s, %q: %d, want %d", c.line, c.fields, resp.StatusCode, c.status)
		}
		if c.status == 201 {
			if g := <-arrived; g != (got{c.host, c.target}) || resp.Header.Get("X-Kept") != "yes" || resp.Header.Get("X-Load") != "" || resp.Header.Get("X-Hop") != "" {
				t.Errorf("%s: the node got %+v; fields %v", c.line, g, resp.Header)
			}
		}
	}
	if len(arrived) > 0 {
		t.Errorf("a request that was turned away reached a node: %+v", <-arrived)
	}
}

// TestClientsDeadlineWins: of client, route and class the shortest wait counts.
func TestClientsDeadlineWins(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 1, fleet.Spec{})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	all[0].Stall(true)
	x := begin(t, j, folder, `
classes: {c: {aim: 100ms, deadline: 30s}}
pools: {p: {nodes: {file: a.yaml}}}
routes:
  - {name: long, path: {prefix: /long}, class: c, pool: p, deadline: 60s}
  - {name: short, path: {prefix: /short}, class: c, pool: p, deadline: 300ms}
`)
	for path, client := range map[string]int{"/long": 300, "/short": 20000} {
		at := time.Now()
		resp := x.raw(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", path, client))
		if took := time.Since(at); resp.StatusCode < 500 || took > 10*time.Second {
			t.Errorf("%s with a client that waits %d ms: %d after %v", path, client, resp.StatusCode, took)
		}
	}
}

// TestBadReloadChangesNothing: a listener that can't be had, or a new pool whose list is torn, stop the whole reload.
func TestBadReloadChangesNothing(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 1, fleet.Spec{})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	write(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := begin(t, j, folder, twoPools)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if err := os.WriteFile(filepath.Join(folder, "torn.yaml"), []byte("nodes: ["), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		strings.Replace(twoPools, "routes:", "  c: {nodes: {file: torn.yaml}}\nroutes:", 1),
		strings.Replace(twoPools, "routes:", "  c: {nodes: {file: none.yaml}}\nroutes:", 1),
	} {
		if err := x.Apply(x.parse(strings.Replace(text, "pool: b}", "pool: c}", 1))); err == nil {
			t.Error("a bad reload was taken")
		}
	}
	c := x.parse(strings.Replace(twoPools, "pool: b}", "pool: a}", 1))
	c.Listeners = append(c.Listeners, config.Listener{Name: "second", Address: taken.Addr().String(), Connections: 10})
	if err := x.Apply(c); err == nil || !strings.Contains(err.Error(), "second") {
		t.Errorf("a listener that is taken: %v", err)
	}
	if v := x.View(); v.Reloads != 0 || len(v.Pools) != 2 || len(v.Listeners) != 1 {
		t.Errorf("%+v", v)
	}
	if status := x.clients("b.example.org", "/", "x", fleet.Safe, 1).Ask("1"); status != 200 || x.pool("b").Served != 1 {
		t.Errorf("%d, %+v", status, x.pool("b"))
	}
	x.clean()
}

// TestAdmin reads the live view as top does.
func TestAdmin(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 1, fleet.Spec{})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	write(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := begin(t, j, folder, twoPools)
	x.until("shares are told", func(live.View) bool { p := x.pool("a"); return len(p.Nodes) == 1 && p.Nodes[0].Part == 0.5 })
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

// TestMetricsAndParts: counters by service are told without asking any pool, one that nobody asked has no series; a part of the live view has what was
// asked for and names what there is not.
func TestMetricsAndParts(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 2, fleet.Spec{})
	write(t, j, folder, "a.yaml", all[0].Entry("up"), all[1].Entry("draining"))
	write(t, j, folder, "b.yaml", all[0].Entry("up"))
	x := begin(t, j, folder, twoPools)
	x.until("lists and shares are told", func(live.View) bool {
		p := x.pool("a")
		return len(p.Nodes) == 2 && p.Nodes[0].Phase == "up" && len(x.pool("b").Nodes) == 1
	})
	get := func(path string) (int, string) {
		t.Helper()
		resp, err := http.Get("http://" + x.AdminAddress().String() + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(text)
	}
	if status := x.clients("a.example.org", "/", "x", fleet.Unsafe, 1).Ask("1"); status != 200 {
		t.Fatal(status)
	}
	var text string
	for end := time.Now().Add(5 * time.Second); !strings.Contains(text, `olivearch_pools{state="made"} 1`); time.Sleep(10 * time.Millisecond) { // levels are up to a second old
		if _, text = get("/metrics"); time.Now().After(end) {
			break
		}
	}
	for _, want := range []string{
		`olivearch_requests_total{pool="a",result="served"} 1`, `olivearch_pool_nodes{pool="a",phase="up"} 1`, `olivearch_pool_nodes{pool="a",phase="draining"} 1`,
		`olivearch_nodes{phase="up"} 2`, `olivearch_pools_never_asked 1`, `olivearch_pools{state="made"} 1`, `olivearch_pools{state="unmade"} 1`, `olivearch_listener_connections_limit{`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is not in\n%s", want, text)
		}
	}
	if strings.Contains(text, `pool="b"`) {
		t.Error("pool b, which nobody has asked, has series of its own")
	}
	part := func(query string) (v live.View) {
		t.Helper()
		status, text := get("/v1/live?" + query)
		if err := json.Unmarshal([]byte(text), &v); err != nil || status != http.StatusOK {
			t.Fatalf("%s: %d, %v\n%s", query, status, err, text)
		}
		return v
	}
	if v := part("pool=b&pool=a"); len(v.Pools) != 2 || v.Pools[0].Name != "b" || len(v.Pools[1].Nodes) != 2 {
		t.Errorf("%+v", v.Pools)
	}
	if v := part("pool=a&nodes=none"); len(v.Pools) != 1 || len(v.Pools[0].Nodes) != 0 || v.Pools[0].Served != 1 || len(v.Listeners) != 1 {
		t.Errorf("%+v", v)
	}
	if v := part("nodes=used"); len(v.Pools[0].Nodes) != 2 || len(v.Pools[1].Nodes) != 0 { // nothing of b is used
		t.Errorf("%+v", v.Pools)
	}
	if status, text := get("/v1/live?pool=c"); status != http.StatusNotFound || !strings.Contains(text, `no pool "c"`) {
		t.Errorf("%d, %s", status, text)
	}
	if status, text := get("/v1/live?nodes=some"); status != http.StatusBadRequest || !strings.Contains(text, "used") {
		t.Errorf("%d, %s", status, text)
	}
	x.apply(strings.Replace(twoPools, "queue: 100}\n  b", "queue: 101}\n  b", 1))
	if _, text := get("/metrics"); !strings.Contains(text, `olivearch_requests_total{pool="a",result="served"} 1`) || !strings.Contains(text, "olivearch_reloads_total 1") {
		t.Errorf("a reload begins counters anew:\n%s", text)
	}
}

// TestDiscoverySource: a pool's list comes from a discovery service, and a reload moves it to a file and back.
func TestDiscoverySource(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 2, fleet.Spec{})
	stop := make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("since") {
			select {
			case <-r.Context().Done():
			case <-stop:
			}
			return
		}
		fmt.Fprintf(w, `{"revision":7,"complete":true,"members":[{"id":"d0","host_port":"%s","phase":"up","size":1}]}`, all[0].Address())
	}))
	t.Cleanup(func() { close(stop); discovery.Close() })
	write(t, j, folder, "a.yaml", all[1].Entry("up"))
	write(t, j, folder, "b.yaml", all[1].Entry("up"))
	byFile := twoPools
	byDiscovery := strings.Replace(twoPools, "file: a.yaml", fmt.Sprintf("discovery: '%s'", discovery.Listener.Addr()), 1)
	x := begin(t, j, folder, byDiscovery)
	for i, text := range []string{byDiscovery, byFile, byDiscovery, byFile} {
		want := []string{"d0", "n1"}[i%2]
		if i > 0 {
			x.apply(text)
		}
		x.until(want+" is the pool's only node", func(live.View) bool {
			up := ""
			for _, n := range x.pool("a").Nodes {
				if n.Phase == "up" {
					up += n.ID
				}
			}
			return up == want
		})
		if status := x.clients("a.example.org", "/", "x", fleet.Unsafe, 1).Ask(fmt.Sprint(i)); status != 200 {
			t.Errorf("by source %d: %d", i, status)
		}
	}
	if a, b := all[0].Runs(), all[1].Runs(); a != 2 || b != 2 {
		t.Errorf("%d and %d runs, want 2 each", a, b)
	}
	x.clean()
}

// TestWhoReports: the live view and its table tell which node reports its load, which one is estimated, and what is wrong with
// reports that can't be read.
func TestWhoReports(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	var entries []endpointlist.Node
	for id, says := range map[string]string{"speaks": "util=0.3", "silent": "", "mumbles": "cpu=30%"} {
		n, err := fleet.NewNode(fleet.Spec{ID: id, Cores: 2, Queue: 50, Says: says}, j)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		entries = append(entries, n.Entry("up"))
	}
	write(t, j, folder, "a.yaml", entries...)
	write(t, j, folder, "b.yaml", entries...)
	x := begin(t, j, folder, twoPools)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { x.clients("a.example.org", "/", "a", fleet.Unsafe, 400).Run(ctx) })
	x.until("each node's load is told", func(v live.View) bool {
		loads := map[string]string{}
		for _, n := range x.pool("a").Nodes {
			loads[n.ID] = n.Load
		}
		return loads["speaks"] == live.Reported && loads["silent"] == live.Estimated && loads["mumbles"] == live.Estimated
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
	x.clean()
}

// TestAllConnectionsOfANodeServe: a pool uses all connections that a node gives it, also those that it may once need for late
// answers; when some are needed for these, the others go on.
func TestAllConnectionsOfANodeServe(t *testing.T) {
	const connections = 8
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 2, fleet.Spec{Cores: 2 * connections, Queue: 50})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	write(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := begin(t, j, folder, fmt.Sprintf("limits: {node_connections: %d}\n", connections)+strings.Replace(twoPools, "c: {aim: 250ms", "c: {aim: 1s", 1))
	ask := func(n int, prefix string) (served int) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				if x.clients("a.example.org", "/", "x", fleet.Unsafe, 1).Ask(fmt.Sprint(prefix, i)) == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return served
	}
	for i := range 40 { // the bound goes up while requests wait
		ask(2*connections, fmt.Sprint("warm", i, "-"))
	}
	if most, _ := all[0].Connections(); most != connections {
		t.Errorf("%d connections were used of %d", most, connections)
	}
	all[0].Stall(true)
	ask(connections, "late")
	all[0].Stall(false)
	if served := ask(connections, "after"); served != connections {
		t.Errorf("%d of %d served after late answers", served, connections)
	}
	if most, _ := all[0].Connections(); most > connections {
		t.Errorf("%d connections at once, %d are allowed", most, connections)
	}
	x.clean()
}

// TestFailedListsChangeNothing: a reload that moves a pool, adds another whose list can't be read, drops a route and changes a quota is
// refused as a whole: routes, lists, listeners and settings are those that held.
func TestFailedListsChangeNothing(t *testing.T) {
	j, folder := fleet.NewJudge(time.Second), t.TempDir()
	all := nodes(t, j, 2, fleet.Spec{Work: time.Millisecond})
	write(t, j, folder, "a.yaml", all[0].Entry("up"))
	write(t, j, folder, "b.yaml", all[1].Entry("up"))
	x := begin(t, j, folder, twoPools+"tenants: {t: {quota: 5}}\n")
	before, routing, view := x.state.Load(), x.state.Load().config.Table, x.View()
	err := x.Apply(x.parse(strings.NewReplacer("  b: {nodes: {file: b.yaml}", "  c: {nodes: {file: none.yaml}}\n  b: {nodes: {file: a.yaml}", "name: a,", "name: other,").Replace(twoPools) + "tenants: {t: {quota: 6}}\n"))
	if err == nil || !strings.Contains(err.Error(), "none.yaml") {
		t.Fatalf("got %v", err)
	}
	if x.state.Load() != before || x.state.Load().config.Table != routing || x.View().Reloads != view.Reloads || len(x.View().Pools) != 2 {
		t.Errorf("something changed: %+v", x.View())
	}
	for _, host := range []string{"a.example.org", "b.example.org"} {
		r, err := http.NewRequest("POST", x.url+"/x", strings.NewReader("b"))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = host
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode == http.StatusNotFound {
			t.Errorf("%s: the route has gone", host)
		}
	}
}

// TestReloadLeavesOthersAlone: of three pools a reload changes one; the others are not told anything, and a quota reaches all.
func TestReloadLeavesOthersAlone(t *testing.T) {
	text := func(queue, quota int, path string) string {
		return fmt.Sprintf(`classes: {c: {aim: 250ms, deadline: 1s}}
tenants: {t: {quota: %d}}
pools:
  a: {nodes: {static: [{address: '127.0.0.1:1'}]}, queue: 10}
  b: {nodes: {static: [{address: '127.0.0.1:2'}]}, queue: %d}
  c: {nodes: {static: [{address: '127.0.0.1:3'}]}, queue: 10}
routes: [{name: r, path: {prefix: %s}, class: c, pools: [{pool: a, weight: 1}, {pool: b, weight: 1}, {pool: c, weight: 1}]}]
`, quota, queue, path)
	}
	x := begin(t, fleet.NewJudge(time.Second), t.TempDir(), text(10, 5, "/x"))
	stay := func(text string) (names []string) {
		t.Helper()
		c := x.parse(text)
		if c.Tenants.Equal(x.state.Load().config.Tenants) { // as config.Reload has it
			c.Tenants = x.state.Load().config.Tenants
		}
		p, err := x.newPlan(x.state.Load(), c)
		if err != nil {
			t.Fatal(err)
		}
		p.closeListeners()
		names = slices.Sorted(maps.Keys(p.unchanged))
		if err := x.Apply(c); err != nil {
			t.Fatal(err)
		}
		return names
	}
	for _, step := range []struct {
		text string
		want []string
	}{
		{text(11, 5, "/x"), []string{"a", "c"}},
		{text(11, 5, "/y"), []string{"a", "b", "c"}},
		{text(11, 6, "/y"), nil},
	} {
		if got := stay(step.text); !slices.Equal(got, step.want) {
			t.Errorf("left alone: %q, want %q", got, step.want)
		}
	}
}
