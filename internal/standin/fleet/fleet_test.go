package fleet

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivearch/internal/endpointlist"
)

// These tests put bad balancers between clients and nodes, one for each way to break a rule, and see that the judge finds
// just that.

func node(t *testing.T, j *Judge, spec Spec) *Node {
	t.Helper()
	if spec.ID == "" {
		spec.ID = "n"
	}
	spec.Cores = max(spec.Cores, 1)
	n, err := NewNode(spec, j)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// send makes an attempt as a balancer would.
func send(n *Node, id string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.Address()+"/x", strings.NewReader("b"))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var body [200]byte
	k, _ := resp.Body.Read(body[:])
	return resp.StatusCode, string(body[:k])
}

// balancer is a bad one, written as a handler.
func balancer(t *testing.T, j *Judge, effect Effect, handle http.HandlerFunc) *Clients {
	t.Helper()
	s := httptest.NewServer(handle)
	t.Cleanup(s.Close)
	return NewClients(Traffic{URL: s.URL + "/x", Host: "h", Method: http.MethodPost, Effect: effect, Deadline: 300 * time.Millisecond, Prefix: "r", Rate: 1}, j)
}

// found wants breaches of one rule and no other; 0: none at all.
func found(t *testing.T, j *Judge, rule Rule, part string) {
	t.Helper()
	s := j.Verdict(time.Second)
	if rule == 0 {
		if len(s.Breaches) > 0 {
			t.Errorf("breaches where there is none: %v", s.Breaches)
		}
		return
	}
	if len(s.Breaches) == 0 {
		t.Fatalf("the planted breach of rule %d was not found", rule)
	}
	for _, b := range s.Breaches {
		if b.Rule != rule || !strings.Contains(b.What, part) {
			t.Errorf("%v; only rule %d with %q is broken", b, rule, part)
		}
	}
}

func pass(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	fmt.Fprint(w, body)
}

func TestGoodBalancerBreaksNothing(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{Work: time.Millisecond, Reports: time.Millisecond})
	c := balancer(t, j, Unsafe, func(w http.ResponseWriter, r *http.Request) {
		status, body := send(n, r.Header.Get("X-Request-Id"))
		pass(w, status, body)
	})
	for i := range 20 {
		if status := c.Ask(fmt.Sprint(i)); status != 200 {
			t.Fatal(status)
		}
	}
	found(t, j, 0, "")
	if s := j.Verdict(time.Second); s.Served != 20 || s.Executions != 20 || s.PerRequest != 1 || c.Served() != 20 || c.Quantile(0.5) < time.Millisecond {
		t.Errorf("%+v", s)
	}
}

func TestFindsLostRequest(t *testing.T) {
	j := NewJudge(time.Second)
	c := balancer(t, j, Unsafe, func(w http.ResponseWriter, r *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.Close()
		}
	})
	c.Ask("1")
	found(t, j, OneAnswer, "was lost")
}

func TestFindsUnanswered(t *testing.T) {
	j := NewJudge(time.Second)
	j.Asked("1", Unsafe, 0)
	time.Sleep(Slack + 20*time.Millisecond) // the client's time must be over
	found(t, j, OneAnswer, "has no answer")
}

func TestFindsLateAnswer(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{Work: 500 * time.Millisecond})
	c := balancer(t, j, Unsafe, func(w http.ResponseWriter, r *http.Request) {
		status, body := send(n, r.Header.Get("X-Request-Id"))
		pass(w, status, body)
	})
	c.Ask("1")
	found(t, j, OneAnswer, "after its deadline")
}

func TestFindsInventedAnswer(t *testing.T) {
	j := NewJudge(time.Second)
	c := balancer(t, j, Unsafe, func(w http.ResponseWriter, r *http.Request) { pass(w, 200, "n 1 1") })
	c.Ask("1")
	found(t, j, OneAnswer, "no node answered")
}

func TestFindsSecondAnswer(t *testing.T) {
	j := NewJudge(time.Second)
	j.Asked("1", Safe, time.Second)
	j.Answered("1", 502, "")
	j.Answered("1", 502, "")
	found(t, j, OneAnswer, "2 answers")
}

func TestFindsSendAfterAnswer(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{})
	c := balancer(t, j, Unsafe, func(w http.ResponseWriter, r *http.Request) { pass(w, 502, "") })
	c.Ask("1")
	time.Sleep(Slack + 20*time.Millisecond)
	send(n, "1")
	found(t, j, OneAnswer, "after its final answer")
}

