package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// voter is one end of a connection that a test speaks on.
type voter struct {
	t    *testing.T
	l    net.Listener
	conn net.Conn
	in   *bufio.Reader
}

func newVoter(t *testing.T) *voter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &voter{t: t, l: l}
}

// greet takes the next connection.
func (v *voter) greet(w Welcome) Hello {
	v.t.Helper()
	var err error
	if v.conn, err = v.l.Accept(); err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(func() { v.conn.Close() })
	v.in = bufio.NewReader(v.conn)
	b, err := ReadFrame(v.in, 1<<20)
	if err != nil {
		v.t.Fatal(err)
	}
	h, err := DecodeHello(b)
	if err != nil || WriteFrame(v.conn, w.Encode()) != nil {
		v.t.Fatal(err)
	}
	return h
}

func (v *voter) say(u Update) {
	v.t.Helper()
	if err := WriteFrame(v.conn, u.Encode()); err != nil {
		v.t.Fatal(err)
	}
}

func word(target string) *state.SetOverride {
	return &state.SetOverride{Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: target}, By: "x"}
}

// stateUpdate is one with words, and its update.
func stateUpdate(index, cluster uint64, targets ...string) Update {
	s := state.NewState()
	for _, target := range targets {
		s.Apply(index, 0, word(target))
	}
	return Update{State: s.Encode(), Index: index, Cluster: cluster}
}

// A copy follows, takes its age from its own pings, goes back to no older state and to no other cluster's, and survives its process.
func TestCopy(t *testing.T) {
	v := newVoter(t)
	path := filepath.Join(t.TempDir(), "copy")
	told := make(chan []state.Override, 100)
	follow := func() *Follower {
		return StartFollower("b-1", map[string]string{"k1": v.l.Addr().String()}, path, func(w []state.Override) { told <- w })
	}
	c := follow()
	if c.View().Known || c.View().Age(time.Now()) < time.Hour {
		t.Error("it knows something of nothing")
	}
	v.greet(Welcome{Cluster: 5, ID: 1, Name: "k1"})
	v.say(stateUpdate(10, 5, "a"))
	if w := <-told; len(w) != 1 {
		t.Errorf("%v", w)
	}
	v.say(Update{Commands: [][]byte{state.Envelope{ID: 1, Clock: 1, Command: word("b")}.Encode()}, Index: 11, Cluster: 5})
	if w := <-told; len(w) != 2 || c.View().Index != 11 {
		t.Errorf("%v", w)
	}
	b, err := ReadFrame(v.in, 1<<10)
	if n, _ := DecodePing(b); err != nil || n != 1 {
		t.Fatalf("ping %d: %v", n, err)
	}
	sent := time.Now()
	v.say(Update{Heartbeat: true, Index: 11, Ping: 1, Cluster: 5, Leader: "k1", Voters: 3})
	var newer, command protomsg.Writer // of a kind that a newer version knows
	command.Uint(1, 1000)
	newer.Raw(3, command.Bytes())
	v.say(Update{Commands: [][]byte{newer.Bytes()}, Index: 12, Cluster: 5})
	v.say(Update{Commands: [][]byte{state.Envelope{ID: 2, Clock: 2, Command: word("c")}.Encode()}, Index: 13, Cluster: 5})
	for w := range told {
		if len(w) == 3 {
			break
		}
	}
	if age := c.View().Age(time.Now()); age > time.Since(sent)+2*time.Second || c.View().Leader != "k1" {
		t.Errorf("age %v, %+v", age, c.View())
	}
	v.conn.Close()
	if h := v.greet(Welcome{Cluster: 5}); h.Applied != 13 || h.Cluster != 5 {
		t.Errorf("%+v", h)
	}
	v.say(stateUpdate(12, 5)) // older than what it has
	v.greet(Welcome{Cluster: 6})
	v.say(stateUpdate(99, 6)) // another cluster's
	v.greet(Welcome{Cluster: 5})
	if x := c.View(); len(x.Overrides) != 3 || x.Cluster != 5 || x.Fault == "" {
		t.Errorf("%+v", x)
	}
	c.Close()
	again := follow() // voters are away: it begins with what it had
	if w := <-told; len(w) != 3 || !again.View().Known || again.View().Age(time.Now()) < time.Hour {
		t.Errorf("%v %+v", w, again.View())
	}
	again.Close()
	if err := os.WriteFile(path, []byte("rubbish"), 0o600); err != nil {
		t.Fatal(err)
	}
	if x := follow(); x.View().Known {
		t.Error("it takes rubbish for a copy")
	} else {
		x.Close()
	}
}

