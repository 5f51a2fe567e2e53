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

// TestVoters runs three voters in one process, for the race detector: what several processes do is shown on the ground.
func TestVoters(t *testing.T) {
	addresses, listeners := map[string]string{}, map[string]net.Listener{}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("k%d", i)
		addresses[name], listeners[name] = l.Addr().String(), l
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for name, l := range listeners {
		v, err := New(Config{Name: name, Address: addresses[name], Voters: addresses, Folder: t.TempDir(), ReplaceAfter: 2 * time.Second, WriteQuorum: 3}, l)
		if err != nil {
			t.Fatal(err)
		}
		all.Go(func() {
			if err := v.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	c := client.New("test", addresses)
	defer c.Close()
	words := make(chan int, 1000)
	copied := client.StartFollower("test", addresses, "", func(w []state.Override) { words <- len(w) })
	defer copied.Close()
	within, end := context.WithTimeout(t.Context(), 30*time.Second)
	defer end()
	var askers sync.WaitGroup
	for i := range 8 {
		askers.Go(func() {
			for k := range 20 {
				a, err := c.Propose(within, &state.SetOverride{Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: fmt.Sprintf("s-%d-%d", i, k)}, By: "test"})
				if err != nil || a.Stored != 3 || a.Voters != 3 { // copies: 3
					t.Errorf("held by %d of %d: %v", a.Stored, a.Voters, err)
					return
				}
			}
		})
	}
	askers.Wait()
	s, _, err := c.Read(within)
	if err != nil || len(s.Overrides()) != 160 {
		t.Fatalf("%v", err)
	}
	for n := range words {
		if n == 160 {
			break
		}
	}
	if _, err := c.Propose(within, &state.SetResource{Name: "b", Limit: 2}); err != nil {
		t.Fatal(err)
	}
	one, err := c.AcquireLease(within, "b", "x", 2, time.Second, nil)
	if err != nil || !one.Valid(time.Now()) {
		t.Fatal(err)
	}
	if _, err := c.AcquireLease(within, "b", "y", 1, time.Second, nil); err == nil {
		t.Error("the bound is overdrawn")
	}
	if two, err := c.AcquireLease(within, "b", "x", 2, time.Second, one); err != nil || two.FencingToken != one.FencingToken {
		t.Errorf("renewing: %+v %v", two, err)
	}
	if err := c.DeclareLost(within, "nobody"); err == nil {
		t.Error("a voter that there is not has gone")
	}
	for _, name := range c.Voters() {
		if a, err := c.Call(within, name, client.Request{Operation: client.OpStatus}); err != nil || len(a.Body) == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if o := late(t, addresses["k0"]); o != client.OutcomeNotAttempted {
		t.Errorf("a request that has been on its way for longer than its asker waited: %v", o)
	}
	cancel()
	all.Wait()
}

// TestJoinerThatDies: one that had been let in died before it was told who the members are. Started anew, it finds them.
func TestJoinerThatDies(t *testing.T) {
	addresses, listeners := map[string]string{}, map[string]net.Listener{}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("k%d", i)
		addresses[name], listeners[name] = l.Addr().String(), l
	}
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	run := func(ctx context.Context, name, folder string, l net.Listener) (ended chan struct{}) {
		v, err := New(Config{Name: name, Address: addresses[name], Voters: addresses, Folder: folder, ReplaceAfter: 2 * time.Second}, l)
		if err != nil {
			t.Fatal(err)
		}
		ended = make(chan struct{})
		all.Go(func() {
			defer close(ended)
			if err := v.Run(ctx); err != nil {
				t.Error(err)
			}
		})
		return ended
	}
	dies, kill := context.WithCancel(ctx)
	run(ctx, "k0", t.TempDir(), listeners["k0"])
	run(ctx, "k1", t.TempDir(), listeners["k1"])
	ended := run(dies, "k2", t.TempDir(), listeners["k2"])
	c := client.New("test", addresses)
	defer c.Close()
	within, end := context.WithTimeout(t.Context(), 40*time.Second)
	defer end()
	_, a, err := c.Read(within)
	if err != nil {
		t.Fatal(err)
	}
	kill()
	<-ended
	folder := t.TempDir()
	s, _, err := openStore(folder, "k2", func() uint64 { return 77 })
	if err != nil || s.begin(a.Cluster, nil, nil) != nil || s.close() != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", addresses["k2"])
	if err != nil {
		t.Fatal(err)
	}
	run(ctx, "k2", folder, l)
	for {
		state, _, err := c.Read(within)
		if err != nil {
			t.Fatalf("it does not come to vote: %v", err)
		}
		if m, ok := state.Member(77); ok && !m.Learner {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	all.Wait()
}

// late asks for a promise as one whose request was written long ago, and came only now.
func late(t *testing.T, address string) client.Outcome {
	t.Helper()
	var c net.Conn
	var in *bufio.Reader
	for { // the voter's clock has to have come beyond what an asker waits
		conn, r, w, err := client.Dial(t.Context(), address, client.Hello{Role: client.RoleClient, Name: "late"})
		if err != nil {
			t.Fatal(err)
		}
		if c, in = conn, r; w.Tick > uint64(2*client.Stale/time.Millisecond) {
			break
		}
		c.Close()
	}
	defer c.Close()
	r := client.Request{Number: 9, Operation: client.OpPropose, Within: time.Millisecond, Tick: 1, Command: state.Encode(&state.SetResource{Name: "late", Limit: 1})}
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