func TestFindsRepeat(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{})
	c := balancer(t, j, Unsafe, func(w http.ResponseWriter, r *http.Request) {
		send(n, r.Header.Get("X-Request-Id"))
		status, body := send(n, r.Header.Get("X-Request-Id"))
		pass(w, status, body)
	})
	c.Ask("1")
	found(t, j, RunsOnce, "")
}

func TestRepeatOfSafeOrNeverRunIsNone(t *testing.T) {
	j := NewJudge(time.Second)
	n, full := node(t, j, Spec{ID: "n"}), node(t, j, Spec{ID: "full", Cores: 1, Queue: -1})
	for _, effect := range []Effect{Safe, Unsafe} {
		c := balancer(t, j, effect, func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			if effect == Safe {
				send(n, id)
			} else if status, _ := send(full, id); status != 503 {
				t.Errorf("status %d of a node with no room", status)
			}
			status, body := send(n, id)
			pass(w, status, body)
		})
		c.Ask(fmt.Sprint("r", effect))
	}
	found(t, j, 0, "")
}

func TestFindsTwoAtOnce(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{Cores: 2, Work: 50 * time.Millisecond})
	c := balancer(t, j, Safe, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		other := make(chan bool)
		go func() { send(n, id); close(other) }()
		status, body := send(n, id)
		<-other
		pass(w, status, body)
	})
	c.Ask("1")
	found(t, j, RunsOnce, "twice at once")
}

func TestFindsRefusalOfWhatRan(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{})
	c := balancer(t, j, Unsafe, func(w http.ResponseWriter, r *http.Request) {
		send(n, r.Header.Get("X-Request-Id"))
		pass(w, 503, "")
	})
	c.Ask("1")
	found(t, j, RunsOnce, "was refused")
}

func TestFindsInventedRequest(t *testing.T) {
	j := NewJudge(time.Second)
	send(node(t, j, Spec{}), "nobody")
	found(t, j, RunsOnce, "no client sent")
}

func TestFindsSendAfterDrain(t *testing.T) {
	j := NewJudge(100 * time.Millisecond)
	n := node(t, j, Spec{})
	path := filepath.Join(t.TempDir(), "nodes.yaml")
	if err := WriteList(path, j, []endpointlist.Node{n.Entry(endpointlist.PhaseDraining)}); err != nil {
		t.Fatal(err)
	}
	if l, err := endpointlist.Load(path); err != nil || l.Nodes[0].Phase != endpointlist.PhaseDraining {
		t.Fatal(l, err)
	}
	j.Asked("early", Safe, time.Second)
	status, body := send(n, "early")
	j.Answered("early", status, body)
	found(t, j, 0, "")
	time.Sleep(100*time.Millisecond + Slack + 20*time.Millisecond)
	j.Asked("late", Safe, time.Second)
	status, body = send(n, "late")
	j.Answered("late", status, body)
	found(t, j, DrainsKept, "was told that it drains")
}

// TestFindsTippedNode: a restarted node that is sent more than the multiple of what it can do falls over and stays down;
// one that is sent a little does not.
func TestFindsTippedNode(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{Cores: 1, Queue: 1000, Work: 10 * time.Millisecond, ColdFrom: 0.3, Ramp: time.Hour, Multiple: 3, Window: 200 * time.Millisecond})
	n.Crash()
	if status, _ := send(n, "x"); status != 0 {
		t.Errorf("a crashed node answered %d", status)
	}
	if err := n.Restart(); err != nil {
		t.Fatal(err)
	}
	ask := func(i int) {
		id := fmt.Sprint(i)
		j.Asked(id, Safe, time.Hour)
		go func() { send(n, id); j.Left(id) }()
	}
	for i := range 10 {
		ask(i)
	}
	found(t, j, 0, "")
	for i := range 50 {
		ask(100 + i)
	}
	for end := time.Now().Add(10 * time.Second); !n.Fallen() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	found(t, j, NoTipping, "cold node n")
}

func TestStallAndConnections(t *testing.T) {
	j := NewJudge(time.Second)
	n := node(t, j, Spec{})
	n.Stall(true)
	j.Asked("1", Unsafe, time.Minute)
	done := make(chan string)
	go func() { _, body := send(n, "1"); done <- body }()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if most, opened := n.Connections(); most == 1 && opened == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no connection")
		}
	}
	n.Stall(false)
	if body := <-done; !strings.HasPrefix(body, "n 1 ") || n.Runs() != 1 {
		t.Errorf("%q, %d runs", body, n.Runs())
	}
	n.Close()
	if c, err := net.Dial("tcp", n.Address()); err == nil {
		c.Close()
		t.Error("a closed node takes connections")
	}
}
