package state

import "time"

// Limits of commands and of what the state stores. What does not fit is rejected; a stored grant is never dropped to
// make room for a new one.
const (
	// MaxName is the greatest length of names, ids and addresses, in bytes.
	MaxName = 128
	// MaxReason is the greatest length of the reason that operators give for an override, in bytes.
	MaxReason = 512
	// MaxBytes is how much the state may store, by the estimate of State.UsedBytes.
	MaxBytes = 4 << 20
	// MinLeaseDuration is the shortest lease.
	MinLeaseDuration = 500 * time.Millisecond
	// MaxLeaseDuration is the longest lease.
	MaxLeaseDuration = time.Hour
	// MaxOverrideDuration is the longest that an override with an end may last.
	MaxOverrideDuration = 10 * 365 * 24 * time.Hour
	// MaxReservationHorizon is how far ahead slots may be reserved, in seconds.
	MaxReservationHorizon = 600
	// MaxResourceLimit is the greatest limit of a resource, in units.
	MaxResourceLimit = 1 << 40
)

const (
	// maxConcurrencyCap is the greatest value of a concurrency cap, in attempts in flight.
	maxConcurrencyCap = 1_000_000
	// maxTrafficShare is the usual share of traffic, in thousandths.
	maxTrafficShare = 1000
)

// The estimate of memory: the texts of an entry and a fixed number of bytes for the rest. The numbers are generous,
// since maps, the log and snapshots store an entry more than once.
const (
	entryOverhead = 160 // bytes of an override, a resource, a lease or a reservation
	slotOverhead  = 48  // bytes of the slots in one second
)

// textSize is the part of the estimate that the texts of an entry contribute.
func textSize(texts ...string) int64 {
	size := 0
	for _, text := range texts {
		size += len(text)
	}
	return int64(size)
}

// exceedsCapacity reports whether the state would be larger than MaxBytes after it has grown by so many bytes. What
// does not grow always fits.
func (s *State) exceedsCapacity(growth int64) bool {
	return growth > 0 && s.usedBytes+growth > MaxBytes
}

func (s *State) rejectFull() Result {
	const format = "the ledger is full: %d of %d bytes are held, and what is held is never dropped for what is new"
	return reject(RejectedStateFull, format, s.usedBytes, int64(MaxBytes))
}
