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
				client := &clientConn{stage: connection.stage, stageSince: time.Now().Add(-connection.age)}
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
