package state

import "time"

// Limits of commands and of the stored state. A command that exceeds one is rejected; a stored grant is never dropped
// to make room for a new one.
const (
	// MaxName is the maximum length of names, ids and addresses, in bytes.
	MaxName = 128
	// MaxReason is the maximum length of the reason that operators give for an override, in bytes.
	MaxReason = 512
	// MaxBytes is the maximum size of the state, in bytes as estimated by State.UsedBytes.
	MaxBytes = 4 << 20
	// MinLeaseDuration is the minimum duration of a lease.
	MinLeaseDuration = 500 * time.Millisecond
	// MaxLeaseDuration is the maximum duration of a lease.
	MaxLeaseDuration = time.Hour
	// MaxOverrideDuration is the maximum duration of an override that has an end.
	MaxOverrideDuration = 10 * 365 * 24 * time.Hour
	// MaxReservationHorizon is how far ahead slots may be reserved, in seconds.
	MaxReservationHorizon = 600
	// MaxResourceLimit is the maximum limit of a resource, in units or in slots per second.
	MaxResourceLimit = 1 << 40
)

const (
	// maxConcurrencyCap is the maximum value of a concurrency cap, in attempts in flight.
	maxConcurrencyCap = 1_000_000
	// maxTrafficShare is the maximum traffic share, in thousandths of the usual share.
	maxTrafficShare = 1000
)

// The estimated size of an entry is the length of its texts plus a fixed overhead. The overheads are generous because
// an entry is stored more than once: in maps, in the log and in snapshots.
const (
	entryOverhead = 160 // bytes per override, resource, lease or reservation
	slotOverhead  = 48  // bytes per second in which slots are reserved
)

// textSize returns the total length of the texts of an entry, in bytes.
func textSize(texts ...string) int64 {
	size := 0
	for _, text := range texts {
		size += len(text)
	}
	return int64(size)
}

// exceedsMaxBytes reports whether growth, in bytes, would make the state larger than MaxBytes. It is false for changes
// that do not make the state larger.
func (s *State) exceedsMaxBytes(growth int64) bool {
	return growth > 0 && s.usedBytes+growth > MaxBytes
}

func (s *State) rejectStateFull() Result {
	const format = "the ledger is full: %d of %d bytes are held, and what is held is never dropped for what is new"
	return reject(RejectedStateFull, format, s.usedBytes, int64(MaxBytes))
}
