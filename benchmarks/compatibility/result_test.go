package main

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestAllHold(t *testing.T) {
	good := checklist{{Name: "one", Holds: true}, {Name: "two", Holds: true}}
	bad := checklist{{Name: "one", Holds: true}, {Name: "two", Problem: "why"}}
	restart := func(checks checklist) hotRestartResult { return hotRestartResult{Checks: checks} }
	formed := func(checks checklist) clusterResult { return clusterResult{Checks: checks} }
	cases := []struct {
		name     string
		restarts []hotRestartResult
		clusters []clusterResult
		want     bool
	}{
		{"all hold", []hotRestartResult{restart(good), restart(good)}, []clusterResult{formed(good)}, true},
		{"a hot restart's does not", []hotRestartResult{restart(good), restart(bad)}, []clusterResult{formed(good)}, false},
		{"a cluster's does not", []hotRestartResult{restart(good)}, []clusterResult{formed(bad)}, false},
		{"a scenario made no check", []hotRestartResult{restart(nil)}, []clusterResult{formed(good)}, false},
		{"no hot restart ran", nil, []clusterResult{formed(good)}, false},
		{"no cluster ran", []hotRestartResult{restart(good)}, nil, false},
	}
	for _, c := range cases {
		if got := (result{HotRestarts: c.restarts, Clusters: c.clusters}).allHold(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestStepsStopAtTheFirstFailure: a check that does not hold is told with its reason, and nothing after it is run.
func TestStepsStopAtTheFirstFailure(t *testing.T) {
	var checks checklist
	ran := 0
	good := func(context.Context) error {
		ran++
		return nil
	}
	checks.runSteps(t.Context(), []step{
		{"one", good},
		{"two", func(context.Context) error { return errors.New("the reason") }},
		{"three", good},
	})
	text, err := json.Marshal(checks)
	if err != nil {
		t.Fatal(err)
	}
	want := `[{"name":"one","holds":true},{"name":"two","holds":false,"problem":"the reason"}]`
	if string(text) != want || ran != 1 || checks.hold() {
		t.Errorf("%s after %d steps", text, ran)
	}
}

// TestFiguresStandBesideTheChecks: what clients saw is told also where it is 0.
func TestFiguresStandBesideTheChecks(t *testing.T) {
	text, err := json.Marshal(hotRestartResult{From: baseName, To: workingTreeName, loadFigures: loadFigures{Requests: 7}})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`"from":"base"`, `"to":"working tree"`, `"requests":7`, `"lost_requests":0`, `"refused_connections":0`,
		`"closed_connections":0`, `"answers_learnt":0`, `"answers_restored":0`,
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%s does not have %s", text, want)
		}
	}
}
