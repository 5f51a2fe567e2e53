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
type Spool struct{ size, free atomic.Int64 }

// SetSize sets the size of the spool. If more bytes are reserved, no more are until enough have been released.
func (s *Spool) SetSize(bytes int64) { s.free.Add(bytes - s.size.Swap(bytes)) }

// Free returns the number of bytes that are not reserved. It is negative after a decrease below the reserved bytes.
func (s *Spool) Free() int64 { return s.free.Load() }

// reserve reserves bytes. If too few are free, it reserves none and returns false.
func (s *Spool) reserve(bytes int64) bool {
	if s.free.Add(-bytes) >= 0 {
		return true
	}
	s.free.Add(bytes)
	return false
}

func (s *Spool) release(bytes int64) { s.free.Add(bytes) }
