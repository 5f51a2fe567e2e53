package proxy

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"olivearch/internal/hotrestart"
)

func TestPeerStateTransitions(t *testing.T) {
	for _, c := range []struct {
		name      string
		from      peerState
		event     peerEvent
		to        peerState
		hasServed bool
	}{
		{"a new process begins to serve", peerStarting, peerBecameReady, peerServing, true},
		{"a new process ends before it serves", peerStarting, peerLinkEnded, peerFailed, false},
		{"a serving process announces it again", peerServing, peerBecameReady, peerServing, true},
		{"a serving process ends", peerServing, peerLinkEnded, peerFinished, true},
		{"ready after a failed start", peerFailed, peerBecameReady, peerFailed, false},
		{"a second end after a failed start", peerFailed, peerLinkEnded, peerFailed, false},
		{"ready after the end", peerFinished, peerBecameReady, peerFinished, true},
		{"a second end", peerFinished, peerLinkEnded, peerFinished, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := c.from.after(c.event)
			want(t, "state", got, c.to)
			want(t, "has served", got.hasServed(), c.hasServed)
		})
	}
}

// linkedPeer returns a peerProcess and the other end of its link.
func linkedPeer(t *testing.T) (*peerProcess, *hotrestart.Link) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "peer.sock")
	listener, err := hotrestart.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	near, err := hotrestart.Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return newPeerProcess(near, peerStarting), far
}

// A notification succeeds with the ack of its serial. It fails if the link ends or the ack does not come in time.
func TestNotifyPeerWaitsForTheAck(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(p *peerProcess, serial uint64)
		want   error
	}{
		{"acknowledged", func(p *peerProcess, serial uint64) { p.handleAck(serial) }, nil},
		{"another serial", func(p *peerProcess, serial uint64) { p.handleAck(serial + 1) }, errPeerTimeout},
		{"no answer", func(*peerProcess, uint64) {}, errPeerTimeout},
		{"the link ends", func(p *peerProcess, _ uint64) { p.handleLinkEnd() }, errPeerLinkEnded},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer, far := linkedPeer(t)
			notified := make(chan error, 1)
			go func() { notified <- peer.notify(hotrestart.Message{Standby: true}) }()
			message, _, err := far.Receive()
			if err != nil {
				t.Fatal(err)
			}
			want(t, "kind", message.Kind, hotrestart.KindState)
			want(t, "standby", message.Standby, true)
			want(t, "serial", message.Serial, uint64(1))
			c.answer(peer, message.Serial)
			if err := <-notified; !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			want(t, "acks still awaited", len(peer.pendingAcks), 0)
		})
	}
}

// Without an old process, the error of TakeOver is os.ErrNotExist, so a caller can tell this case from a failed
// takeover.
func TestTakeOverWithoutAnOldProcess(t *testing.T) {
	_, err := TakeOver(filepath.Join(t.TempDir(), "none.sock"), "127.0.0.1:7070")
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want an os.ErrNotExist", err)
	}
}

// TakeOver fails if the old process answers without its listener, with another kind of message, or for another address.
func TestTakeOverRejectsWrongAnswers(t *testing.T) {
	const address = "127.0.0.1:7070"
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	socket := clients.(*net.TCPListener)
	for _, c := range []struct {
		name   string
		answer hotrestart.Message
		socket syscall.Conn
		want   string
	}{
		{"no listener", hotrestart.Message{Kind: hotrestart.KindState, Listen: address}, nil, errNoListener.Error()},
		{"another address", hotrestart.Message{Kind: hotrestart.KindState, Listen: "127.0.0.1:1"}, socket, `"127.0.0.1:1"`},
		{"another kind", hotrestart.Message{Kind: hotrestart.KindReady}, socket, "the old process serves"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "old.sock")
			answerTakeover(t, path, c.answer, c.socket)
			if _, err := TakeOver(path, address); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want it to name %s", err, c.want)
			}
		})
	}
}

// answerTakeover listens at a path, and answers the first takeover request with a message and a socket.
func answerTakeover(t *testing.T, path string, answer hotrestart.Message, socket syscall.Conn) {
	t.Helper()
	listener, err := hotrestart.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		link, err := listener.Accept()
		if err != nil {
			return
		}
		defer link.Close()
		if _, _, err := link.Receive(); err != nil {
			return
		}
		if err := link.Send(answer, socket); err != nil {
			t.Error(err)
		}
	}()
}
