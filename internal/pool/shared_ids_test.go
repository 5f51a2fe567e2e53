package pool

import "testing"

// TestIDsOfPeerProcess guards against two requests at once under one id at both processes of an upgrade, against one
// that runs again although it must not, and against ids that stay taken after an upgrade has failed.
func TestIDsOfPeerProcess(t *testing.T) {
	announced := newRequestIDs()
	here := newRequestIDs()
	announced.announce = func(change RequestIDChanges) { here.adopt(change, 0) }
	taken := func(when, id string, want bool) {
		t.Helper()
		if got := here.isTaken(id, 0); got != want {
			t.Errorf("%s %s: taken %v, want %v", id, when, got, want)
		}
	}
	announced.begin("safe", mayRunAgain)
	announced.begin("unsafe", runsOnce)
	announced.begin("left", runsOnce)
	taken("in flight there", "safe", true)
	taken("in flight there", "unsafe", true)
	announced.end("safe")
	announced.remember("left", 0)
	announced.end("left")
	taken("after its answer", "safe", false)
	taken("without an answer", "left", true)
	announced.begin("safe", mayRunAgain)
	here.forgetPeer(0)
	taken("after the end of the process", "safe", false)
	taken("after the end of the process", "unsafe", true)
}
