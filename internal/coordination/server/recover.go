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

// errNoCluster is wrapped by errors about a folder that has not been assigned to a cluster.
var errNoCluster = errors.New("the folder belongs to no cluster yet")

// openOffline opens the folder of a server that is not running, and applies its whole log, including uncommitted
// entries. The caller must close the store.
func openOffline(folder, name string) (*store, *folderContent, *state.State, error) {
	opened, loaded, err := openStore(folder, name, rand.Uint64)
	if err != nil {
		return nil, nil, nil, err
	}
	if opened.identity.Cluster == 0 {
		return nil, nil, nil, errors.Join(fmt.Errorf("%s: %w", folder, errNoCluster), opened.close())
	}
	applied, err := loaded.applyAll()
	if err != nil {
		return nil, nil, nil, errors.Join(err, opened.close())
	}
	return opened, loaded, applied, nil
}

// applyAll applies the commands of the log to the state of the snapshot. It skips membership changes.
func (c *folderContent) applyAll() (*state.State, error) {
	applied := state.NewState()
	if !raft.IsEmptySnap(c.snapshot) {
		decoded, err := state.DecodeState(c.snapshot.GetData())
		if err != nil {
			return nil, err
		}
		applied = decoded
	}
	for _, entry := range c.entries {
		inSnapshot := entry.GetIndex() <= c.snapshot.GetMetadata().GetIndex()
		if inSnapshot || entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0 {
			continue
		}
		envelope, err := state.DecodeEnvelope(entry.GetData())
		if err == nil {
			_, err = applied.Apply(entry.GetIndex(), envelope.Clock, envelope.Command)
		}
		if err != nil {
			return nil, fmt.Errorf("apply log entry %d: %w", entry.GetIndex(), err)
		}
	}
	return applied, nil
}

// Inspect describes the content of the folder of a server that is not running, in a text for operators. Errors wrap
// ErrDamaged, ErrForeignFolder or ErrDisk if one of these is the cause.
func Inspect(folder, name string) (string, error) {
	opened, loaded, applied, err := openOffline(folder, name)
	if err != nil {
		return "", err
	}
	defer opened.close()
	return describe(opened.identity, loaded, applied), nil
}

// describe returns the text of Inspect.
func describe(owner identity, loaded *folderContent, applied *state.State) string {
	var text strings.Builder
	fmt.Fprintf(&text, "voter %s, member %x of cluster %x\n", owner.Name, owner.ID, owner.Cluster)
	fmt.Fprintf(&text, "the log ends at %d (term %d), and all up to %d was known to be held by a majority\n",
		loaded.lastIndex(), loaded.hardState.GetTerm(), loaded.hardState.GetCommit())
	fmt.Fprintf(&text, "%d words, %d bounds, %d bytes of %d\n",
		len(applied.Overrides()), len(applied.Resources()), applied.UsedBytes(), int64(state.MaxBytes))
	return text.String()
}

// Recover assigns a folder to a new cluster with this server as its only voter, and returns a text for operators. It is
// for use after a majority of the voters was lost for good. All commands in the log take effect, including those that
// no majority had stored. Commands that are not in the log are lost. Leases end no sooner than before, and fencing
// tokens keep increasing. Errors are those of Inspect.
func Recover(folder, name, address string) (string, error) {
	opened, loaded, applied, err := openOffline(folder, name)
	if err != nil {
		return "", err
	}
	defer opened.close()
	text := describe(opened.identity, loaded, applied)
	last := loaded.lastIndex()
	self := state.Member{ID: generateMemberID(), Name: name, Address: address}
	if err := replaceMembers(applied, last+1, self); err != nil {
		return text, err
	}
	opened.identity.ID = self.ID
	term := loaded.hardState.GetTerm() + 1
	snapshot := &raftpb.Snapshot{Data: applied.Encode(), Metadata: &raftpb.SnapshotMetadata{
		Index: new(last + 1), Term: new(term),
		ConfState: &raftpb.ConfState{Voters: []uint64{self.ID}},
	}}
	hardState := &raftpb.HardState{Term: new(term), Vote: new(uint64(0)), Commit: new(last + 1)}
	if err := opened.writeBatch(batch{snapshot: snapshot, dropLog: true}); err != nil {
		return text, err
	}
	if err := opened.assignCluster(generateClusterID(), snapshot, hardState); err != nil {
		return text, err
	}
	return text + fmt.Sprintf("it goes on as member %x of cluster %x, alone. "+
		"What a lost majority had promised beyond entry %d is LOST.\n"+
		"Start it, and start the other voters with empty folders: each joins, one after the other.\n",
		opened.identity.ID, opened.identity.Cluster, last), nil
}

// replaceMembers makes one server the only member in the state.
func replaceMembers(applied *state.State, revision uint64, only state.Member) error {
	for _, member := range applied.Members() {
		_, err := applied.Apply(revision, applied.Clock(), &state.UnregisterMember{ID: member.ID})
		if err != nil {
			return err
		}
	}
	_, err := applied.Apply(revision, applied.Clock(), &state.RegisterMember{Member: only})
	return err
}
