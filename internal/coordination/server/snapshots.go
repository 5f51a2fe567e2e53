package server

// The intervals between a server's own snapshots, and the part of the log that stays after one.
const (
	snapshotIntervalEntries = 8192     // entries after which a snapshot is due
	snapshotIntervalBytes   = 16 << 20 // bytes of entries after which a snapshot is due
	retainedEntries         = 2048     // entries kept before a snapshot, for members that lag slightly
)

// snapshotSchedule decides when a snapshot is due. At most one snapshot is being written at a time.
type snapshotSchedule struct {
	lastIndex  uint64 // index of the last snapshot that was begun or restored
	bytesSince int    // size of the entries applied since that snapshot
	writing    bool
}

// entryApplied adds the size of an applied entry in bytes.
func (s *snapshotSchedule) entryApplied(size int) { s.bytesSince += size }

// due reports whether a snapshot is due, given the index of the last applied entry.
func (s *snapshotSchedule) due(applied uint64) bool {
	if s.writing || applied <= s.lastIndex {
		return false
	}
	return applied-s.lastIndex >= snapshotIntervalEntries || s.bytesSince >= snapshotIntervalBytes
}

// begin records that a snapshot at an index is being written. It returns the first index to keep in the log.
func (s *snapshotSchedule) begin(index uint64) (keepFrom uint64) {
	*s = snapshotSchedule{lastIndex: index, writing: true}
	if index > retainedEntries {
		return index - retainedEntries
	}
	return 1
}

// written records that the snapshot is on disk.
func (s *snapshotSchedule) written() { s.writing = false }

// restored records that the state was replaced with that of a snapshot at an index.
func (s *snapshotSchedule) restored(index uint64) {
	s.lastIndex, s.bytesSince = index, 0
}
