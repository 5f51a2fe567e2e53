package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/service"
)

// serveWith runs a service with its signals and what reads its configuration.
func serveWith(
	running *service.Service, configuration *config.Loaded, hangups, terminations <-chan os.Signal,
	reload func(*config.Loaded) (*config.Loaded, error),
) error {
	s := &server{
		service: running, configuration: configuration,
		hangups: hangups, terminations: terminations, reload: reload,
	}
	return s.run()
}

// TestReloadDuringReload: while a configuration is being read it is written again twice, with a hang-up each; the last text wins, and
// SIGTERM is not lost behind hang-ups, however many there are.
func TestReloadDuringReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.yaml")
	text := func(route string) string {
		return "listeners: [{address: '127.0.0.1:0'}]\nclasses: {c: {aim: 250ms, deadline: 1s}}\npools: {p: {nodes: {static: []}}}\nroutes:\n- {name: one, path: {prefix: /" + route + "}, class: c, pool: p}\n"
	}
	write(t, path, text("a"))
	c, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := service.Start(c, "test")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + s.Address("127.0.0.1:0").String()
	known := func(route string) bool {
		t.Helper()
		resp, err := http.Get(url + "/" + route)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode != http.StatusNotFound
	}
	hangups, ends, reads := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan string)
	hangup := func() { // as signal.Notify: one that finds no room is dropped
		select {
		case hangups <- syscall.SIGHUP:
		default:
		}
	}
	n := 0
	served := make(chan error, 1)
	go func() {
		served <- serveWith(s, c, hangups, ends, func(old *config.Loaded) (*config.Loaded, error) {
			next, err := config.Reload(path, old)
			if n++; n == 1 { // it has been read: what comes now is too late for it
				write(t, path, text("c"))
				hangup()
				write(t, path, text("d"))
				hangup()
				hangup()
			}
			reads <- next.Table.Rule("one").Path
			return next, err
		})
	}()
	write(t, path, text("b"))
	hangup()
	for _, want := range []string{"/b", "/d"} {
		select {
		case got := <-reads:
			if got != want {
				t.Errorf("read %s, want %s", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("a hang-up was lost")
		}
	}
	for end := time.Now().Add(20 * time.Second); !known("d"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the last text does not hold")
		}
	}
	if known("a") || known("b") || known("c") {
		t.Error("an old text holds")
	}
	for range 10 {
		hangup()
	}
	ends <- syscall.SIGTERM
	for {
		select {
		case <-reads:
		case err := <-served:
			if err != nil {
				t.Error(err)
			}
			return
		case <-time.After(20 * time.Second):
			t.Fatal("SIGTERM was lost")
		}
	}
}

// TestMemoryAtItsLimit: a configuration that the memory does not bear is refused in one line with its place, by check, at the start
// and by a reload, at which the old one goes on.
func TestMemoryAtItsLimit(t *testing.T) {
	folder := t.TempDir()
	path, big := filepath.Join(folder, "c.yaml"), filepath.Join(folder, "big.yaml")
	text := func(tenants int) string {
		var b strings.Builder
		b.WriteString("listeners: [{address: '127.0.0.1:0', connections: 20}]\nlimits:\n  memory: 40MiB\n  bodies: 1MiB\nclasses: {c: {aim: 250ms, deadline: 1s}}\npools: {p: {nodes: {static: []}, queue: 20}}\nroutes:\n- {name: one, class: c, pool: p}\ntenants:\n")
		for i := range tenants {
			fmt.Fprintf(&b, "  tenant-with-a-long-name-%06d: {quota: 5}\n", i)
		}
		return b.String()
	}
	write(t, path, text(10))
	write(t, big, text(80000))
	if err := check([]string{big}, &strings.Builder{}); err == nil || !strings.HasPrefix(err.Error(), big+":3:11: reading the file takes about") || strings.Contains(err.Error(), "\n") {
		t.Errorf("check: %v", err)
	}
	if _, err := config.Load(big); err == nil {
		t.Error("a start takes it")
	}
	c, err := config.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	s, err := service.Start(c, "test")
	if err != nil {
		t.Fatal(err)
	}
	hangups, ends, told, served := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan error), make(chan error, 1)
	go func() {
		served <- serveWith(s, c, hangups, ends, func(old *config.Loaded) (*config.Loaded, error) {
			if old != c {
				t.Error("another configuration holds")
			}
			next, err := config.Reload(path, old)
			told <- err
			return next, err
		})
	}()
	write(t, path, text(80000))
	for range 2 {
		hangups <- syscall.SIGHUP
		if err := <-told; err == nil || !strings.Contains(err.Error(), "12 MiB of it for the configuration that holds") {
			t.Errorf("reload: %v", err)
		}
	}
	resp, err := http.Get("http://" + s.Address("127.0.0.1:0").String())
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if s.View().Reloads != 0 {
		t.Error("the old configuration does not go on")
	}
	ends <- syscall.SIGTERM
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// TestCheckAtSize: 490 pools of one of many balancers are checked within a few seconds, with what they cost; with too few descriptors or too
// little memory for their nodes it says how much is needed.
func TestCheckAtSize(t *testing.T) {
	folder := t.TempDir()
	var pools, routes, list strings.Builder
	for i := range 490 {
		fmt.Fprintf(&pools, "  p%03d: {nodes: {file: l.yaml}}\n", i)
		fmt.Fprintf(&routes, "  - {name: r%03d, path: {prefix: /%d}, class: c, pool: p%03d}\n", i, i, i)
	}
	list.WriteString("nodes:\n")
	for i := range 60 {
		fmt.Fprintf(&list, "- {address: '127.0.0.1:%d'}\n", i+1)
	}
	write(t, filepath.Join(folder, "l.yaml"), list.String())
	for _, c := range []struct{ limits, want, wrong string }{
		{"{descriptors: 4096, memory: 512MiB}", "cost: 490 pools, 29400 nodes in lists, 490 routes, 0 tenants: about 75 MiB", ""},
		{"{descriptors: 1024}", "", "c.yaml:1:23: listeners and pools may take 1050 with a reserve of 48, more than the 1024 there are"},
		{"{descriptors: 4096}", "", "c.yaml:1:9: pools may hold 1960 requests, which can take 355 MiB"},
		{"{descriptors: 1200, memory: 160MiB}", "cost: 490 pools", ""},
		{"{descriptors: 1200, memory: 64MiB, bodies: 1MiB}", "", "pools may hold 490 requests, which can take"},
	} {
		path := filepath.Join(folder, "c.yaml")
		write(t, path, "limits: "+c.limits+"\nlisteners: [{address: '127.0.0.1:0'}]\ninstances: {count: 1500, rank: 3}\nclasses: {c: {aim: 250ms, deadline: 1s}}\npools:\n"+pools.String()+"routes:\n"+routes.String())
		var out strings.Builder
		began := time.Now()
		err := check([]string{path}, &out)
		took := time.Since(began)
		if (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) || !strings.Contains(out.String(), c.want) || took > 5*time.Second {
			t.Errorf("%s: after %v %v\n%.300s", c.limits, took, err, &out)
		}
	}
	var e interface{ Unwrap() []error }
	if err := check([]string{filepath.Join(folder, "c.yaml")}, &strings.Builder{}); errors.As(err, &e) && len(e.Unwrap()) > 1 {
		t.Errorf("more than one line: %v", err)
	}
}
