package proxy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// fakeCluster is a proposer that answers all proposals alike, and a follower whose copy is at a given log index.
type fakeCluster struct {
	response client.Response
	err      error
	index    uint64
	proposed []state.Command
}

func (f *fakeCluster) Propose(_ context.Context, command state.Command) (client.Response, error) {
	f.proposed = append(f.proposed, command)
	return f.response, f.err
}
func (f *fakeCluster) View() *client.View { return &client.View{Index: f.index} }
func (f *fakeCluster) Close()             {}

// attachedOverrides returns the sharedOverrides of a cluster, and the upstreams whose local overrides it has released.
func attachedOverrides(t *testing.T, cluster *fakeCluster) (shared *sharedOverrides, released *[]string) {
	t.Helper()
	shared = &sharedOverrides{
		balancerName: "n0", timeout: time.Second, proposer: cluster, follower: cluster,
		sharedRevisions: map[string]uint64{},
	}
	released = new([]string)
	shared.attach(func([]state.Override) {}, func(id string) { *released = append(*released, id) })
	return shared, released
}

// set returns the note or the error for operators, and releases the local override if the copy has the shared one.
func TestSetSharedOverride(t *testing.T) {
	uncertain := fmt.Errorf("voter k1: %w", client.ErrUncertain)
	for _, c := range []struct {
		name     string
		cluster  fakeCluster
		note     string
		err      string
		cause    error
		released []string
	}{
		{
			name: "stored, and not in the copy yet", note: "held by 2 of 3",
			cluster: fakeCluster{response: client.Response{Stored: 2, Voters: 3, Result: state.Result{Revision: 8}}, index: 7},
		},
		{
			name: "stored, and in the copy already", note: "held by 3 of 3", released: []string{"s-1"},
			cluster: fakeCluster{response: client.Response{Stored: 3, Voters: 3, Result: state.Result{Revision: 8}}, index: 8},
		},
		{
			name: "no voter reached", cause: client.ErrNotAttempted, cluster: fakeCluster{err: client.ErrNotAttempted, index: 9},
			err: "only here, not copied: " + client.ErrNotAttempted.Error(),
		},
		{
			name: "uncertain outcome", cause: client.ErrUncertain, cluster: fakeCluster{err: uncertain, index: 9},
			err: "only here for certain: the others may be told, or not (" + uncertain.Error() + ")",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			shared, released := attachedOverrides(t, &c.cluster)
			note, err := shared.set("s-1", time.UnixMilli(17))
			want(t, "note", note, c.note)
			if !errors.Is(err, c.cause) || err != nil && err.Error() != c.err {
				t.Errorf("got %v, want %q", err, c.err)
			}
			if !slices.Equal(*released, c.released) {
				t.Errorf("released %v, want %v", *released, c.released)
			}
			command := c.cluster.proposed[0].(*state.SetOverride)
			want(t, "command", *command, state.SetOverride{
				Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: "s-1"},
				By:      "n0", Reason: "maint-on", At: 17,
			})
		})
	}
}

// A local override is released once, when the follower's copy first has the shared override.
func TestLocalOverrideIsReleasedByTheCopy(t *testing.T) {
	cluster := &fakeCluster{response: client.Response{Result: state.Result{Revision: 8}}, index: 6}
	shared, released := attachedOverrides(t, cluster)
	if _, err := shared.set("s-1", time.Now()); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		index    uint64
		released int
	}{{7, 0}, {8, 1}, {9, 1}} {
		cluster.index = c.index
		shared.overridesChanged(nil)
		want(t, fmt.Sprint("released at index ", c.index), len(*released), c.released)
	}
}

// After a failed clear, the upstream is still out of service if the follower's copy has the shared override.
func TestClearSharedOverride(t *testing.T) {
	out := []state.Override{{Subject: outOfServiceSubject("s-1")}}
	capSubject := state.Subject{Kind: state.ConcurrencyCap, Scope: state.ScopeUpstream, Target: "s-1"}
	capped := []state.Override{{Subject: capSubject, Value: 10}}
	for _, c := range []struct {
		name      string
		overrides []state.Override
		err       error
		stillOut  bool
		note      string
	}{
		{"cleared", out, nil, false, "held by 2 of 3"},
		{"failed, and out", out, client.ErrNotAttempted, true, ""},
		{"failed, and not out", nil, client.ErrNotAttempted, false, ""},
		{"failed, and capped alone", capped, client.ErrUncertain, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			shared, _ := attachedOverrides(t, &fakeCluster{response: client.Response{Stored: 2, Voters: 3}, err: c.err})
			shared.overridesChanged(c.overrides)
			note, stillOut, err := shared.clear("s-1")
			want(t, "note", note, c.note)
			want(t, "still out", stillOut, c.stillOut)
			if !errors.Is(err, c.err) {
				t.Errorf("got %v, want %v", err, c.err)
			}
		})
	}
}
