//go:build faultinject

package pool

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"olivearch/internal/clock"
)

// TestClockSteps sets the machine's clock by an hour, forwards or back, while a pool is dormant. The pool's clock must
// not follow: an endpoint that has just started warms up, a draining one gets nothing, and the first request is served.
// TestClockStepsWhileDormant runs it.
func TestClockSteps(t *testing.T) {
	file := filepath.Join(t.TempDir(), "clock")
	t.Setenv(clock.OffsetVariable, file)
	set := func(by string) {
		if err := os.WriteFile(file, []byte(by), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, by := range []string{"1h", "-1h"} {
		t.Run(by, func(t *testing.T) {
			set("0s")
			settled, draining, fresh := startServer(t), startServer(t), startServer(t)
			p := startPool(t, suspendableSpec(), 10*time.Millisecond, nil)
			p.setEndpoints(listEntry("a", settled))
			want(t, "status", p.request("1").Status, http.StatusOK)
			p.awaitReleased()
			p.awaitParked()
			before := p.Now()
			set(by)
			started := listEntry("f", fresh)
			started.Started = time.Now()
			p.setEndpoints(listEntry("a", settled), drainingEntry("d", draining), started)
			for _, name := range []string{"2", "3", "4"} {
				want(t, "status", p.request(name).Status, http.StatusOK)
			}
			if passed := p.Now() - before; passed < 0 || passed > time.Minute {
				t.Errorf("the pool's clock advanced by %v, want 0 to 1 minute", passed)
			}
			for _, node := range p.View().Nodes {
				want(t, "warming up: "+node.ID, node.WarmingUp, node.ID == "f")
			}
			want(t, "connections to the draining endpoint", draining.Opened(), 0)
		})
	}
}
