package server

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/state"
)

// ErrDisk is wrapped by errors of a disk that did not do what it was asked: nothing is known of what it has.
var ErrDisk = errors.New("the disk can't be trusted")

// errWait says that a folder is no member's yet.
var errWait = errors.New("the folder belongs to no cluster yet")

// open reads a folder that no process uses, with all that it has applied, held or not.
func open(folder, name string) (*store, *content, *state.State, error) {
	s, held, err := openStore(folder, name, rand.Uint64)
	if err != nil {
		return nil, nil, nil, err
	}
	if s.identity.Cluster == 0 {
		return nil, nil, nil, errors.Join(fmt.Errorf("%s: %w", folder, errWait), s.close())
	}
	applied := state.NewState()
	if !raft.IsEmptySnap(held.snapshot) {
		if applied, err = state.DecodeState(held.snapshot.GetData()); err != nil {
			return nil, nil, nil, errors.Join(err, s.close())
		}
	}
	for _, e := range held.entries {
		if e.GetIndex() <= held.snapshot.GetMetadata().GetIndex() || e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
			continue
		}
		x, err := state.DecodeEnvelope(e.GetData())
		if err == nil {
			_, err = applied.Apply(e.GetIndex(), x.Clock, x.Command)
		}
		if err != nil {
			return nil, nil, nil, errors.Join(fmt.Errorf("entry %d: %w", e.GetIndex(), err), s.close())
		}
	}
	return s, held, applied, nil
}

// Inspect tells what the folder of a voter holds that does not run.
func Inspect(folder, name string) (string, error) {
	s, held, state, err := open(folder, name)
	if err != nil {
		return "", err
	}
	defer s.close()
	return told(s, held, state), nil
}

func told(s *store, held *content, applied *state.State) string {
	var b strings.Builder
	last := held.snapshot.GetMetadata().GetIndex()
	if n := len(held.entries); n > 0 {
		last = max(last, held.entries[n-1].GetIndex())
	}
	fmt.Fprintf(&b, "voter %s, member %x of cluster %x\n", s.identity.Name, s.identity.ID, s.identity.Cluster)
	fmt.Fprintf(&b, "the log ends at %d (term %d), and all up to %d was known to be held by a majority\n", last, held.hard.GetTerm(), held.hard.GetCommit())
	fmt.Fprintf(&b, "%d words, %d bounds, %d bytes of %d\n", len(applied.Overrides()), len(applied.Resources()), applied.UsedBytes(), int64(state.MaxBytes))
	return b.String()
}

// Recover lets the ledger go on from one folder alone, after a majority of the voters has been lost for good: the folder becomes that of
// a new cluster with this one voter. What the log holds counts as promised, also what no majority had; what it does not hold is lost. No
// lease is carried over before its time, and fences go on growing.
func Recover(folder, name, address string) (string, error) {
	s, held, applied, err := open(folder, name)
	if err != nil {
		return "", err
	}
	defer s.close()
	text := told(s, held, applied)
	last := held.snapshot.GetMetadata().GetIndex()
	if n := len(held.entries); n > 0 {
		last = max(last, held.entries[n-1].GetIndex())
	}
	term := held.hard.GetTerm() + 1
	self := state.Member{ID: rand.Uint64()>>2 + 1, Name: name, Address: address}
	for _, m := range applied.Members() {
		if _, err := applied.Apply(last+1, applied.Clock(), &state.UnregisterMember{ID: m.ID}); err != nil {
			return text, err
		}
	}
	if _, err := applied.Apply(last+1, applied.Clock(), &state.RegisterMember{Member: self}); err != nil {
		return text, err
	}
	s.identity.ID = self.ID
	x := &raftpb.Snapshot{Data: applied.Encode(), Metadata: &raftpb.SnapshotMetadata{Index: new(last + 1), Term: new(term), ConfState: &raftpb.ConfState{Voters: []uint64{self.ID}}}}
	hard := &raftpb.HardState{Term: new(term), Vote: new(uint64(0)), Commit: new(last + 1)}
	if err := s.append(batch{snapshot: x, reset: true}); err != nil {
		return text, err
	}
	if err := s.begin(rand.Uint64()>>1+1, x, hard); err != nil {
		return text, err
	}
	return text + fmt.Sprintf("it goes on as member %x of cluster %x, alone. What a lost majority had promised beyond entry %d is LOST.\n"+
		"Start it, and start the other voters with empty folders: each joins, one after the other.\n", s.identity.ID, s.identity.Cluster, last), nil
}
