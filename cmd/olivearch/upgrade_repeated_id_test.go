package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"testing"

	"olivearch/internal/standin/scripted"
)

// TestUnsafeRequestRunsOnceAcrossUpgrade guards against an unsafe request that runs twice because its client left and
// came again with the same id at the other process of an upgrade.
func TestUnsafeRequestRunsOnceAcrossUpgrade(t *testing.T) {
	for name, oldEnds := range map[string]bool{"while both processes serve": false, "after the old one has ended": true} {
		t.Run(name, func(t *testing.T) { playRepeatedIDAcrossUpgrade(t, oldEnds) })
	}
}

// playRepeatedIDAcrossUpgrade lets a client leave the old process while an upstream works on its request, and come
// again after the new one serves.
func playRepeatedIDAcrossUpgrade(t *testing.T, oldEnds bool) {
	const id, repeats = "0123456789abcdef", 20 // so that some of them reach the new process
	began := make(chan struct{}, 10*repeats)
	release := make(chan struct{})
	discovery := startDiscovery(t, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == id {
			began <- struct{}{}
			<-release
		}
		respondText(t, w, "done")
	})
	defer close(release)
	listen := scripted.FreeAddress(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "config.json")
	writeFile(t, path, fmt.Sprintf(platformConfig, listen, discovery.Listener.Addr()))
	starter := processStarter{program: program(t), env: []string{"RELAY_CONFIG=" + path, "TMPDIR=" + folder}}
	old := starter.start(t)
	client := openConnection(t, listen)
	if _, err := io.WriteString(client, platformHead(id, "", 0)); err != nil {
		t.Fatal(err)
	}
	<-began
	next := starter.start(t)
	client.Close()
	if oldEnds {
		old.end(t)
	}
	for range repeats {
		conn := openConnection(t, listen)
		if _, err := io.WriteString(conn, platformHead(id, "", 0)); err != nil {
			t.Fatal(err)
		}
		if got, err := readAnswer(bufio.NewReader(conn)); err != nil || got.status != http.StatusConflict {
			t.Errorf("the same id: status %d, %v", got.status, err)
		}
	}
	if got := post(t, listen); got != http.StatusOK {
		t.Errorf("another request: status %d", got)
	}
	if !oldEnds {
		old.end(t)
	}
	next.end(t)
	if again := len(began); again > 0 {
		t.Errorf("the request ran %d times more", again)
	}
}
