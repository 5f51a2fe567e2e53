package frontend

import (
	"testing"
	"time"
)

// The eviction candidate is a closing connection, else a reading one, else an idle one, and within a stage the one that
// has been there longest. Active connections and new ones are never evicted.
func TestEvictionOrder(t *testing.T) {
	type connection struct {
		name  string
		stage stage
		age   time.Duration
	}
	for _, test := range []struct {
		name        string
		from        stage
		connections []connection
		want        string // "": none
	}{
		{"no connection", stageClosing, nil, ""},
		{"active ones stay", stageClosing, []connection{{"active", stageActive, time.Hour}}, ""},
		{"new ones stay", stageClosing, []connection{{"new", stageReading, 0}}, ""},
		{"closing before reading", stageClosing, []connection{
			{"reading", stageReading, time.Hour}, {"closing", stageClosing, time.Second},
		}, "closing"},
		{"reading before idle", stageClosing, []connection{
			{"idle", stageIdle, time.Hour}, {"reading", stageReading, time.Second},
		}, "reading"},
		{"the longest of a stage", stageClosing, []connection{
			{"idle", stageIdle, time.Minute}, {"longer", stageIdle, time.Hour}, {"short", stageIdle, time.Second},
		}, "longer"},
		{"from idle on", stageIdle, []connection{
			{"closing", stageClosing, time.Hour}, {"reading", stageReading, time.Hour}, {"idle", stageIdle, time.Second},
		}, "idle"},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := New(nil, nil, DefaultLimits(1))
			names := map[*clientConn]string{}
			for _, connection := range test.connections {
				client := newClientConn(nil)
				client.stage = connection.stage
				client.stageSince = time.Now().Add(-connection.age)
				server.clients[client] = struct{}{}
				names[client] = connection.name
			}
			got := names[server.evictionCandidate(test.from)]
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestSilentRequestIsEvictedBeforeOthers guards against an idle connection, or a request that comes slowly, that is
// closed in favour of clients which stop in the middle of their requests.
func TestSilentRequestIsEvictedBeforeOthers(t *testing.T) {
	server := New(nil, nil, DefaultLimits(1))
	add := func(stage stage, since, lastRead time.Duration) *clientConn {
		client := newClientConn(nil)
		client.stage = stage
		client.stageSince = time.Now().Add(-since)
		client.readingRequest = stage == stageReading
		client.conn.lastRead.Set(time.Now().Add(-lastRead))
		server.clients[client] = struct{}{}
		return client
	}
	add(stageReading, time.Minute, 100*time.Millisecond) // slow
	idle := add(stageIdle, 200*time.Millisecond, 0)
	silent := add(stageReading, time.Second, 300*time.Millisecond)
	if server.evictionCandidate(stageClosing) != silent {
		t.Error("another connection than the longest silent one is evicted")
	}
	server.remove(silent)
	if server.evictionCandidate(stageClosing) != idle {
		t.Error("a request that comes slowly is evicted before a longer idle connection")
	}
	add(stageReading, 0, time.Minute) // its client may have gone already
	if server.makeRoom() {
		t.Error("an idle connection is evicted although a new one may end unserved")
	}
}

// TestClientThatWaitsForMemoryIsNotSilent guards against clients that are closed as silent while the balancer lets them
// wait, come again and leave ever more waiting goroutines.
func TestClientThatWaitsForMemoryIsNotSilent(t *testing.T) {
	server := New(nil, nil, DefaultLimits(1))
	client := newClientConn(nil)
	client.stage = stageReading
	client.stageSince = time.Now().Add(-time.Minute)
	server.clients[client] = struct{}{}
	client.conn.awaitsReserve.Store(true)
	if server.evictionCandidate(stageClosing) != nil {
		t.Error("a client that waits for memory is evicted")
	}
	client.conn.awaitsReserve.Store(false)
	if server.evictionCandidate(stageClosing) != client {
		t.Error("a silent client is not evicted")
	}
}
