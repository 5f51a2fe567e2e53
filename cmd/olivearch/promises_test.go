package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/standin/scripted"
)

// TestOverrideIsShared starts three coordination servers and two balancers. An override that is set at one balancer
// holds at the other and survives a restart of the first without the cluster. Without the cluster, the answers to
// operators say that an override was not stored there. Requests are served throughout.
func TestOverrideIsShared(t *testing.T) {
	var hits [2]atomic.Int64
	discovery := startDiscovery(t, len(hits), func(node int, w http.ResponseWriter, _ *http.Request) {
		hits[node].Add(1)
		if _, err := io.WriteString(w, "done"); err != nil {
			t.Log(err)
		}
	})
	folder := t.TempDir()
	cluster := startCoordinationCluster(t, folder)
	cluster.awaitLeader(t)
	starter := balancerStarter{
		program:   program(t),
		folder:    folder,
		discovery: discovery.Listener.Addr().String(),
		voters:    cluster.voters,
	}
	first, _ := starter.start(t, "one")
	_, secondAddress := starter.start(t, "two")
	requireServed(t, secondAddress)

	got := first.send(t, "maint-on s-00000001")
	if !strings.HasPrefix(got, "+OK held by ") || !strings.HasSuffix(got, " of 3") {
		t.Fatalf("maint-on: %s", got)
	}
	if !stopsSending(t, secondAddress, &hits[0]) {
		t.Error("the other balancer was not notified")
	}
	if got := first.send(t, "maint-on s-00000009"); !strings.HasPrefix(got, "-ERR there is no upstream") {
		t.Errorf("maint-on of an unknown upstream: %s", got)
	}
	awaitStoredOverride(t, filepath.Join(folder, "one", "copy"), "s-00000001")
	killAndWait(first.cmd)
	cluster.kill()

	restarted, address := starter.start(t, "one")
	if !stopsSending(t, address, &hits[0]) {
		t.Error("the override does not hold after a restart")
	}
	checkAnswersWithoutQuorum(t, restarted)
	// An upstream that is back in service warms up first.
	for deadline := time.Now().Add(10 * time.Second); post(t, address) != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("the upstream that is back in service serves nothing")
		}
	}
}

// checkAnswersWithoutQuorum sets and clears overrides at a balancer for which s-00000001 is out of service by a shared
// override.
func checkAnswersWithoutQuorum(t *testing.T, balancer *balancerProcess) {
	t.Helper()
	began := time.Now()
	if got := balancer.send(t, "maint-off s-00000001"); !strings.HasPrefix(got, "-ERR still out, here and at the others") {
		t.Errorf("maint-off without a quorum: %s", got)
	}
	if got := balancer.send(t, "maint-on s-00000002"); !strings.HasPrefix(got, "-ERR only here, not copied") {
		t.Errorf("maint-on without a quorum: %s", got)
	}
	if got := balancer.send(t, "maint-off s-00000002"); !strings.HasPrefix(got, "-ERR back here") {
		t.Errorf("maint-off of a local override: %s", got)
	}
	if took := time.Since(began); took > 8*time.Second {
		t.Errorf("three answers took %v", took)
	}
}

// coordinationCluster is three coordination servers that run until the test ends.
type coordinationCluster struct {
	addresses map[string]string // by name
	voters    string            // the value of voters in a configuration file
	servers   []*exec.Cmd
}