// What is not sure is not asked again, and what reached nobody is.
func TestCallerAsksOnce(t *testing.T) {
	v := newVoter(t)
	c := New("test", map[string]string{"k1": v.l.Addr().String()})
	defer c.Close()
	got := make(chan error, 1)
	go func() {
		_, err := c.Propose(t.Context(), word("a"))
		got <- err
	}()
	v.greet(Welcome{Cluster: 5, ID: 1, Name: "k1"})
	answer := func(o Outcome) {
		b, err := ReadFrame(v.in, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		r, err := DecodeRequest(b)
		if err != nil || r.Operation != OpPropose {
			t.Fatalf("%+v %v", r, err)
		}
		a := Response{Number: r.Number, Outcome: o, Message: "why"}
		WriteFrame(v.conn, a.Encode())
	}
	answer(OutcomeNotAttempted) // it is asked again
	answer(OutcomeUncertain)
	if err := <-got; !errors.Is(err, ErrUnsure) {
		t.Error(err)
	}
	go func() {
		_, err := c.Propose(t.Context(), word("a"))
		got <- err
	}()
	answer(OutcomeRejected)
	if err := <-got; !errors.Is(err, ErrRefused) {
		t.Error(err)
	}
	go func() {
		_, err := c.Propose(t.Context(), word("a"))
		got <- err
	}()
	if _, err := ReadFrame(v.in, 1<<20); err != nil {
		t.Fatal(err)
	}
	v.conn.Close() // in the middle
	if err := <-got; !errors.Is(err, ErrUnsure) {
		t.Error(err)
	}
	if _, err := c.Propose(t.Context(), &state.SetOverride{}); !errors.Is(err, ErrRefused) {
		t.Errorf("a word about nothing: %v", err)
	}
}

// A lease ends here before it may end there, and stays ended.
func TestLeaseEndsByItsHoldersClock(t *testing.T) {
	now := time.Now()
	l := &Lease{Until: now.Add(time.Second)}
	var none *Lease
	if !l.Valid(now) || l.Valid(now.Add(time.Second)) || none.Valid(now) {
		t.Error("a lease's end")
	}
}

func FuzzMessages(f *testing.F) {
	a := Response{Number: 1, Outcome: OutcomeDone, Result: state.Result{FencingToken: 3, Reserved: []state.ReservedSlot{{Second: 1, Places: 2}}}, Members: []state.Member{{ID: 1, Name: "a"}}}
	f.Add(a.Encode())
	u := stateUpdate(1, 2, "a")
	f.Add(u.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := DecodeResponse(b); err == nil {
			if again, err := DecodeResponse(x.Encode()); err != nil || fmt.Sprint(again) != fmt.Sprint(x) {
				t.Fatalf("%+v came back as %+v: %v", x, again, err)
			}
		}
		if x, err := DecodeRequest(b); err == nil {
			if again, err := DecodeRequest(x.Encode()); err != nil || fmt.Sprint(again) != fmt.Sprint(x) {
				t.Fatalf("%+v came back as %+v: %v", x, again, err)
			}
		}
		DecodeHello(b)
		DecodeWelcome(b)
		DecodeUpdate(b)
		DecodePing(b)
		if body, err := ReadFrame(bytes.NewReader(b), 1<<20); err == nil {
			var out bytes.Buffer
			if WriteFrame(&out, body) != nil || !bytes.HasPrefix(b, out.Bytes()) {
				t.Fatal("a frame does not come back")
			}
		}
	})
}
