package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// balancerProcess is a process of the balancer with an address for operators' commands.
type balancerProcess struct {
	cmd          *exec.Cmd
	adminAddress string
	log          *bytes.Buffer // to be read once the process has ended
}

// send sends an operator's command and returns the answer.
func (r *balancerProcess) send(t *testing.T, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", r.adminAddress)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Error(err)
	}
	if _, err := fmt.Fprintf(conn, "%s\n", line); err != nil {
		t.Errorf("%s: %v", line, err)
	}
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("%s: %v", line, err)
	}
	return strings.TrimSpace(string(reply))
}

// await repeats a command until it is accepted.
func (r *balancerProcess) await(t *testing.T, line string) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); r.send(t, line) != "+OK"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: %s\n%s", line, r.send(t, line), r.log)
		}
	}
}

// end ends the process by SIGTERM and waits for it.
func (r *balancerProcess) end(t *testing.T) {
	t.Helper()
	sendSignal(t, r.cmd, syscall.SIGTERM)
	if err := r.cmd.Wait(); err != nil {
		t.Errorf("%v\n%s", err, r.log)
	}
}

// upgradeClients send requests one after the other until they are stopped. The test fails if a request is not
// answered by an upstream, or if its connection is closed.
type upgradeClients struct {
	listen   string
	stopped  atomic.Bool
	answered atomic.Int64
	group    sync.WaitGroup
}

// start starts clients. Every other one uses a new connection for each request.
func (c *upgradeClients) start(t *testing.T, count int) {
	for client := range count {
		c.group.Go(func() {
			if err := c.run(t, client, client%2 == 0); err != nil {
				t.Errorf("client %d: %v", client, err)
			}
		})
	}
}

func (c *upgradeClients) stop() {
	c.stopped.Store(true)
	c.group.Wait()
}

func (c *upgradeClients) run(t *testing.T, client int, newConnections bool) error {
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		return err
	}
	defer func() { conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := 0; !c.stopped.Load(); i++ {
		if newConnections && i > 0 {
			conn.Close()
			next, err := net.Dial("tcp", c.listen)
			if err != nil {
				return err
			}
			conn = next
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%02d%06d", client, i)
		got, err := exchange(conn, reader, id)
		if err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
		if got.status != http.StatusOK || got.body != id {
			t.Errorf("client %d, request %d: %d %q", client, i, got.status, got.body)
		}
		if got.closes {
			t.Errorf("client %d, request %d: its connection is closed", client, i)
		}
		c.answered.Add(1)
	}
	return nil
}

// exchange sends a request with a body of one byte on a connection and reads the answer.
func exchange(conn net.Conn, reader *bufio.Reader, id string) (answer, error) {
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return answer{}, err
	}
	if _, err := io.WriteString(conn, requestHeader(id, 1)+"1"); err != nil {
		return answer{}, err
	}
	return readAnswer(reader)
}

// awaitAnswers waits until count more requests have been answered.
func (c *upgradeClients) awaitAnswers(t *testing.T, count int64) {
	t.Helper()
	before := c.answered.Load()
	waitUntil(t, 20*time.Second, "more answers", func() bool {
		if t.Failed() {
			t.FailNow()
		}
		return c.answered.Load() >= before+count
	})
}

// requireHealthyOn requests the balancer's health on an open connection.
func requireHealthyOn(t *testing.T, when string, conn net.Conn, reader *bufio.Reader) {
	t.Helper()
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatalf("%s: %v", when, err)
	}
	if got, err := readAnswer(reader); err != nil || got.status != http.StatusOK {
		t.Fatalf("%s: %d, %v", when, got.status, err)
	}
}

// processStarter starts processes of one balancer, which may run at the same time.
type processStarter struct {
	program *exec.Cmd
	env     []string
}

func (u processStarter) start(t *testing.T) *balancerProcess {
	t.Helper()
	cmd := &exec.Cmd{Path: u.program.Path, Args: u.program.Args, Dir: u.program.Dir}
	process := &balancerProcess{cmd: cmd, adminAddress: scripted.FreeAddress(t), log: &bytes.Buffer{}}
	cmd.Env = append(os.Environ(), u.env...)
	cmd.Env = append(cmd.Env, "RELAY_MANAGEMENT="+process.adminAddress)
	cmd.Stderr = process.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killAndWait(cmd) })
	process.await(t, "status")
	return process
}

// TestUpgrade starts the program, and twice a new process that takes over from the running one, while clients send
// requests on kept and on new connections. No request is lost or rejected, kept connections stay open, and operators'
// overrides hold.
func TestUpgrade(t *testing.T) {
	var hits [2]atomic.Int64
	discovery := startDiscovery(t, len(hits), func(upstream int, w http.ResponseWriter, r *http.Request) {
		hits[upstream].Add(1)
		time.Sleep(2 * time.Millisecond)
		respondText(t, w, r.Header.Get("X-Request-Id"))
	})
	listen := scripted.FreeAddress(t)
	folder := t.TempDir()
	temporary := filepath.Join(folder, strings.Repeat("long", 30)) // longer than the address of a Unix socket may be
	if err := os.Mkdir(temporary, 0o700); err != nil {
		t.Fatal(err)
	}
	// Between the commands maint-on and maint-off no upstream is in service, and requests are queued. Their deadline is
	// longer than a slow machine takes for the commands.
	config := strings.Replace(platformConfig,
		`"target_us":250000,"give_up_us":750000`, `"target_us":8000000,"give_up_us":9000000`, 1)
	path := filepath.Join(folder, "config.json")
	writeFile(t, path, fmt.Sprintf(config, listen, discovery.Listener.Addr()))
	balancer := processStarter{program: program(t), env: []string{"RELAY_CONFIG=" + path, "TMPDIR=" + temporary}}
	current := balancer.start(t)

	clients := &upgradeClients{listen: listen}
	clients.start(t, 8)
	idle, err := net.Dial("tcp", listen) // it sends nothing during the upgrades
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idleReader := bufio.NewReader(idle)
	requireHealthyOn(t, "at first", idle, idleReader)

	current.await(t, "maint-on s-00000002")
	clients.awaitAnswers(t, 100) // requests sent before the command was accepted have arrived by then
	hitsBefore := hits[1].Load()
	for range 2 {
		next := balancer.start(t)
		// While both processes run, a command to one holds in the other at once.
		current.await(t, "maint-on s-00000001")
		next.await(t, "maint-off s-00000001")
		current.end(t)
		current = next
		clients.awaitAnswers(t, 100)
	}
	if n := hits[1].Load(); n != hitsBefore {
		t.Errorf("%d requests at the upstream that is out of service", n-hitsBefore)
	}
	current.await(t, "maint-off s-00000002")
	waitUntil(t, 20*time.Second, "requests at the upstream that is back in service", func() bool {
		return hits[1].Load() != hitsBefore
	})
	clients.stop()
	requireHealthyOn(t, "idle through all upgrades", idle, idleReader)
	current.end(t)
}
