package body

import (
	"sync"
	"sync/atomic"
)

// BlockSize is the size in bytes of the blocks that bodies are copied and read ahead in.
const BlockSize = 32 << 10

// blocks holds unused blocks, as *[Block]byte.
var blocks = sync.Pool{New: func() any { return new([BlockSize]byte) }}

// Spool counts the memory, in bytes, that request bodies together may take beyond what each may have for itself. Any
// goroutine may use it.
type Spool struct{ size, free atomic.Int64 }

// Set gives the spool so many bytes. If more than that are taken, nobody takes any until enough have been given back.
func (s *Spool) Set(bytes int64) { s.free.Add(bytes - s.size.Swap(bytes)) }

// Free tells how many bytes are not taken.
func (s *Spool) Free() int64 { return s.free.Load() }

// take reserves bytes, or none if there are too few.
func (s *Spool) take(bytes int64) bool {
	if s.free.Add(-bytes) >= 0 {
		return true
	}
	s.free.Add(bytes)
	return false
}

func (s *Spool) giveBack(bytes int64) { s.free.Add(bytes) }
