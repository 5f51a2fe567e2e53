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
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// running is a process of the balancer with its staff's address.
type running struct {
	cmd   *exec.Cmd
	calls string
	log   *bytes.Buffer // to be read once the process has ended
}

// call makes a call of the staff.
func (r *running) call(t *testing.T, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.calls)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "%s\n", line)
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%s: %v", line, err)
	}
	return strings.TrimSpace(string(answer))
}

// await waits for a call to be answered with a yes.
func (r *running) await(t *testing.T, line string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); r.call(t, line) != "+OK"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: %s\n%s", line, r.call(t, line), r.log)
		}
	}
}

// end tells the process to end and waits for it.
func (r *running) end(t *testing.T) {
	t.Helper()
	r.cmd.Process.Signal(syscall.SIGTERM)
	if err := r.cmd.Wait(); err != nil {
		t.Errorf("%v\n%s", err, r.log)
	}
}

// discover starts so many nodes and a discovery service that lists them, all until the test ends.
func discover(t *testing.T, nodes int, answer func(node int, w http.ResponseWriter, r *http.Request)) *httptest.Server {
	t.Helper()
	var members []string
	for i := range nodes {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(i, w, r) }))
		t.Cleanup(s.Close)
		members = append(members, fmt.Sprintf(`{"id":"s-%08x","host_port":"%s","phase":"up","size":1}`, i+1, s.Listener.Addr()))
	}
	list := fmt.Sprintf(`{"revision":7,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == "7" { // nothing newer
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
		io.WriteString(w, list)
	}))
	t.Cleanup(discovery.Close)
	return discovery
}

// TestUpgrade starts the program, and twice another beside it that takes its place, while clients ask on connections that
// they keep and on new ones. No request is lost or refused, kept connections stay open, and what staff have said holds.
func TestUpgrade(t *testing.T) {
	var hits [2]atomic.Int64
	discovery := discover(t, len(hits), func(node int, w http.ResponseWriter, r *http.Request) {
		hits[node].Add(1)
		time.Sleep(2 * time.Millisecond)
		io.WriteString(w, r.Header.Get("X-Request-Id"))
	})
	listen, folder := free(t), t.TempDir()
	// Longer than the address of a Unix socket may be.
	temporary := filepath.Join(folder, strings.Repeat("long", 30))
	if err := os.Mkdir(temporary, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "config.json")
	// Between two words of staff no upstream is left, and what is asked waits for the second: here longer than a slow
	// machine takes to hear it.
	patient := strings.NewReplacer(`"target_us":250000,"give_up_us":750000`, `"target_us":8000000,"give_up_us":9000000`)
	text := fmt.Sprintf(patient.Replace(platformConfig), listen, discovery.Listener.Addr())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	first := program(t)
	binary, arguments, dir := first.Path, first.Args, first.Dir
	start := func() *running {
		r := &running{cmd: &exec.Cmd{Path: binary, Args: arguments, Dir: dir}, calls: free(t), log: &bytes.Buffer{}}
		r.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_MANAGEMENT="+r.calls, "TMPDIR="+temporary)
		r.cmd.Stderr = r.log
		if err := r.cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return r
	}
	now := start()
	now.await(t, "status")

	var stop atomic.Bool
	var asked atomic.Int64
	var clients sync.WaitGroup
	for n := range 8 {
		clients.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			defer func() { c.Close() }()
			for i := 0; !stop.Load(); i++ {
				if c == nil || n%2 == 0 { // every other client asks on new connections only
					if c != nil {
						c.Close()
					}
					var err error
					if c, err = net.Dial("tcp", listen); err != nil {
						t.Error(err)
						return
					}
					in = bufio.NewReader(c)
				}
				id := fmt.Sprintf("%02d%06d", n, i)
				c.SetDeadline(time.Now().Add(10 * time.Second))
				fmt.Fprintf(c, "POST /c HTTP/1.1\r\nHost: x\r\nX-Class: c\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n\r\n1", id)
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("client %d, request %d: %v", n, i, err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode != 200 || string(body) != id || err != nil {
					t.Errorf("client %d, request %d: %d %q %v", n, i, resp.StatusCode, body, err)
				}
				if resp.Close {
					t.Errorf("client %d, request %d: its connection is closed", n, i)
				}
				asked.Add(1)
			}
		})
	}
	quiet, err := net.Dial("tcp", listen) // says nothing until all upgrades are over
	if err != nil {
		t.Fatal(err)
	}
	defer quiet.Close()
	fmt.Fprint(quiet, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	said := bufio.NewReader(quiet)
	if resp, err := http.ReadResponse(said, nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	now.await(t, "maint-on s-00000002")
	// What was written before the yes may still be on its way; a hundred answers later it is not.
	more := func(n int64) {
		t.Helper()
		before := asked.Load()
		for deadline := time.Now().Add(20 * time.Second); asked.Load() < before+n; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) || t.Failed() {
				t.Fatalf("%d requests answered\n%s", asked.Load()-before, now.log)
			}
		}
	}
	more(100)
	out := hits[1].Load()
	for range 2 {
		next := start()
		next.await(t, "status")
		// What is said to one while both run holds in the other at once.
		now.await(t, "maint-on s-00000001")
		next.await(t, "maint-off s-00000001")
		now.end(t)
		now = next
		more(100)
	}
	if n := hits[1].Load(); n != out {
		t.Errorf("%d requests at the upstream that is out", n-out)
	}
	now.await(t, "maint-off s-00000002")
	for deadline := time.Now().Add(20 * time.Second); hits[1].Load() == out; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the upstream that was called back gets nothing")
		}
	}
	stop.Store(true)
	clients.Wait()
	fmt.Fprint(quiet, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(said, nil); err != nil || resp.StatusCode != 200 {
		t.Error("the connection that was idle through all upgrades:", err)
	}
	now.end(t)
}
