package body

import (
	"sync"
	"sync/atomic"
)

// BlockSize is the size in bytes of the blocks in which bodies are copied and read ahead.
const BlockSize = 32 << 10

// blocks holds unused blocks as *[BlockSize]byte.
var blocks = sync.Pool{New: func() any { return new([BlockSize]byte) }}

// Spool accounts for the memory, in bytes, that all request bodies together may take to be read ahead. It allocates no
// memory. Its methods may be called from any goroutine.
type Spool struct {
	size, free atomic.Int64
	within     Reserve // see Within; nil: the spool alone counts
}

// Reserve is a larger account of memory, of which a Spool is a part.
type Reserve interface {
	// TryReserve reserves bytes, or nothing and returns false. It does not wait.
	TryReserve(bytes int64) bool
	Release(bytes int64)
}

// Within makes all that is reserved count in a larger account too. It is called before the first reservation.
func (s *Spool) Within(account Reserve) { s.within = account }

// SetSize sets the size of the spool. If more bytes are reserved, no more are until enough have been released.
func (s *Spool) SetSize(bytes int64) { s.free.Add(bytes - s.size.Swap(bytes)) }

// Free returns the number of bytes that are not reserved. It is negative after a decrease below the reserved bytes.
func (s *Spool) Free() int64 { return s.free.Load() }

// reserve reserves bytes. If too few are free, it reserves none and returns false.
func (s *Spool) reserve(bytes int64) bool {
	fits := s.free.Add(-bytes) >= 0
	if fits && (s.within == nil || s.within.TryReserve(bytes)) {
		return true
	}
	s.free.Add(bytes)
	return false
}

func (s *Spool) release(bytes int64) {
	s.free.Add(bytes)
	if s.within != nil {
		s.within.Release(bytes)
	}
}
