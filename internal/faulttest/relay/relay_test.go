package relay

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/faulttest/event"
)

// echo answers each byte with itself and tells of each connection that came.
func echo(t *testing.T) (string, chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	came := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			came <- c
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String(), came
}

func start(t *testing.T) (*Relay, *Service, chan net.Conn) {
	t.Helper()
	r := New(1, 0, nil)
	t.Cleanup(r.Close)
	s, err := r.Serve("echo")
	if err != nil {
		t.Fatal(err)
	}
	address, came := echo(t)
	if err := s.Point(address); err != nil {
		t.Fatal(err)
	}
	return r, s, came
}

func dial(t *testing.T, s *Service, caller int) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", s.At(caller), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// ask sends a word and returns what came back within a time.
func ask(c net.Conn, word string, within time.Duration) (string, error) {
	if _, err := io.WriteString(c, word); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, len(word))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

const soon, never = 5 * time.Second, 150 * time.Millisecond

func silent(t *testing.T, what string, got string, err error) {
	t.Helper()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%s: %q %v, want silence", what, got, err)
	}
}

// A cut link keeps open connections open and silent and lets none come up; other callers notice nothing; healed, what was held goes on.
func TestCut(t *testing.T) {
	r, s, came := start(t)
	c, other := dial(t, s, 3), dial(t, s, 4)
	for _, x := range []net.Conn{c, other} {
		if got, err := ask(x, "one", soon); got != "one" {
			t.Fatal(got, err)
		}
	}
	for _, way := range []struct {
		name        string
		there, back Faults
	}{{"both", Faults{Cut: true}, Faults{Cut: true}}, {"there", Faults{Cut: true}, Faults{}}, {"back", Faults{}, Faults{Cut: true}}} {
		r.Set(Change{3, s, way.there, way.back})
		got, err := ask(c, "two", never)
		silent(t, way.name, got, err)
		if x, err := net.DialTimeout("tcp", s.At(3), never); err == nil {
			x.Close()
			t.Errorf("%s: a connection came up", way.name)
		} else if errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%s: refused: %v", way.name, err)
		}
		if got, err := ask(other, "two", soon); got != "two" {
			t.Errorf("%s: another caller: %v", way.name, err)
		}
		r.Set(Change{3, s, Faults{}, Faults{}})
		c.SetReadDeadline(time.Now().Add(soon))
		b := make([]byte, 3)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "two" {
			t.Fatalf("%s: healed: %q %v", way.name, b, err)
		}
		if got, err := ask(dial(t, s, 3), "new", soon); got != "new" {
			t.Errorf("%s: a new connection: %v", way.name, err)
		}
	}
	if r.Leaks() != 0 {
		t.Errorf("%d leaks", r.Leaks())
	}
	from := map[netip.Addr]bool{}
	for range 2 {
		from[(<-came).RemoteAddr().(*net.TCPAddr).AddrPort().Addr()] = true
	}
	if !from[Address(3)] || !from[Address(4)] {
		t.Errorf("they came from %v", from)
	}
}

// Nobody listens: refused at once, before and after.
func TestDown(t *testing.T) {
	_, s, _ := start(t)
	s.Point("")
	if _, err := net.DialTimeout("tcp", s.At(1), soon); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("want refused: %v", err)
	}
}

func TestSlowThrottledAndInOrder(t *testing.T) {
	r, s, _ := start(t)
	c := dial(t, s, 1)
	r.Set(Change{1, s, Faults{Delay: 30 * time.Millisecond, Jitter: 40 * time.Millisecond}, Faults{Delay: 30 * time.Millisecond}})
	began := time.Now()
	if got, err := ask(c, "slow", soon); got != "slow" || time.Since(began) < 60*time.Millisecond {
		t.Errorf("%q %v after %v", got, err, time.Since(began))
	}
	r.Set(Change{1, s, Faults{Jitter: 5 * time.Millisecond}, Faults{Jitter: 5 * time.Millisecond}})
	go func() {
		for i := range 200 {
			c.Write([]byte{byte(i)})
		}
	}()
	b := make([]byte, 200)
	c.SetReadDeadline(time.Now().Add(soon))
	if _, err := io.ReadFull(c, b); err != nil {
		t.Fatal(err)
	}
	for i := range b {
		if b[i] != byte(i) {
			t.Fatalf("byte %d is %d", i, b[i])
		}
	}
	r.Set(Change{1, s, Faults{Rate: 100_000}, Faults{}})
	began = time.Now()
	if _, err := ask(c, string(make([]byte, 30_000)), soon); err != nil || time.Since(began) < 150*time.Millisecond {
		t.Errorf("throttled: %v after %v", err, time.Since(began))
	}
}

