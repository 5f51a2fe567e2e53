package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/standin/instant"
	"olivearch/internal/standin/scripted"
)

// requireStatuses posts to paths of a balancer and compares the status codes.
func requireStatuses(t *testing.T, when, listen string, want map[string]int) {
	t.Helper()
	for path, status := range want {
		response, err := http.Post("http://"+listen+path, "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != status {
			t.Errorf("%s: %s is answered %d, want %d", when, path, response.StatusCode, status)
		}
	}
}

// TestServe runs a configuration, reloads an invalid and a valid one, shows the live view by top, and ends by SIGTERM.
func TestServe(t *testing.T) {
	node, err := instant.Start(5)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	binary := buildProgram(t)
	folder := t.TempDir()
	listen := scripted.FreeAddress(t)
	admin := scripted.FreeAddress(t)
	path := filepath.Join(folder, "c.yaml")
	text := fmt.Sprintf(`listeners: [{address: '%s'}]
admin: {address: '%s'}
classes: {c: {aim: 250ms, deadline: 5s}}
pools: {p: {nodes: {file: nodes.yaml}}}
routes: [{name: one, path: {prefix: /one}, class: c, pool: p}]
`, listen, admin)
	writeFile(t, path, text)
	writeFile(t, filepath.Join(folder, "nodes.yaml"), fmt.Sprintf("nodes: [{address: '%s'}]\n", node.Address()))
	cmd := exec.Command(binary, "serve", "--config", path)
	process := startLogged(t, cmd, time.Minute)
	process.awaitLog(t, "balancer serving")
	requireStatuses(t, "at first", listen, map[string]int{"/one": 200, "/two": 404})

	writeFile(t, path, strings.Replace(text, "aim: 250ms", "aim: 250", 1))
	sendSignal(t, cmd, syscall.SIGHUP)
	process.awaitLog(t, "c.yaml:3:20")
	requireStatuses(t, "after a bad file", listen, map[string]int{"/one": 200})

	writeFile(t, path, strings.Replace(text, "/one", "/two", 1))
	sendSignal(t, cmd, syscall.SIGHUP)
	process.awaitLog(t, "configuration reloaded")
	requireStatuses(t, "after the reload", listen, map[string]int{"/one": 404, "/two": 200})

	out, err := exec.Command(binary, "top", "--once", "--admin", admin).CombinedOutput()
	if err != nil {
		t.Errorf("top: %v\n%s", err, out)
	}
	for _, want := range []string{"1 reloads", "pool p: 0 of", node.Address()} {
		if !strings.Contains(string(out), want) {
			t.Errorf("top does not show %q:\n%s", want, out)
		}
	}
	sendSignal(t, cmd, syscall.SIGTERM)
	process.awaitLog(t, "balancer stopping")
	process.awaitEnd(t)
}

func TestCommands(t *testing.T) {
	binary := buildProgram(t)
	folder := t.TempDir()
	unknownKey := filepath.Join(folder, "bad.yaml")
	writeFile(t, unknownKey, "listenrs: []\n")
	missingList := filepath.Join(folder, "list.yaml")
	writeFile(t, missingList, `listeners: [{address: '127.0.0.1:0'}]
classes: {c: {aim: 1s, deadline: 1s}}
pools: {p: {nodes: {file: none.yaml}}}
routes: [{name: r, class: c, pool: p}]
`)
	many := filepath.Join(folder, "many.yaml")
	writeFile(t, many, `listeners: [{address: '127.0.0.1:0'}]
instances: {count: 300, rank: 17}
classes: {c: {aim: 1s, deadline: 1s}}
pools: {p: {nodes: {discovery: '127.0.0.1:1'}}}
routes: [{name: r, class: c, pool: p}]
`)
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
		{[]string{"check", sample, unknownKey}, 1, `bad.yaml:1:1: unknown key "listenrs"; did you mean "listeners"?`},
		{[]string{"check", many}, 0, "balancer 17 of 300 uses at first 3 of 10 nodes, 3 of 100 nodes"},
		{[]string{"check", many}, 0, "no tenant has a quota"},
		{[]string{"check", missingList}, 1, "none.yaml"},
		{[]string{"check", filepath.Join(folder, "none")}, 1, "no such file"},
		{[]string{"check"}, 2, "wants a FILE"},
		{[]string{"serve"}, 2, "--config"},
		{[]string{"serve", "--config", unknownKey}, 1, "bad.yaml:1:1"},
		{[]string{"chek"}, 2, `did you mean "check"`},
		{[]string{"top", "--every", "0s"}, 2, "a time over 0"},
		{[]string{"demo", "--seconds", "0"}, 2, "seconds"},
		{[]string{"top", "--once", "--admin", "127.0.0.1:1"}, 1, "127.0.0.1:1"},
	} {
		var out bytes.Buffer
		cmd := exec.Command(binary, c.args...)
		cmd.Stdout = &out
		cmd.Stderr = &out
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
