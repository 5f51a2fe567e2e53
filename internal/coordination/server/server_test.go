package server

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// cluster is the configuration of three servers, k0 to k2, that run in this process.
type cluster struct {
	t         *testing.T
	addresses map[string]string
	listeners map[string]net.Listener
	servers   sync.WaitGroup
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, addresses: map[string]string{}, listeners: map[string]net.Listener{}}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("k%d", i)
		c.addresses[name], c.listeners[name] = l.Addr().String(), l
	}
	return c
}

// run starts a server that runs until the context ends. The returned channel is closed when the server has ended.
func (c *cluster) run(ctx context.Context, name, folder string, writeQuorum int, l net.Listener) <-chan struct{} {
	c.t.Helper()
	server, err := New(Config{
		Name: name, Address: c.addresses[name], Addresses: c.addresses, Folder: folder,
		ReplaceAfter: 2 * time.Second, WriteQuorum: writeQuorum,
	}, l)
	if err != nil {
		c.t.Fatal(err)
	}
	ended := make(chan struct{})
	c.servers.Go(func() {
		defer close(ended)
		if err := server.Run(ctx); err != nil {
			c.t.Error(err)
		}
	})
	return ended
}

// outOfService returns a command that takes an upstream out of service.
func outOfService(upstream string) *state.SetOverride {
	subject := state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: upstream}
	return &state.SetOverride{Subject: subject, By: "test"}
}

// TestThreeVoters runs three voters in one process, so that the race detector covers them. Fault tests cover several
// processes.
func TestThreeVoters(t *testing.T) {
	servers := newCluster(t)
	ctx, cancel := context.WithCancel(t.Context())
	for name, l := range servers.listeners {
		servers.run(ctx, name, t.TempDir(), 3, l)
	}
	c := client.New("test", servers.addresses)
	defer c.Close()
	counts := make(chan int, 1000)
	countOverrides := func(overrides []state.Override) { counts <- len(overrides) }
	follower := client.StartFollower("test", servers.addresses, "", countOverrides)
	defer follower.Close()
	reqCtx, cancelReqs := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancelReqs()
	proposeConcurrently(reqCtx, t, c)
	stored, _, err := c.Read(reqCtx)
	if err != nil || len(stored.Overrides()) != 160 {
		t.Fatalf("%v", err)
	}
	for n := range counts {
		if n == 160 {
			break
		}
	}
	checkLeaseRenewal(reqCtx, t, c)
	if err := c.DeclareLost(reqCtx, "nobody"); err == nil {
		t.Error("a voter that does not exist was declared lost")
	}
	for _, name := range c.Voters() {
		if a, err := c.Call(reqCtx, name, client.Request{Operation: client.OpStatus}); err != nil || len(a.Body) == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if o := sendStaleProposal(t, servers.addresses["k0"]); o != client.OutcomeNotAttempted {
		t.Errorf("a request that was delayed for longer than its client waits: outcome %v", o)
	}
	cancel()
	servers.servers.Wait()
}

// proposeConcurrently sets 160 overrides from eight goroutines. All three voters must have stored each of them.
func proposeConcurrently(ctx context.Context, t *testing.T, c *client.Client) {
	var proposers sync.WaitGroup
	for i := range 8 {
		proposers.Go(func() {
			for k := range 20 {
				a, err := c.Propose(ctx, outOfService(fmt.Sprintf("s-%d-%d", i, k)))
				if err != nil || a.Stored != 3 || a.Voters != 3 { // WriteQuorum is 3
					t.Errorf("stored by %d of %d voters: %v", a.Stored, a.Voters, err)
					return
				}
			}
		})
	}
	proposers.Wait()
}

// checkLeaseRenewal acquires a lease on the whole resource, checks that a second lease is rejected, and renews the
// first one with the same fencing token.
func checkLeaseRenewal(ctx context.Context, t *testing.T, c *client.Client) {
	if _, err := c.Propose(ctx, &state.SetResource{Name: "b", Limit: 2}); err != nil {
		t.Fatal(err)
	}
	lease, err := c.AcquireLease(ctx, "b", "x", 2, time.Second, nil)
	if err != nil || !lease.Valid(time.Now()) {
		t.Fatal(err)
	}
	if _, err := c.AcquireLease(ctx, "b", "y", 1, time.Second, nil); err == nil {
		t.Error("a lease beyond the resource's limit was granted")
	}
	renewed, err := c.AcquireLease(ctx, "b", "x", 2, time.Second, lease)
	if err != nil || renewed.FencingToken != lease.FencingToken {
		t.Errorf("renewed lease: %+v %v", renewed, err)
	}
}

// TestJoiningVoterRestartsWithoutMembers: a joining voter is admitted, but ends before it receives the members. Its
// folder then belongs to the cluster but has no snapshot. After a restart the voter must find the members and be
// promoted.
func TestJoiningVoterRestartsWithoutMembers(t *testing.T) {
	servers := newCluster(t)
	ctx, cancel := context.WithCancel(t.Context())
	stoppable, stop := context.WithCancel(ctx)
	servers.run(ctx, "k0", t.TempDir(), 0, servers.listeners["k0"])
	servers.run(ctx, "k1", t.TempDir(), 0, servers.listeners["k1"])
	ended := servers.run(stoppable, "k2", t.TempDir(), 0, servers.listeners["k2"])
	c := client.New("test", servers.addresses)
	defer c.Close()
	reqCtx, cancelReqs := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancelReqs()
	_, a, err := c.Read(reqCtx)
	if err != nil {
		t.Fatal(err)
	}
	stop()
	<-ended
	folder := t.TempDir()
	s, _, err := openStore(folder, "k2", func() uint64 { return 77 })
	if err != nil || s.assignCluster(a.Cluster, nil, nil) != nil || s.close() != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", servers.addresses["k2"])
	if err != nil {
		t.Fatal(err)
	}
	servers.run(ctx, "k2", folder, 0, l)
	for {
		state, _, err := c.Read(reqCtx)
		if err != nil {
			t.Fatalf("the joining voter was not promoted: %v", err)
		}
		if m, ok := state.Member(77); ok && !m.Learner {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	servers.servers.Wait()
}

// sendStaleProposal sends a proposal whose tick says that it was written long ago, and returns the outcome.
func sendStaleProposal(t *testing.T, address string) client.Outcome {
	t.Helper()
	var c net.Conn
	var in *bufio.Reader
	for { // wait until the server's uptime exceeds the delay of a stale request
		conn, r, w, err := client.Dial(t.Context(), address, client.Hello{Role: client.RoleClient, Name: "late"})
		if err != nil {
			t.Fatal(err)
		}
		if c, in = conn, r; w.Tick > uint64(2*client.StaleAfter/time.Millisecond) {
			break
		}
		c.Close()
	}
	defer c.Close()
	r := client.Request{
		Number: 9, Operation: client.OpPropose, Within: time.Millisecond, Tick: 1,
		Command: state.Encode(&state.SetResource{Name: "late", Limit: 1}),
	}
	if err := client.WriteFrame(c, r.Encode()); err != nil {
		t.Fatal(err)
	}
	for {
		b, err := client.ReadFrame(in, client.MaxFrame)
		if err != nil {
			t.Fatal(err)
		}
		if a, err := client.DecodeResponse(b); err != nil || a.Number == r.Number {
			return a.Outcome
		}
	}
}
