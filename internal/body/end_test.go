package body

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// endTimeout bounds the wait for a transfer that must end. It is shorter than the timeout of any part.
const endTimeout = 10 * time.Second

// awaitEnd waits for the end of a transfer.
func awaitEnd(t *testing.T, ended <-chan error) error {
	t.Helper()
	select {
	case err := <-ended:
		return err
	case <-time.After(endTimeout):
		t.Fatalf("the transfer goes on after %v", endTimeout)
		return nil
	}
}

// TestResponseEndsAtTotalTime guards against a response that takes longer than its route allows, because each part had
// a timeout of its own.
func TestResponseEndsAtTotalTime(t *testing.T) {
	limits := DefaultLimits
	limits.DownloadTimeout = 50 * time.Millisecond
	for _, c := range []struct {
		name    string
		framing http1.Framing
		text    string
	}{
		{"the client does not read, known length", http1.Framing{Length: MaxBuffered}, "abc"},
		{"the client does not read, chunked", http1.Framing{Chunked: true}, "3\r\nabc\r\n"},
		{"the upstream stalls, known length", http1.Framing{Length: MaxBuffered}, ""},
		{"the upstream stalls, chunked", http1.Framing{Chunked: true}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			balancerSide, upstreamSide := net.Pipe()
			defer upstreamSide.Close()
			download := NewDownload(http1.NewStream(balancerSide, 2<<10), c.framing, &limits)
			began := make(chan struct{})
			go func() { _, _ = download.Receive(func() { close(began) }) }()
			<-began
			go func() { _, _ = upstreamSide.Write([]byte(c.text)) }()
			client, unread := net.Pipe()
			defer unread.Close()
			ended := make(chan error, 1)
			go func() { ended <- download.Copy(client, true) }()
			if err := awaitEnd(t, ended); !errors.Is(err, errTotalExceeded) {
				t.Errorf("got %v, want %v", err, errTotalExceeded)
			}
		})
	}
}

// TestCutResponseWithoutFramingIsReset guards against a client that takes a cut response for a complete one, because
// its end is that of the connection.
func TestCutResponseWithoutFramingIsReset(t *testing.T) {
	balancerSide, upstreamSide := net.Pipe()
	defer upstreamSide.Close()
	limits := DefaultLimits
	limits.DownloadTimeout = time.Nanosecond
	download := NewDownload(http1.NewStream(balancerSide, 2<<10), http1.Framing{UntilClose: true}, &limits)
	began := make(chan struct{})
	go func() { _, _ = download.Receive(func() { close(began) }) }()
	<-began
	client, readSide := scripted.Pair(t)
	if err := download.Copy(client, false); err == nil {
		t.Error("the response counts as complete")
	}
	client.Close()
	if _, err := readSide.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the client reads %v, want a reset", err)
	}
}

// hookedConn calls a function before a write deadline is set.
type hookedConn struct {
	net.Conn
	beforeWriteDeadline func()
}

func (c *hookedConn) SetWriteDeadline(at time.Time) error {
	c.beforeWriteDeadline()
	return c.Conn.SetWriteDeadline(at)
}

// TestClosedTunnelWritesNoMore guards against a tunnel that goes on after Close, because the deadline of its next write
// replaced that of Close.
func TestClosedTunnelWritesNoMore(t *testing.T) {
	scripted.AtRest(t)
	balancerSide, upstreamSide := net.Pipe()
	defer upstreamSide.Close()
	tunnel := NewTunnel(http1.NewStream(balancerSide, 2<<10), &TunnelLimits{Idle: time.Minute})
	client, unread := net.Pipe()
	defer unread.Close()
	tunnel.Bind(&hookedConn{Conn: client, beforeWriteDeadline: tunnel.Close})
	go func() { _, _ = upstreamSide.Write([]byte("x")) }()
	ended := make(chan error, 1)
	go func() {
		tunnel.ForwardToClient()
		ended <- nil
	}()
	_ = awaitEnd(t, ended)
}

// TestStalledResponseEnds guards against a streamed response of unknown length whose upstream sends nothing more, and
// which never ends, since the wait for its next bytes had no limit until some had been passed on.
func TestStalledResponseEnds(t *testing.T) {
	scripted.AtRest(t)
	limits := DefaultLimits
	limits.StallTimeout = 50 * time.Millisecond
	balancerSide, upstreamSide := net.Pipe()
	defer upstreamSide.Close()
	download := NewDownload(http1.NewStream(balancerSide, 2<<10), http1.Framing{Chunked: true}, &limits)
	began, received := make(chan struct{}), make(chan error, 1)
	go func() {
		_, err := download.Receive(func() { close(began) })
		received <- err
	}()
	send(t, upstreamSide, "3\r\nabc\r\n")
	<-began
	client, readSide := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, readSide) }()
	defer readSide.Close()
	copied := make(chan error, 1)
	go func() { copied <- download.Copy(client, true) }()
	if err := awaitEnd(t, copied); err == nil {
		t.Error("the client's side takes the response for complete")
	}
	if err := awaitEnd(t, received); err == nil {
		t.Error("the upstream's side takes the response for complete")
	}
}

// TestSilentResponseEndsOnceDue guards against a streamed response that has no end although it is due and its upstream
// has sent nothing for long.
func TestSilentResponseEndsOnceDue(t *testing.T) {
	scripted.AtRest(t)
	for _, framing := range []http1.Framing{{Chunked: true}, {Length: 2 * MaxBuffered}} {
		balancerSide, upstreamSide := net.Pipe()
		defer upstreamSide.Close()
		download := NewDownload(http1.NewStream(balancerSide, 2<<10), framing, &DefaultLimits)
		began := make(chan struct{})
		go func() { _, _ = download.Receive(func() { close(began) }) }()
		<-began
		download.SetDue(time.Now())
		client, readSide := net.Pipe()
		defer readSide.Close()
		copied := make(chan error, 1)
		go func() { copied <- download.Copy(client, true) }()
		if err := awaitEnd(t, copied); !errors.Is(err, errUpstreamSilent) {
			t.Errorf("got %v, want %v", err, errUpstreamSilent)
		}
	}
}

// TestStallRule guards against a slow response that is taken for one that has stopped, and the other way round.
func TestStallRule(t *testing.T) {
	const timeout = 30 * time.Second
	start := time.Now()
	at := start.Add
	due := at(750 * time.Millisecond)
	for _, c := range []struct {
		name string
		rule stallRule
		want time.Time
	}{
		{"no due time", stallRule{timeout: timeout, waitingSince: start}, at(timeout)},
		{
			"silent across the due time",
			stallRule{timeout: timeout, due: due, waitingSince: start},
			at(overdueStallTimeout),
		},
		{
			"due later than any silence",
			stallRule{timeout: timeout, due: at(10 * time.Second), waitingSince: start},
			at(10*time.Second + dueGrace),
		},
		{
			"moved after the due time",
			stallRule{timeout: timeout, due: due, waitingSince: at(time.Second), lastByte: at(time.Second)},
			at(time.Second + lateStallTimeout),
		},
		{"total time", stallRule{timeout: timeout, total: due, waitingSince: start}, due},
		{
			"the stall timeout is shorter",
			stallRule{timeout: time.Millisecond, due: due, waitingSince: start},
			at(time.Millisecond),
		},
	} {
		if got := c.rule.end(); !got.Equal(c.want) {
			t.Errorf("%s: got %v after the start, want %v", c.name, got.Sub(start), c.want.Sub(start))
		}
	}
}