func startCoordinationCluster(t *testing.T, folder string) *coordinationCluster {
	t.Helper()
	program := filepath.Join(folder, "olivearch-coordinator")
	build := exec.Command("go", "build", "-o", program, "olivearch/cmd/olivearch-coordinator")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	cluster := &coordinationCluster{addresses: map[string]string{}}
	var voters []string
	for _, name := range []string{"k1", "k2", "k3"} {
		cluster.addresses[name] = scripted.FreeAddress(t)
		voters = append(voters, fmt.Sprintf("%s: '%s'", name, cluster.addresses[name]))
	}
	cluster.voters = "{" + strings.Join(voters, ", ") + "}"
	for name := range cluster.addresses {
		disk := filepath.Join(folder, name)
		if err := os.Mkdir(disk, 0o700); err != nil {
			t.Fatal(err)
		}
		settings := fmt.Sprintf("name: %s\nfolder: %s\nvoters: %s\n", name, disk, cluster.voters)
		if err := os.WriteFile(disk+".yaml", []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		server := exec.Command(program, "run", disk+".yaml")
		if err := server.Start(); err != nil {
			t.Fatal(err)
		}
		cluster.servers = append(cluster.servers, server)
		t.Cleanup(func() { killAndWait(server) })
	}
	return cluster
}

// awaitLeader waits until a linearizable read succeeds, which requires a leader.
func (c *coordinationCluster) awaitLeader(t *testing.T) {
	t.Helper()
	caller := client.New("test", c.addresses)
	defer caller.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if _, _, err := caller.Read(ctx); err != nil {
		t.Fatal(err)
	}
}

// kill ends all servers.
func (c *coordinationCluster) kill() {
	for _, server := range c.servers {
		killAndWait(server)
	}
}

// killAndWait ends a process, which may have ended already: Wait returns that it was killed.
func killAndWait(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// balancerStarter starts balancers that use one discovery service and one coordination cluster.
type balancerStarter struct {
	program   *exec.Cmd
	folder    string
	discovery string
	voters    string
}

// start starts a balancer of that name with its own folder, and returns it and its address for clients.
func (s balancerStarter) start(t *testing.T, name string) (*balancerProcess, string) {
	t.Helper()
	own := filepath.Join(s.folder, name)
	if err := os.MkdirAll(own, 0o700); err != nil {
		t.Fatal(err)
	}
	listen := scripted.FreeAddress(t)
	config, promises := filepath.Join(own, "config.json"), filepath.Join(own, "promises.yaml")
	files := map[string]string{
		config:   fmt.Sprintf(platformConfig, listen, s.discovery),
		promises: fmt.Sprintf("copy: %s\nvoters: %s\n", filepath.Join(own, "copy"), s.voters),
	}
	for path, text := range files {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cmd := &exec.Cmd{Path: s.program.Path, Args: s.program.Args, Dir: s.program.Dir}
	balancer := &balancerProcess{cmd: cmd, adminAddress: scripted.FreeAddress(t), log: &bytes.Buffer{}}
	cmd.Env = append(os.Environ(),
		"RELAY_CONFIG="+config, "RELAY_MANAGEMENT="+balancer.adminAddress, "RELAY_PROMISES="+promises, "TMPDIR="+own)
	cmd.Stderr = balancer.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killAndWait(cmd) })
	balancer.await(t, "status")
	return balancer, listen
}

// post sends a request to a balancer and returns the status.
func post(t *testing.T, address string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/c/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", time.Now().UnixNano()))
	request.Header.Set("X-Class", "c")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Error(err)
	}
	return response.StatusCode
}

func requireServed(t *testing.T, address string) {
	t.Helper()
	if status := post(t, address); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// stopsSending reports whether a balancer soon sends no more requests to the upstream that counts them in hits.
func stopsSending(t *testing.T, address string, hits *atomic.Int64) bool {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		before := hits.Load()
		for range 20 {
			requireServed(t, address)
		}
		if hits.Load() == before {
			return true
		}
	}
	return false
}

// awaitStoredOverride waits until a balancer's stored copy names the target. It is written after the answer is sent.
func awaitStoredOverride(t *testing.T, path, target string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		stored, err := os.ReadFile(path)
		if err == nil && bytes.Contains(stored, []byte(target)) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the override is not in the stored copy: %v", err)
		}
	}
}

// TestFormatCounts checks the form in which the subcommand members prints the numbers of grants.
func TestFormatCounts(t *testing.T) {
	for _, test := range []struct {
		counts map[string]int
		want   string
	}{
		{nil, "none"},
		{map[string]int{"out": 1}, "1 out"},
		{map[string]int{"share": 1, "out": 2, "lease": 0, "bound": 10}, "10 bound, 0 lease, 2 out, 1 share"},
	} {
		if got := formatCounts(test.counts); got != test.want {
			t.Errorf("%v: %q, wanted %q", test.counts, got, test.want)
		}
	}
}

// TestPromisesArguments checks which subcommands are accepted, with which numbers of arguments.
func TestPromisesArguments(t *testing.T) {
	for _, known := range []string{
		"list", "show s-1", "set out s-1", "set cap s-1 7", "clear out s-1", "bound b 4", "members",
		"members add k4=127.0.0.1:7104", "members remove k4", "replace k2", "snapshot FILE", "restore FILE",
	} {
		words := strings.Fields(known)
		if command, err := findPromisesCommand(words); err != nil || command.name != words[0] {
			t.Errorf("%s: %v", known, err)
		}
	}
	for _, unknown := range []string{
		"nothing", "list x", "show", "show a b", "set out", "set cap s-1 7 8", "clear out", "bound b", "members a b c",
		"replace", "snapshot", "restore a b",
	} {
		if _, err := findPromisesCommand(strings.Fields(unknown)); !errors.Is(err, errUsage) {
			t.Errorf("%s: %v", unknown, err)
		}
	}
	want := "list, show, set, clear, bound, members, replace, snapshot or restore"
	if got := promisesCommandNames(); got != want {
		t.Errorf("%q, wanted %q", got, want)
	}
}
