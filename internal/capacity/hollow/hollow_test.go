package hollow

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"

	"olivearch/internal/capacity"
	"olivearch/internal/standin/loopnodes"
)

// TestHollowBalancersRunTheRealThing starts two in this process: requests through their listeners reach a node, a route that a reload
// brings is there once the reload is answered, one that is restarted answers again, and all end with the commands.
func TestHollowBalancersRunTheRealThing(t *testing.T) {
	nodes, err := loopnodes.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer nodes.Close()
	site, err := capacity.New(capacity.Size{Pools: 3, Nodes: 12, Routes: 6, Tenants: 5}, 1)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	p := &capacity.Places{Listen: Listen, Lists: filepath.Join(folder, "lists"), Node: nodes.At}
	file := filepath.Join(folder, "c.yaml")
	if err := site.WriteLists(p, func(int) capacity.Word { return capacity.Up }); err != nil {
		t.Fatal(err)
	}
	if err := capacity.Replace(file, site.Config(p, capacity.Edit{})); err != nil {
		t.Fatal(err)
	}
	in, tell := io.Pipe()
	hear, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- Run(in, out) }()
	commands, replies := json.NewEncoder(tell), json.NewDecoder(hear)
	do := func(c Command) (r Reply) {
		t.Helper()
		if err := commands.Encode(c); err != nil {
			t.Fatal(err)
		}
		if err := replies.Decode(&r); err != nil {
			t.Fatal(err)
		}
		return r
	}
	ask := func(address, host string) int {
		t.Helper()
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.Close = host, true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	r := do(Command{Do: Start, Files: Files([]string{file}, 2)})
	if r.Err != "" || len(r.Addresses) != 2 || len(r.TookMS) != 2 || r.Goroutines == 0 {
		t.Fatalf("%+v", r)
	}
	for _, a := range r.Addresses {
		if got := ask(a, capacity.Host(1)); got != http.StatusOK {
			t.Errorf("a service answers %d", got)
		}
		if got := ask(a, capacity.AddedHost(1)); got != http.StatusNotFound {
			t.Errorf("a route that is not there answers %d", got)
		}
	}
	if err := capacity.Replace(file, site.Config(p, capacity.Edit{Added: 1})); err != nil {
		t.Fatal(err)
	}
	if r = do(Command{Do: Reload}); r.Err != "" {
		t.Fatal(r.Err)
	}
	old := r.Addresses
	if r = do(Command{Do: Restart, From: 1, To: 2}); r.Err != "" || len(r.Addresses) != 2 || len(r.TookMS) != 1 {
		t.Fatalf("%+v", r)
	}
	for _, a := range r.Addresses {
		if got := ask(a, capacity.AddedHost(1)); got != http.StatusOK {
			t.Errorf("the added route answers %d", got)
		}
	}
	if r := do(Command{Do: Restart, From: 1, To: 3}); r.Err == "" {
		t.Error("a balancer that is not there is started anew")
	}
	if r := do(Command{Do: "dance"}); r.Err == "" {
		t.Error("any verb is taken")
	}
	tell.Close()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	for _, a := range append(old, r.Addresses...) {
		if c, err := net.Dial("tcp", a); err == nil {
			c.Close()
			t.Errorf("%s still takes connections", a)
		}
	}
}
