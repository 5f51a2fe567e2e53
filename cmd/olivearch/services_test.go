package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/standin/instant"
)

// build returns the path of the program, built here: RUN names the platform's start, which takes none.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "olivearch")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// TestServe runs a configuration, reads it again with a bad and a good file, looks with top, and ends by SIGTERM.
func TestServe(t *testing.T) {
	node, err := instant.Start(5)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	binary, folder, listen, admin := build(t), t.TempDir(), free(t), free(t)
	path := filepath.Join(folder, "c.yaml")
	text := fmt.Sprintf(`listeners: [{address: '%s'}]
admin: {address: '%s'}
classes: {c: {aim: 250ms, deadline: 5s}}
pools: {p: {nodes: {file: nodes.yaml}}}
routes: [{name: one, path: {prefix: /one}, class: c, pool: p}]
`, listen, admin)
	write(t, path, text)
	write(t, filepath.Join(folder, "nodes.yaml"), fmt.Sprintf("nodes: [{address: '%s'}]\n", node.Address()))
	cmd := exec.Command(binary, "serve", "--config", path)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 1000)
	go func() {
		for s := bufio.NewScanner(log); s.Scan(); {
			lines <- s.Text()
		}
		close(lines)
	}()
	limit := time.AfterFunc(60*time.Second, func() { cmd.Process.Kill() })
	defer limit.Stop()
	until := func(part string) {
		t.Helper()
		var seen []string
		for line := range lines {
			if seen = append(seen, line); strings.Contains(line, part) {
				return
			}
		}
		t.Fatalf("%q was not logged: %q", part, seen)
	}
	ask := func(path string) int {
		t.Helper()
		resp, err := http.Post("http://"+listen+path, "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	until("balancer serving")
	if a, b := ask("/one"), ask("/two"); a != 200 || b != 404 {
		t.Errorf("got %d and %d", a, b)
	}
	write(t, path, strings.Replace(text, "aim: 250ms", "aim: 250", 1))
	cmd.Process.Signal(syscall.SIGHUP)
	until("c.yaml:3:20")
	if a := ask("/one"); a != 200 {
		t.Errorf("after a bad file: %d", a)
	}
	write(t, path, strings.Replace(text, "/one", "/two", 1))
	cmd.Process.Signal(syscall.SIGHUP)
	until("configuration reloaded")
	if a, b := ask("/one"), ask("/two"); a != 404 || b != 200 {
		t.Errorf("after the reload: %d and %d", a, b)
	}
	out, err := exec.Command(binary, "top", "--once", "--admin", admin).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "1 reloads") || !strings.Contains(string(out), "pool p: 0 of") || !strings.Contains(string(out), node.Address()) {
		t.Errorf("top: %v\n%s", err, out)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	until("balancer stopping")
	for range lines {
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: %v", err)
	}
}

func TestCommands(t *testing.T) {
	binary, folder := build(t), t.TempDir()
	bad, list := filepath.Join(folder, "bad.yaml"), filepath.Join(folder, "list.yaml")
	write(t, bad, "listners: []\n")
	write(t, list, "listeners: [{address: '127.0.0.1:0'}]\nclasses: {c: {aim: 1s, deadline: 1s}}\npools: {p: {nodes: {file: none.yaml}}}\nroutes: [{name: r, class: c, pool: p}]\n")
	many := filepath.Join(folder, "many.yaml")
	write(t, many, "listeners: [{address: '127.0.0.1:0'}]\ninstances: {count: 300, rank: 17}\nclasses: {c: {aim: 1s, deadline: 1s}}\npools: {p: {nodes: {discovery: '127.0.0.1:1'}}}\nroutes: [{name: r, class: c, pool: p}]\n")
	sample := filepath.Join("..", "..", "deploy", "services.yaml")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, 0, "olivearch "},
		{[]string{"--help"}, 0, "olivearch serve"},
		{[]string{"top", "--help"}, 0, "-admin"},
		{[]string{"check", sample}, 0, "1 listeners, 2 routes, 2 pools"},
		{[]string{"check", sample, bad}, 1, `bad.yaml:1:1: unknown key "listners"; did you mean "listeners"?`},
		{[]string{"check", many}, 0, "balancer 17 of 300 uses at first 3 of 10 nodes, 3 of 100 nodes"},
		{[]string{"check", many}, 0, "no tenant has bought anything"},
		{[]string{"check", list}, 1, "none.yaml"},
		{[]string{"check", filepath.Join(folder, "none")}, 1, "no such file"},
		{[]string{"check"}, 2, "wants a FILE"},
		{[]string{"serve"}, 2, "--config"},
		{[]string{"serve", "--config", bad}, 1, "bad.yaml:1:1"},
		{[]string{"chek"}, 2, `did you mean "check"`},
		{[]string{"top", "--every", "0s"}, 2, "a time over 0"},
		{[]string{"demo", "--seconds", "0"}, 2, "seconds"},
		{[]string{"top", "--once", "--admin", "127.0.0.1:1"}, 1, "127.0.0.1:1"},
	} {
		var out bytes.Buffer
		cmd := exec.Command(binary, c.args...)
		cmd.Stdout, cmd.Stderr = &out, &out
		err := cmd.Run()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		if got := cmd.ProcessState.ExitCode(); got != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: exit %d, %s; want %d with %q", c.args, got, &out, c.code, c.want)
		}
	}
}