// A reset breaks the caller's side; what was written before has come, or not, as the fault says.
func TestResetAndHalfClose(t *testing.T) {
	for _, deliver := range []bool{true, false} {
		r, s, came := start(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		s.Point(l.Addr().String())
		c := dial(t, s, 1)
		x, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		r.Set(Change{1, s, Faults{Reset: 1, Deliver: deliver}, Faults{}})
		if _, err := ask(c, "request", soon); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the caller: %v, want a reset", err)
		}
		x.SetReadDeadline(time.Now().Add(soon))
		got, err := io.ReadAll(x)
		if want := map[bool]string{true: "request", false: ""}[deliver]; string(got) != want || err != nil {
			t.Errorf("deliver %v: %q came, %v", deliver, got, err)
		}
		r.Set(Change{1, s, Faults{}, Faults{HalfClose: 1, Deliver: deliver}})
		s.Point("")
		address, _ := echo(t)
		s.Point(address)
		c = dial(t, s, 1)
		c.SetReadDeadline(time.Now().Add(soon))
		io.WriteString(c, "answer")
		got, err = io.ReadAll(c)
		if want := map[bool]string{true: "answer", false: ""}[deliver]; string(got) != want || err != nil {
			t.Errorf("half closed, deliver %v: %q %v", deliver, got, err)
		}
		if _, err := c.Write([]byte("more")); err != nil {
			t.Errorf("the other way is closed too: %v", err)
		}
		_ = came
	}
}

// The times at which bytes passed are known by their offsets.
func TestTimes(t *testing.T) {
	r, s, came := start(t)
	c := dial(t, s, 1)
	before := event.Now()
	if _, err := ask(c, "abc", soon); err != nil {
		t.Fatal(err)
	}
	x := s.Find(1, (<-came).RemoteAddr().(*net.TCPAddr).AddrPort().Port())
	if x == nil {
		t.Fatal("the connection is not known")
	}
	if at := x.SentAt(2); at < before || at > event.Now() || x.SentAt(3) != 0 || x.LeftAt() != 0 {
		t.Errorf("sent at %d, %d; left at %d", at, x.SentAt(3), x.LeftAt())
	}
	// The relay notes a time once its write has returned; by then the caller may have read the bytes.
	for deadline := time.Now().Add(soon); x.DeliveredAt(0) == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if at := x.DeliveredAt(0); at < x.SentAt(0) || x.DeliveredAt(3) != 0 {
		t.Errorf("delivered at %d", at)
	}
	r.Reset(1, s)
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) || x.ResetAt() == 0 {
		t.Errorf("%v, reset at %d", err, x.ResetAt())
	}
}

// Datagrams go both ways under the caller's name, and are lost, doubled and overtaken as the link's faults say.
func TestDatagrams(t *testing.T) {
	r, s, _ := start(t)
	u, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	go func() {
		b := make([]byte, 100)
		for {
			n, from, err := u.ReadFrom(b)
			if err != nil {
				return
			}
			if a := from.(*net.UDPAddr).AddrPort().Addr(); a == Address(7) {
				u.WriteTo(b[:n], from)
			}
		}
	}()
	d, err := s.Carry(u.LocalAddr().(*net.UDPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.At(7))))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	count := func(n int, within time.Duration) (came, late int) {
		for i := range n {
			c.Write([]byte{byte(i)})
		}
		highest := -1
		b := make([]byte, 10)
		for came < 2*n {
			c.SetReadDeadline(time.Now().Add(within))
			if _, err := c.Read(b); err != nil {
				break
			}
			if came++; int(b[0]) < highest {
				late++
			}
			highest = max(highest, int(b[0]))
		}
		return came, late
	}
	if came, late := count(100, never); came != 100 || late != 0 {
		t.Errorf("no fault: %d came, %d late", came, late)
	}
	r.Set(Change{7, s, Faults{Loss: 0.5}, Faults{}})
	if came, _ := count(100, never); came < 25 || came > 75 {
		t.Errorf("half lost: %d came", came)
	}
	r.Set(Change{7, s, Faults{Twice: 1}, Faults{}})
	if came, _ := count(50, never); came != 100 {
		t.Errorf("all twice: %d came", came)
	}
	r.Set(Change{7, s, Faults{}, Faults{Reorder: 0.3}})
	if came, late := count(100, never); came != 100 || late < 10 {
		t.Errorf("overtaken: %d came, %d late", came, late)
	}
	r.Set(Change{7, s, Faults{}, Faults{Cut: true}})
	if came, _ := count(10, never); came != 0 {
		t.Errorf("cut: %d came", came)
	}
}

// TestServiceThatGoesDownKeepsAcceptedConnections: the relay resets no connection that came up before.
func TestServiceThatGoesDownKeepsAcceptedConnections(t *testing.T) {
	_, s, came := start(t)
	target := s.target.Load().(string)
	const rounds, callers = 10, 20
	for range rounds {
		var accepted []net.Conn
		for range callers {
			accepted = append(accepted, dial(t, s, 3))
		}
		if err := s.Point(""); err != nil {
			t.Fatal(err)
		}
		for _, c := range accepted {
			if answer, err := ask(c, "x", 5*time.Second); answer != "x" {
				t.Fatalf("an accepted connection got %q, %v", answer, err)
			}
			<-came
		}
		if c, err := net.DialTimeout("tcp", s.At(3), time.Second); err == nil {
			c.Close()
			t.Fatal("a new connection came up")
		}
		if err := s.Point(target); err != nil {
			t.Fatal(err)
		}
	}
}
