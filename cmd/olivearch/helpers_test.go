package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const platformConfig = `{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},
"settings":{"az":"z1","balancers":1,"membership_mode":"on_request","weights":"nominal","worth_by":"work",
"limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":100000,"keepalive_us":60000000},
"obligations":{"ask_within_us":10000000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3},
"profiles":[{"name":"c","target_us":250000,"give_up_us":750000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}}`

// program returns the command that starts the balancer: the platform's, run from the repository's root, if RUN has it,
// or else a program built here.
func program(t testing.TB) *exec.Cmd {
	t.Helper()
	if run := os.Getenv("RUN"); run != "" {
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = filepath.Join("..", "..")
		return cmd
	}
	return exec.Command(buildProgram(t))
}

// buildProgram builds the program and returns its path. Tests with arguments need it, since the command in RUN takes
// none.
func buildProgram(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "olivearch")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// writeFile replaces a file by a rename, so that no reader sees a part of it.
func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// waitUntil polls a condition and fails the test if it doesn't hold within a limit.
func waitUntil(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// isHealthy reports whether a balancer answers its health check with 200.
func isHealthy(listen string) bool {
	response, err := http.Get("http://" + listen + "/healthz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// answer is an HTTP response that has been read to its end.
type answer struct {
	status int
	body   string
	closes bool // the connection is closed after it
}

func readAnswer(reader *bufio.Reader) (answer, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), closes: response.Close}, err
}

// requestHeader returns the header of a request of class c with a body of the given length.
func requestHeader(id string, bodyLength int) string {
	return fmt.Sprintf("POST /c HTTP/1.1\r\nHost: x\r\nX-Class: c\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n",
		id, bodyLength)
}

// startServer starts a server, which runs until the test ends.
func startServer(t testing.TB, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// startDiscovery starts upstreams and a discovery service that lists them. All run until the test ends.
func startDiscovery(
	t testing.TB, upstreams int, respond func(upstream int, w http.ResponseWriter, r *http.Request),
) *httptest.Server {
	t.Helper()
	var members []string
	for i := range upstreams {
		server := startServer(t, func(w http.ResponseWriter, r *http.Request) { respond(i, w, r) })
		members = append(members,
			fmt.Sprintf(`{"id":"s-%08x","host_port":"%s","phase":"up","size":1}`, i+1, server.Listener.Addr()))
	}
	list := fmt.Sprintf(`{"revision":7,"complete":true,"members":[%s]}`, strings.Join(members, ","))
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == "7" { // nothing newer
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
		respondText(t, w, list)
	})
}

// respondText writes a response. An error is only logged, since the client may have left.
func respondText(t testing.TB, w io.Writer, text string) {
	if _, err := io.WriteString(w, text); err != nil {
		t.Log(err)
	}
}

// sendSignal sends a signal to a process that the test has started.
func sendSignal(t *testing.T, cmd *exec.Cmd, signal syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Errorf("signal %v: %v", signal, err)
	}
}

// loggedProcess is a process whose log is read line by line.
type loggedProcess struct {
	cmd   *exec.Cmd
	lines chan string // closed when the log ends
	seen  []string    // lines received so far
}

// startLogged starts a process. It is killed when the test ends, or after a limit, so that awaitLog and awaitEnd fail.
func startLogged(t testing.TB, cmd *exec.Cmd, limit time.Duration) *loggedProcess {
	t.Helper()
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &loggedProcess{cmd: cmd, lines: make(chan string, 10000)}
	go func() {
		defer close(p.lines)
		for scanner := bufio.NewScanner(log); scanner.Scan(); {
			p.lines <- scanner.Text()
		}
	}()
	kill := func() { _ = cmd.Process.Kill() } // it may have ended
	timer := time.AfterFunc(limit, kill)
	t.Cleanup(func() {
		timer.Stop()
		kill()
		if t.Failed() {
			p.drain()
			t.Logf("its log: %q", p.seen)
		}
	})
	return p
}

func (p *loggedProcess) drain() {
	for line := range p.lines {
		p.seen = append(p.seen, line)
	}
}

// awaitLog waits for a line that contains a text, after the lines received so far.
func (p *loggedProcess) awaitLog(t *testing.T, text string) {
	t.Helper()
	for line := range p.lines {
		p.seen = append(p.seen, line)
		if strings.Contains(line, text) {
			return
		}
	}
	t.Fatalf("%q was not logged", text)
}

// awaitEnd waits until the process has ended and requires exit status 0, which a killed process does not have.
func (p *loggedProcess) awaitEnd(t *testing.T) {
	t.Helper()
	p.drain()
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
