package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/state"
	"olivearch/internal/golden"
)

// goldenFolder is a voter's folder that an earlier version wrote.
var goldenFolder = filepath.Join("testdata", "folder")

// writeGoldenFolder writes a folder with a snapshot and two entries after it.
func writeGoldenFolder(t *testing.T) {
	t.Helper()
	if err := os.MkdirAll(goldenFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	s, _, err := openStore(goldenFolder, "k1", func() uint64 { return 7 })
	if err != nil {
		t.Fatal(err)
	}
	contents := state.NewState()
	apply := func(revision uint64, c state.Command) {
		if result, err := contents.Apply(revision, revision*100, c); err != nil || !result.OK() {
			t.Fatal(result, err)
		}
	}
	apply(1, &state.RegisterMember{Member: state.Member{ID: 7, Name: "k1", Address: "127.0.0.1:7101"}})
	apply(2, &state.SetOverride{
		Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: "a"},
		By:      "eva", Reason: "disk",
	})
	apply(3, &state.SetResource{Name: "connections", Limit: 10})
	snapshot := &raftpb.Snapshot{Data: contents.Encode(), Metadata: &raftpb.SnapshotMetadata{
		Index: new(uint64(3)), Term: new(uint64(1)),
		ConfState: &raftpb.ConfState{Voters: []uint64{7}},
	}}
	if err := s.assignCluster(99, snapshot, initialHardState()); err != nil {
		t.Fatal(err)
	}
	var entries []*raftpb.Entry
	for i, c := range []state.Command{
		&state.SetOverride{
			Subject: state.Subject{Kind: state.ConcurrencyCap, Scope: state.ScopeUpstream, Target: "b"},
			Value:   7, By: "ann",
		},
		&state.AcquireLease{Resource: "connections", Holder: "n1", Units: 6, Duration: state.MaxLeaseDuration},
	} {
		index := uint64(4 + i)
		data := state.Envelope{ID: index, Clock: index * 100, Command: c}.Encode()
		entries = append(entries, &raftpb.Entry{Index: new(index), Term: new(uint64(2)), Data: data})
	}
	hard := &raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(7)), Commit: new(uint64(5))}
	if err := s.writeBatch(batch{entries: entries, hardState: hard}); err != nil {
		t.Fatal(err)
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(goldenFolder, "lock")); err != nil {
		t.Fatal(err)
	}
}

// TestGoldenFolder opens a voter's folder that an earlier version wrote, and compares its identity, vote, log and state
// with a golden file.
func TestGoldenFolder(t *testing.T) {
	if golden.Updating() {
		writeGoldenFolder(t)
	}
	whole, err := os.ReadFile(filepath.Join(goldenFolder, fileName))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, fileName), whole, 0o600); err != nil {
		t.Fatal(err)
	}
	shown, err := Inspect(folder, "k1")
	if err != nil {
		t.Fatal(err)
	}
	s, loaded, state, err := openOffline(folder, "k1")
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	var text strings.Builder
	text.WriteString(shown)
	fmt.Fprintln(&text, "identity", s.identity.Name, s.identity.ID, s.identity.Cluster)
	fmt.Fprintln(&text, "hard state", loaded.hardState.GetTerm(), loaded.hardState.GetVote(), loaded.hardState.GetCommit())
	fmt.Fprintf(&text, "snapshot %d %x\n", loaded.snapshot.GetMetadata().GetIndex(), loaded.snapshot.GetData())
	for _, e := range loaded.entries {
		fmt.Fprintf(&text, "entry %d %d %x\n", e.GetIndex(), e.GetTerm(), e.GetData())
	}
	fmt.Fprintf(&text, "state %x\n", state.Encode())
	golden.Compare(t, "folder.txt", text.String())
}
