package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// sendAndKeepOpen sends a request on a new connection, which stays open until the test ends, and returns the status.
func sendAndKeepOpen(t *testing.T, listen string, serial int) (status int, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, err
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := conn.Write([]byte(requestHeader(fmt.Sprintf("%016x", serial), 0))); err != nil {
		return 0, err
	}
	got, err := readAnswer(bufio.NewReader(conn))
	return got.status, err
}

// withDescriptors returns a command that runs the program with a limit on its file descriptors.
func withDescriptors(t *testing.T, limit int) *exec.Cmd {
	t.Helper()
	unlimited := program(t)
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$@\"", limit), "sh")
	cmd.Args = append(cmd.Args, unlimited.Args...)
	cmd.Dir = unlimited.Dir
	return cmd
}

// TestIdleClientsLeaveDescriptorsForOthers: the process gets fewer file descriptors than its configuration says. While
// discovery is down, clients open more connections than it has descriptors: some send nothing, others send one request
// and keep the connection. Each request must be answered, and when discovery is back, it and the upstream that it lists
// must be reached.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	const descriptors = 80
	var down atomic.Bool
	down.Store(true)
	node := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		respondText(t, w, r.Header.Get("X-Request-Id"))
	})
	list := fmt.Sprintf(`{"revision":7,"complete":true,"members":[`+
		`{"id":"s-00000001","host_port":"%s","phase":"up","size":1}]}`, node.Listener.Addr())
	discovery := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			w.Header().Set("Connection", "close") // each call needs a new descriptor
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		respondText(t, w, list)
	})
	listen := scripted.FreeAddress(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "config.json")
	writeFile(t, path, fmt.Sprintf(platformConfig, listen, discovery.Listener.Addr()))
	log := &bytes.Buffer{}
	cmd := withDescriptors(t, descriptors)
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_DISCOVERY=", "TMPDIR="+folder)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		sendSignal(t, cmd, syscall.SIGTERM)
		if err := cmd.Wait(); err != nil || strings.Contains(log.String(), "panic") { // the log is complete only then
			t.Errorf("%v\n%s", err, log)
		}
	}()
	serial := 0
	ask := func() (status int, err error) {
		serial++
		return sendAndKeepOpen(t, listen, serial)
	}
	waitUntil(t, 20*time.Second, "ready", func() bool {
		_, err := ask()
		return err == nil
	})
	for i := range descriptors {
		silent, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		if status, err := ask(); err != nil || status != http.StatusServiceUnavailable {
			t.Fatalf("client %d: %d, %v", i, status, err)
		}
	}
	down.Store(false)
	waitUntil(t, 5*time.Second, "answered after discovery is back", func() bool {
		status, err := ask()
		if err != nil {
			t.Fatalf("after discovery is back: %v", err)
		}
		return status == http.StatusOK
	})
}
