package client

import (
	"bufio"
	"net"
	"testing"

	"olivearch/internal/coordination/state"
)

// fakeServer is a server with one connection at a time, whose messages a test reads and writes.
type fakeServer struct {
	t        *testing.T
	listener net.Listener
	conn     net.Conn
	reader   *bufio.Reader
}

func newFakeServer(t *testing.T) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &fakeServer{t: t, listener: listener}
}

func (s *fakeServer) address() string { return s.listener.Addr().String() }

// accept accepts the next connection, reads the Hello and sends welcome.
func (s *fakeServer) accept(welcome Welcome) Hello {
	s.t.Helper()
	var err error
	if s.conn, err = s.listener.Accept(); err != nil {
		s.t.Fatal(err)
	}
	conn := s.conn
	s.t.Cleanup(func() { conn.Close() })
	s.reader = bufio.NewReader(s.conn)
	body, err := ReadFrame(s.reader, 1<<20)
	if err != nil {
		s.t.Fatal(err)
	}
	hello, err := DecodeHello(body)
	if err != nil || WriteFrame(s.conn, welcome.Encode()) != nil {
		s.t.Fatal(err)
	}
	return hello
}

// send sends an Update.
func (s *fakeServer) send(update Update) {
	s.t.Helper()
	if err := WriteFrame(s.conn, update.Encode()); err != nil {
		s.t.Fatal(err)
	}
}

// answerPropose reads a Request, which must be a proposal, and responds with the outcome.
func (s *fakeServer) answerPropose(outcome Outcome) {
	s.t.Helper()
	body, err := ReadFrame(s.reader, 1<<20)
	if err != nil {
		s.t.Fatal(err)
	}
	request, err := DecodeRequest(body)
	if err != nil || request.Operation != OpPropose {
		s.t.Fatalf("%+v %v", request, err)
	}
	response := Response{Number: request.Number, Outcome: outcome, Message: "reason"}
	if err := WriteFrame(s.conn, response.Encode()); err != nil {
		s.t.Fatal(err)
	}
}

// outOfService returns a command that takes an upstream out of service.
func outOfService(target string) *state.SetOverride {
	subject := state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: target}
	return &state.SetOverride{Subject: subject, By: "x"}
}

// stateUpdate returns an Update with a state in which the targets are out of service.
func stateUpdate(t testing.TB, index, cluster uint64, targets ...string) Update {
	t.Helper()
	s := state.NewState()
	for _, target := range targets {
		if result, err := s.Apply(index, 0, outOfService(target)); err != nil || !result.OK() {
			t.Fatal(result, err)
		}
	}
	return Update{State: s.Encode(), Index: index, Cluster: cluster}
}

// commandUpdate returns an Update with one command, which takes the target out of service.
func commandUpdate(index, cluster uint64, target string) Update {
	envelope := state.Envelope{ID: index, Clock: index, Command: outOfService(target)}
	return Update{Commands: [][]byte{envelope.Encode()}, Index: index, Cluster: cluster}
}
