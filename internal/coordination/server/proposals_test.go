package server

import (
	"testing"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

func TestProposalOutcome(t *testing.T) {
	now := time.Now()
	granted, rejected := state.Result{}, state.Result{Rejection: state.RejectedNoCapacity, Message: "no room"}
	cases := []struct {
		name        string
		result      state.Result
		matches     []uint64
		writeQuorum int
		deadline    time.Time
		want        client.Outcome // 0: the proposal has to wait
		stored      int
	}{
		{"a majority is enough", granted, []uint64{9, 9, 3}, 0, now.Add(time.Second), client.OutcomeDone, 2},
		{"too few of three voters", granted, []uint64{9, 8, 9}, 3, now.Add(time.Second), 0, 0},
		{"stored by all voters", granted, []uint64{9, 10, 9}, 3, now.Add(time.Second), client.OutcomeDone, 3},
		{"fewer voters than wanted", granted, []uint64{9}, 3, now.Add(time.Second), client.OutcomeDone, 1},
		{"past its deadline", granted, []uint64{9, 9, 8}, 3, now.Add(-time.Second), client.OutcomeUncertain, 2},
		{"rejected at once", rejected, []uint64{9, 8, 8}, 3, now.Add(time.Second), client.OutcomeRejected, 1},
	}
	for _, c := range cases {
		p := &proposal{index: 9, result: c.result, deadline: c.deadline}
		response, done := p.outcome(now, c.matches, c.writeQuorum)
		if response.Outcome != c.want || done != (c.want != 0) || response.Stored != c.stored {
			t.Errorf("%s: response %+v, done %v", c.name, response, done)
		}
		if done && response.Voters != len(c.matches) {
			t.Errorf("%s: the response counts %d voters", c.name, response.Voters)
		}
	}
}

// Each proposal gets exactly one response: after it expires, is stored, is rejected or is abandoned.
func TestProposalsAreAnsweredOnce(t *testing.T) {
	now := time.Now()
	var outcomes [5][]client.Outcome
	all := newProposals()
	for id := range outcomes {
		deadline := now.Add(time.Second)
		if id == 0 {
			deadline = now.Add(-time.Second)
		}
		respond := func(r client.Response) { outcomes[id] = append(outcomes[id], r.Outcome) }
		all.add(uint64(id), &proposal{respond: respond, deadline: deadline})
	}
	all.expire(now)
	if all.applied(0, 4, state.Result{}) {
		t.Error("an expired proposal still waits for its response")
	}
	for id, result := range map[uint64]state.Result{
		1: {},
		2: {Rejection: state.RejectedNoCapacity, Message: "no room"},
		3: {},
	} {
		if index := 4 + id; !all.applied(id, index, result) {
			t.Errorf("proposal %d does not wait for its response", id)
		}
	}
	rejections := all.respondToReplicated(now, []uint64{6, 6, 6}, 3) // proposal 3 has index 7
	if len(rejections) != 1 || rejections[0] != "no room" {
		t.Errorf("rejections: %q", rejections)
	}
	all.abandonAll("the end")
	all.abandonAll("the end")
	all.expire(now.Add(time.Hour))
	want := [5]client.Outcome{
		client.OutcomeUncertain, client.OutcomeDone, client.OutcomeRejected,
		client.OutcomeUncertain, client.OutcomeUncertain,
	}
	for id, got := range outcomes {
		if len(got) != 1 || got[0] != want[id] {
			t.Errorf("proposal %d: %v, want %v", id, got, want[id])
		}
	}
}

func TestProposalsAreBounded(t *testing.T) {
	all := newProposals()
	for id := range uint64(maxUncommittedProposals) {
		if all.full() {
			t.Fatalf("full with %d proposals", id)
		}
		all.add(id, &proposal{})
	}
	if !all.full() {
		t.Error("not full with maxUncommittedProposals")
	}
}
