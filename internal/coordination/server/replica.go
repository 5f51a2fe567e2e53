package server

import (
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"olivearch/internal/coordination/state"
)

// Settings of the Raft library.
const (
	electionTicks  = 12 // election after 0.6 to 1.2 s without a heartbeat
	heartbeatTicks = 3
	// maxMessageBytes bounds the entries in one message, and those that are applied together.
	maxMessageBytes = 1 << 20
	// maxUncommittedBytes bounds the uncommitted entries in the leader's log.
	maxUncommittedBytes = 8 << 20
	maxInflightMessages = 256
)

// progress is the leader's record of a member's log.
type progress = tracker.Progress

// replica is the Raft node with its log and the state machine. state and confState are the state and Raft's
// configuration after the entry with index applied. Both result from the same snapshot and the entries after it.
type replica struct {
	log       *raft.MemoryStorage
	node      *raft.RawNode // nil until the server belongs to a cluster
	confState *raftpb.ConfState
	state     *state.State
	applied   uint64 // index of the last applied entry
	snapshots snapshotSchedule
}

func newReplica() replica {
	return replica{log: raft.NewMemoryStorage(), state: state.NewState()}
}

// load initialises the log and the state from the folder's content. The error wraps ErrDamaged if the state in the
// snapshot can't be restored.
func (r *replica) load(loaded *folderContent) error {
	if !raft.IsEmptySnap(loaded.snapshot) {
		if err := r.log.ApplySnapshot(loaded.snapshot); err != nil {
			return err
		}
		if err := r.restore(loaded.snapshot); err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	if err := r.log.Append(loaded.entries); err != nil {
		return err
	}
	if raft.IsEmptyHardState(loaded.hardState) {
		return nil
	}
	return r.log.SetHardState(loaded.hardState)
}

// start starts the Raft node of a member.
func (r *replica) start(id uint64) error {
	node, err := raft.NewRawNode(&raft.Config{
		ID:                        id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   logStorage{r.log, r},
		Applied:                   r.applied,
		AsyncStorageWrites:        true,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    raftLogger{slog.Default()},
	})
	r.node = node
	return err
}

// restore replaces the state with that of a snapshot.
func (r *replica) restore(snapshot *raftpb.Snapshot) error {
	decoded, err := state.DecodeState(snapshot.GetData())
	if err != nil {
		return err
	}
	if decoded.FeatureLevel() > state.NewestFeatureLevel {
		return fmt.Errorf("the state is at feature level %d, but this version knows %d: a newer version is required",
			decoded.FeatureLevel(), state.NewestFeatureLevel)
	}
	metadata := snapshot.GetMetadata()
	r.state, r.applied, r.confState = decoded, metadata.GetIndex(), metadata.GetConfState()
	r.snapshots.restored(metadata.GetIndex())
	return nil
}

// currentSnapshot returns a snapshot of the current state.
func (r *replica) currentSnapshot() (*raftpb.Snapshot, error) {
	term, err := r.log.Term(r.applied)
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return &raftpb.Snapshot{Data: r.state.Encode(), Metadata: &raftpb.SnapshotMetadata{
		Index: new(r.applied), Term: new(term),
		ConfState: r.confState,
	}}, nil
}

// snapshotWritten drops log entries from memory after a snapshot that covers them was written to disk.
func (r *replica) snapshotWritten(snapshot *raftpb.Snapshot, keepFrom uint64) {
	r.snapshots.written()
	metadata := snapshot.GetMetadata()
	_, err := r.log.CreateSnapshot(metadata.GetIndex(), metadata.GetConfState(), snapshot.GetData())
	if err != nil { // a newer snapshot has been received from the leader
		return
	}
	_ = r.log.Compact(keepFrom) // fails if a newer snapshot has dropped these entries already
}

// matchIndexes returns, by member id, the index up to which the member's log is known to match the leader's. It is
// empty on other servers.
func (r *replica) matchIndexes() map[uint64]uint64 {
	matches := map[uint64]uint64{}
	r.node.WithProgress(func(id uint64, _ raft.ProgressType, p progress) { matches[id] = p.Match })
	return matches
}

// voterMatchIndexes returns the match indexes of the voters.
func (r *replica) voterMatchIndexes() []uint64 {
	var matches []uint64
	r.node.WithProgress(func(_ uint64, kind raft.ProgressType, p progress) {
		if kind == raft.ProgressTypePeer {
			matches = append(matches, p.Match)
		}
	})
	return matches
}

// logStorage is the raft.Storage from which the Raft library reads the log and snapshots.
type logStorage struct {
	*raft.MemoryStorage
	replica *replica
}

// Snapshot implements raft.Storage. It returns a snapshot of the current state instead of the last one written. A
// snapshot for a lagging member must include that member in its configuration: the member would reject an older one
// every time.
func (l logStorage) Snapshot() (*raftpb.Snapshot, error) {
	if l.replica.confState == nil {
		return l.MemoryStorage.Snapshot()
	}
	return l.replica.currentSnapshot()
}
