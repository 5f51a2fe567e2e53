package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The system gives the process fewer descriptors than its configuration says, and while discovery is down clients that say nothing, and
// such as ask once and keep their connection, come for many more than there are. All who ask are answered; discovery and a new
// upstream are reached as soon as discovery is back.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	const descriptors = 80
	var down atomic.Bool
	down.Store(true)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, r.Header.Get("X-Request-Id")) }))
	defer node.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			w.Header().Set("Connection", "close") // each call needs a descriptor of its own
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintf(w, `{"revision":7,"complete":true,"members":[{"id":"s-00000001","host_port":"%s","phase":"up","size":1}]}`, node.Listener.Addr())
	}))
	defer discovery.Close()
	listen, folder := free(t), t.TempDir()
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, platformConfig, listen, discovery.Listener.Addr()), 0o600); err != nil {
		t.Fatal(err)
	}
	p := program(t)
	log := &bytes.Buffer{}
	cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec \"$@\"", descriptors), "sh")
	cmd.Args, cmd.Dir, cmd.Stderr = append(cmd.Args, p.Args...), p.Dir, log
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_DISCOVERY=", "TMPDIR="+folder)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil || strings.Contains(log.String(), "panic") { // the log is whole only then
			t.Errorf("%v\n%s", err, log)
		}
	}()
	serial := 0
	ask := func() (status int, err error) {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return 0, err
		}
		t.Cleanup(func() { c.Close() }) // it is kept until then
		c.SetDeadline(time.Now().Add(10 * time.Second))
		serial++
		fmt.Fprintf(c, "POST /c HTTP/1.1\r\nHost: x\r\nX-Class: c\r\nX-Request-Id: %016x\r\nContent-Length: 0\r\n\r\n", serial)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	for limit := time.Now().Add(20 * time.Second); ; {
		if _, err := ask(); err == nil {
			break
		} else if time.Now().After(limit) {
			t.Fatalf("not ready: %v", err)
		}
	}
	for i := range 2 * descriptors {
		if i%2 == 0 { // it says nothing
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		} else if status, err := ask(); err != nil || status != http.StatusServiceUnavailable {
			t.Fatalf("client %d: %d, %v", i, status, err)
		}
	}
	down.Store(false)
	for back := time.Now(); ; {
		status, err := ask()
		if status == http.StatusOK {
			break
		}
		if err != nil || time.Since(back) > 5*time.Second {
			t.Fatalf("%v after discovery is back: %d, %v", time.Since(back), status, err)
		}
	}
}
