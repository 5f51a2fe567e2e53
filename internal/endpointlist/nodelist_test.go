package endpointlist

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	l, err := Parse("n.yaml", []byte("nodes:\n- {address: '127.0.0.1:1'}\n- {id: b, address: '[::1]:2', phase: draining, zone: z, cell: 2, weight: 2.5, started: 2026-11-30T10:00:00Z}\n"))
	if err != nil {
		t.Fatal(err)
	}
	if a := l.Nodes[0]; a.ID != "127.0.0.1:1" || a.Weight != 1 || a.Phase != Up {
		t.Errorf("%+v", a)
	}
	if b := l.Nodes[1]; b.Phase != Draining || b.Cell != 2 || b.Weight != 2.5 || b.Started.Year() != 2026 {
		t.Errorf("%+v", b)
	}
	if l, err := Parse("n.yaml", []byte("nodes: []")); err != nil || len(l.Nodes) != 0 {
		t.Errorf("an empty list: %v, %v", l, err)
	}
}

func TestBadListsNameTheirPlace(t *testing.T) {
	for text, want := range map[string]string{
		"":                              "n.yaml:1:1: the file is empty",
		"nodes:":                        "n.yaml:1:7: nothing stands here",
		"{}":                            `no list "nodes"`,
		"nodes: [":                      "n.yaml:1:", // torn
		"nodes:\n- {adress: 1.2.3.4:5}": `n.yaml:2:4: unknown key "adress"; did you mean "address"?`,
		"nodes:\n- {address: host:5}":   `n.yaml:2:13: "host:5" is not an IP address`,
		"nodes:\n- {id: a}":             "n.yaml:2:3: the node has no address",
		"nodes:\n- {address: 1.2.3.4:5}\n- {address: 1.2.3.4:5, id: x}":        `nodes "1.2.3.4:5" and "x" have the same address`,
		"nodes:\n- {address: 1.2.3.4:5, id: x}\n- {address: 1.2.3.4:6, id: x}": `n.yaml:3:3: two nodes have the id "x"`,
		"nodes:\n- {address: 1.2.3.4:5, phase: off}":                           "neither up nor draining",
		"nodes:\n- {address: 1.2.3.4:5, weight: .nan}":                         "n.yaml:2:",
		"nodes:\n- {address: 1.2.3.4:5, weight: -1}":                           "the weight",
		"nodes:\n- {address: 1.2.3.4:5, started: soon}":                        "n.yaml:2:33:",
		"nodes: []\n---\nnodes: []":                                            "another follows",
	} {
		if _, err := Parse("n.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

// FuzzParse: no text may end the program, and what is taken has addresses and ids that are certain.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"nodes: []", "nodes:\n- &a {address: 1.2.3.4:5}\n- *a", "nodes:\n- {address: '[::1]:2', started: 2026-11-30T10:00:00Z}"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse("n", text)
		if err != nil {
			return
		}
		ids := map[string]bool{}
		for _, n := range l.Nodes {
			if n.ID == "" || ids[n.ID] || n.Address == "" || !(n.Weight >= 0) {
				t.Errorf("%+v", n)
			}
			ids[n.ID] = true
		}
	})
}

// watchByEvents follows a file with no regular reading, so that only what the system tells counts.
func watchByEvents(t *testing.T, path string) (lists chan List, errs chan error) {
	lists, errs = make(chan List, 100), make(chan error, 100)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() {
		ended <- Watch(ctx, path, time.Hour, func(l List) { lists <- l }, func(err error) { errs <- err })
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return lists, errs
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestWatch replaces the file, tears it, deletes it and brings it back. A bad one is told as an error and no list.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.yaml")
	one := "nodes: [{address: '127.0.0.1:1'}]"
	writeFile(t, path, one)
	lists, errs := watchByEvents(t, path)
	until := func(want int) {
		t.Helper()
		for l := range lists {
			if len(l.Nodes) == want {
				return
			}
		}
	}
	until(1)
	writeFile(t, path+".new", "nodes: [{address: '127.0.0.1:1'}, {address: '127.0.0.1:2'}]")
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	until(2)
	writeFile(t, path, "nodes: [{address: '127.0.0.1:1'}, {addr")
	if err := <-errs; !strings.Contains(err.Error(), "nodes.yaml:1:") {
		t.Errorf("torn: %v", err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	for err := range errs {
		if os.IsNotExist(err) {
			break
		}
	}
	if len(lists) > 0 {
		t.Errorf("a torn or missing file gave a list: %v", <-lists)
	}
	writeFile(t, path, one)
	until(1)
}

// TestWatchThroughLink swings a symbolic link, as a ConfigMap's folder does.
func TestWatchThroughLink(t *testing.T) {
	dir := t.TempDir()
	for _, v := range []string{"v1", "v2"} {
		if err := os.Mkdir(filepath.Join(dir, v), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	writeFile(t, filepath.Join(dir, "v1", "nodes.yaml"), "nodes: [{address: '127.0.0.1:1'}]")
	writeFile(t, filepath.Join(dir, "v2", "nodes.yaml"), "nodes: []")
	if err := os.Symlink("v1", filepath.Join(dir, "data")); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "nodes.yaml")
	if err := os.Symlink(filepath.Join("data", "nodes.yaml"), path); err != nil {
		t.Fatal(err)
	}
	lists, _ := watchByEvents(t, path)
	if l := <-lists; len(l.Nodes) != 1 {
		t.Fatal(l)
	}
	if err := os.Symlink("v2", filepath.Join(dir, "data.new")); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(filepath.Join(dir, "data.new"), filepath.Join(dir, "data")); err != nil {
		t.Fatal(err)
	}
	for l := range lists {
		if len(l.Nodes) == 0 {
			return
		}
	}
}
