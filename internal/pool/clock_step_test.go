//go:build faultinject

package pool

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"olivearch/internal/clock"
	"olivearch/internal/endpointlist"
)

// The machine's clock is set by an hour, either way, while a pool rests: its time goes on by the monotonic clock, so
// what started just now is cold, what drains gets nothing, and the first request is served. TestClockStepsWhileDormant
// runs it.
func TestClockSteps(t *testing.T) {
	file := filepath.Join(t.TempDir(), "clock")
	t.Setenv(clock.Variable, file)
	set := func(by string) {
		if err := os.WriteFile(file, []byte(by), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, by := range []string{"1h", "-1h"} {
		t.Run(by, func(t *testing.T) {
			set("0s")
			a, drains, fresh := startServer(t), startServer(t), startServer(t)
			p := startPool(t, suspendableSpec(), 10*time.Millisecond, nil)
			p.UpdateEndpoints([]endpointlist.Node{listEntry("a", a)})
			want(t, "status", p.request("1").Status, http.StatusOK)
			p.await("given back", func() bool { return !p.hasBalancer() })
			p.awaitParked()
			before := p.Now()
			set(by)
			d, f := listEntry("d", drains), listEntry("f", fresh)
			d.Phase, f.Started = "draining", time.Now()
			p.UpdateEndpoints([]endpointlist.Node{listEntry("a", a), d, f})
			for _, name := range []string{"2", "3", "4"} {
				want(t, "status", p.request(name).Status, http.StatusOK)
			}
			if passed := p.Now() - before; passed < 0 || passed > time.Minute {
				t.Errorf("%v have passed", passed)
			}
			for _, n := range p.View().Nodes {
				want(t, n.ID+" is cold", n.Cold, n.ID == "f")
			}
			want(t, "sent to the one that drains", drains.Opened(), 0)
		})
	}
}
