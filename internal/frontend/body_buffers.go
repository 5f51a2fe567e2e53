package frontend

import (
	"math/bits"
	"sync"
)

// bodyBuffers hold unused buffers for the first parts of bodies, by the logarithm of their size. A body that grows, or
// never comes whole, leaves no work for the garbage collector.
var bodyBuffers [bits.UintSize]sync.Pool

// newBodyBuffer returns a buffer of the given size in bytes.
func newBodyBuffer(size int) []byte {
	if unused, ok := bodyBuffers[bits.Len(uint(size))].Get().(*[]byte); ok && cap(*unused) >= size {
		return (*unused)[:size]
	}
	return make([]byte, size)
}

// recycleBodyBuffer takes back a buffer that nobody uses any more. One of at most freeBodyBytes is left to the garbage
// collector.
func recycleBodyBuffer(buffer []byte) {
	if cap(buffer) > freeBodyBytes {
		bodyBuffers[bits.Len(uint(cap(buffer)))].Put(&buffer)
	}
}
