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
)

// askAndKeep sends a request on a new connection, which is kept open until the test ends, and returns the status.
func askAndKeep(t *testing.T, listen string, serial int) (status int, err error) {
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

// withDescriptors returns the program with a limit on its descriptors.
func withDescriptors(t *testing.T, limit int) *exec.Cmd {
	t.Helper()
	unlimited := program(t)
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$@\"", limit), "sh")
	cmd.Args = append(cmd.Args, unlimited.Args...)
	cmd.Dir = unlimited.Dir
	return cmd
}

// TestIdleClientsLeaveDescriptorsForOthers: the system gives the process fewer descriptors than its configuration says,
// and while discovery is down clients that say nothing, and such as ask once and keep their connection, come for many
// more than there are. All who ask are answered; discovery and a new upstream are reached as soon as discovery is back.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	const descriptors = 80
	var down atomic.Bool
	down.Store(true)
	node := handle(t, func(w http.ResponseWriter, r *http.Request) { respondText(t, w, r.Header.Get("X-Request-Id")) })
	list := fmt.Sprintf(`{"revision":7,"complete":true,"members":[`+
		`{"id":"s-00000001","host_port":"%s","phase":"up","size":1}]}`, node.Listener.Addr())
	discovery := handle(t, func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			w.Header().Set("Connection", "close") // each call needs a descriptor of its own
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		respondText(t, w, list)
	})
	listen := freeAddress(t)
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
		return askAndKeep(t, listen, serial)
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
