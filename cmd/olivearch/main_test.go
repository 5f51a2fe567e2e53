package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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

// program returns the command to start: the deployed one if RUN names it, from the root, or else one built here.
func program(t *testing.T) *exec.Cmd {
	t.Helper()
	if run := os.Getenv("RUN"); run != "" {
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = filepath.Join("..", "..")
		return cmd
	}
	path := filepath.Join(t.TempDir(), "olivearch")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return exec.Command(path)
}

// free returns an address on which nothing listens.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestSmoke starts the program, waits until it is healthy, sends SIGHUP with a bad and with a good configuration, and
// ends it by SIGTERM. The first discovery is down, also in RELAY_DISCOVERY; the second must be asked.
func TestSmoke(t *testing.T) {
	listen := free(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	down := free(t)
	configure(fmt.Sprintf(platformConfig, listen, down))
	asked := make(chan string, 100)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer second.Close()
	cmd := program(t)
	var log bytes.Buffer
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_DISCOVERY="+down)
	read, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended, badRead := make(chan error, 1), make(chan struct{})
	go func() {
		var once sync.Once
		for lines := bufio.NewScanner(read); lines.Scan(); {
			log.WriteString(lines.Text() + "\n")
			if strings.Contains(lines.Text(), "configuration not reloaded") {
				once.Do(func() { close(badRead) })
			}
		}
		ended <- cmd.Wait()
	}()
	limit := time.After(30 * time.Second)
	for healthy := false; !healthy; {
		resp, err := http.Get("http://" + listen + "/healthz")
		if err == nil {
			resp.Body.Close()
			healthy = resp.StatusCode == http.StatusOK
		}
		select {
		case err := <-ended:
			t.Fatalf("ended early: %v\n%s", err, &log)
		case <-limit:
			cmd.Process.Kill()
			t.Fatalf("not healthy in time: %v", <-ended)
		case <-time.After(10 * time.Millisecond):
		}
	}
	await := func(what string, happened <-chan struct{}) {
		t.Helper()
		select {
		case <-happened:
		case err := <-ended:
			t.Fatalf("ended before %s: %v\n%s", what, err, &log)
		case <-limit:
			cmd.Process.Kill()
			t.Fatalf("%s: not in time: %v", what, <-ended)
		}
	}
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	configure("{")
	signal(syscall.SIGHUP)
	await("a bad configuration is logged", badRead)
	configure(fmt.Sprintf(platformConfig, listen, second.Listener.Addr()))
	signal(syscall.SIGHUP)
	moved := make(chan struct{})
	go func() { <-asked; close(moved) }()
	await("the new discovery is asked", moved)
	signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, &log)
		}
	case <-limit:
		cmd.Process.Kill()
		t.Fatalf("not ended in time: %v", <-ended)
	}
}

func TestBadStartSaysWhy(t *testing.T) {
	cmd := program(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "RELAY_CONFIG") {
		t.Errorf("got %v, %s", err, out)
	}
}
