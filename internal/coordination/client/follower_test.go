package client

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

// TestFollower: a follower applies updates, measures the age of its copy by its own pings, ignores an older state and
// that of another cluster, and starts from its stored copy.
func TestFollower(t *testing.T) {
	server := newFakeServer(t)
	path := filepath.Join(t.TempDir(), "copy")
	changes := make(chan []state.Override, 100)
	start := func() *Follower {
		return StartFollower(
			"b-1", map[string]string{"k1": server.address()}, path,
			func(overrides []state.Override) { changes <- overrides },
		)
	}
	follower := start()
	if follower.View().Known || follower.View().Age(time.Now()) < time.Hour {
		t.Error("the view has a state before one was received")
	}
	checkUpdates(t, server, follower, changes)
	checkOlderAndForeignStates(t, server, follower)
	follower.Close()

	checkStoredCopy(t, path, start, changes)
}

// checkUpdates sends a state, commands, a heartbeat and a command of an unknown kind.
func checkUpdates(t *testing.T, server *fakeServer, follower *Follower, changes <-chan []state.Override) {
	t.Helper()
	server.accept(Welcome{Cluster: 5, ID: 1, Name: "k1"})
	server.send(stateUpdate(t, 10, 5, "a"))
	if overrides := <-changes; len(overrides) != 1 {
		t.Errorf("%v", overrides)
	}
	server.send(commandUpdate(11, 5, "b"))
	if overrides := <-changes; len(overrides) != 2 || follower.View().Index != 11 {
		t.Errorf("%v", overrides)
	}
	ping, err := ReadFrame(server.reader, 1<<10)
	if number, _ := DecodePing(ping); err != nil || number != 1 {
		t.Fatalf("ping %d: %v", number, err)
	}
	receivedAt := time.Now()
	server.send(Update{Heartbeat: true, Index: 11, Ping: 1, Cluster: 5, Leader: "k1", Voters: 3})
	var envelope, command protomsg.Writer // of a kind that only a newer version knows
	command.Uint(1, 1000)
	envelope.Raw(3, command.Bytes())
	server.send(Update{Commands: [][]byte{envelope.Bytes()}, Index: 12, Cluster: 5})
	server.send(commandUpdate(13, 5, "c"))
	for overrides := range changes {
		if len(overrides) == 3 {
			break
		}
	}
	age, leader := follower.View().Age(time.Now()), follower.View().Leader
	if age > time.Since(receivedAt)+2*time.Second || leader != "k1" {
		t.Errorf("age %v, %+v", age, follower.View())
	}
}

// checkOlderAndForeignStates sends a state that is older than the follower's, and one of another cluster. The follower
// must keep its own.
func checkOlderAndForeignStates(t *testing.T, server *fakeServer, follower *Follower) {
	t.Helper()
	server.conn.Close()
	if hello := server.accept(Welcome{Cluster: 5}); hello.Applied != 13 || hello.Cluster != 5 {
		t.Errorf("%+v", hello)
	}
	server.send(stateUpdate(t, 12, 5))
	server.accept(Welcome{Cluster: 6})
	server.send(stateUpdate(t, 99, 6))
	server.accept(Welcome{Cluster: 5})
	if view := follower.View(); len(view.Overrides) != 3 || view.Cluster != 5 || view.Fault == "" {
		t.Errorf("%+v", view)
	}
}

// checkStoredCopy starts two followers while no server answers: one from the stored copy, and one from a damaged copy.
func checkStoredCopy(t *testing.T, path string, start func() *Follower, changes <-chan []state.Override) {
	t.Helper()
	follower := start()
	overrides := <-changes
	if len(overrides) != 3 || !follower.View().Known || follower.View().Age(time.Now()) < time.Hour {
		t.Errorf("%v %+v", overrides, follower.View())
	}
	follower.Close()
	if err := os.WriteFile(path, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	follower = start()
	defer follower.Close()
	if follower.View().Known {
		t.Error("the view has a state from a damaged copy")
	}
}
