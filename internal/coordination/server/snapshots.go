package server

// When the server writes a snapshot of its own, and what it keeps of the log.
const (
	snapshotEntries = 8192     // after so many entries since the last one,
	snapshotBytes   = 16 << 20 // or so many bytes of them
	keptEntries     = 2048     // stay in the log before a snapshot, for members that lag a little
)

// snapshotSchedule decides when a snapshot is due. At most one is being written at a time.
type snapshotSchedule struct {
	lastIndex  uint64 // of the last snapshot that was begun or restored
	bytesSince int    // of the entries that were applied since then
	writing    bool
}

// entryApplied counts an entry of so many bytes.
func (s *snapshotSchedule) entryApplied(size int) { s.bytesSince += size }

// due reports whether a snapshot is to be written, now that the log is applied up to an index.
func (s *snapshotSchedule) due(applied uint64) bool {
	if s.writing || applied <= s.lastIndex {
		return false
	}
	return applied-s.lastIndex >= snapshotEntries || s.bytesSince >= snapshotBytes
}

// begin notes that a snapshot at an index is being written. It returns the first index that stays in the log.
func (s *snapshotSchedule) begin(index uint64) (keepFrom uint64) {
	*s = snapshotSchedule{lastIndex: index, writing: true}
	if index > keptEntries {
		return index - keptEntries
	}
	return 1
}

// written notes that the disk has the snapshot.
func (s *snapshotSchedule) written() { s.writing = false }

// restored notes that the state was replaced by that of another snapshot.
func (s *snapshotSchedule) restored(index uint64) {
	s.lastIndex, s.bytesSince = index, 0
}
