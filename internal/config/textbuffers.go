package config

import (
	"bytes"
	"os"
	"runtime"
	"syscall"

	"olivearch/internal/strictyaml"
)

// textBuffers holds two memory-mapped buffers that alternate: one holds the text of the configuration in force, and the
// next text is read into the other. On the heap, each reload of a configuration with 15,000 routes and 140,000 tenants
// would leave 5 MB of garbage, which causes a collection every few reloads. No value that is parsed from a text points
// into its buffer. textBuffers is not safe for concurrent use.
type textBuffers struct {
	memory *[2][]byte // a buffer that is not mapped is empty
}

// newTextBuffers returns buffers without memory. Their memory is unmapped once the textBuffers are unreachable, so code
// that reads a text in a buffer must keep its Loaded reachable.
func newTextBuffers() *textBuffers {
	b := &textBuffers{new([2][]byte)}
	runtime.AddCleanup(b, func(memory *[2][]byte) {
		for _, buffer := range memory {
			unmap(buffer)
		}
	}, b.memory)
	return b
}

const (
	// notBuffered is the index of a text that is in no buffer.
	notBuffered = -1
	// minBufferedSize is the minimum size of a file whose text is kept in a buffer, in bytes.
	minBufferedSize = 256 << 10
	// bufferUnit is the unit to which the size of a buffer is rounded up, in bytes.
	bufferUnit = 64 << 10
)

// read reads a file into a buffer whose index is not other. It returns the text and the index of its buffer, which is
// notBuffered for a small file and for one that did not fit.
func (b *textBuffers) read(path string, other int) (text []byte, index int, err error) {
	index = b.prepare(path, other)
	var buffer []byte
	if index != notBuffered {
		buffer = b.memory[index]
	}
	text, err = strictyaml.ReadFileInto(buffer, path, maxFileSize)
	if index != notBuffered && !isIn(text, buffer) { // the file has grown since its size was read
		b.release(index)
		index = notBuffered
	}
	return text, index, err
}

// prepare returns the index of a buffer that has room for a file, which is not the index other, or notBuffered.
func (b *textBuffers) prepare(path string, other int) int {
	info, err := os.Stat(path)
	if err != nil || info.Size() < minBufferedSize || info.Size() > maxFileSize {
		return notBuffered
	}
	index := 0
	if other == 0 {
		index = 1
	}
	if !b.ensureSize(index, int(info.Size()+info.Size()/64)+bytes.MinRead) {
		return notBuffered
	}
	return index
}

// isIn reports whether a text begins where a buffer begins. The buffer must not be empty.
func isIn(text, buffer []byte) bool { return cap(text) > 0 && &text[:1][0] == &buffer[0] }

// ensureSize grows a buffer to a size in bytes; false if the system can't provide the memory.
func (b *textBuffers) ensureSize(index, size int) bool {
	if len(b.memory[index]) >= size {
		return true
	}
	unmap(b.memory[index])
	b.memory[index] = nil
	size = (size + bufferUnit - 1) / bufferUnit * bufferUnit
	buffer, err := syscall.Mmap(-1, 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_ANON|syscall.MAP_PRIVATE)
	if err != nil {
		return false
	}
	b.memory[index] = buffer
	return true
}

// unmap returns the memory of a buffer to the system. That can only fail for memory that is not mapped.
func unmap(buffer []byte) {
	if len(buffer) > 0 {
		_ = syscall.Munmap(buffer)
	}
}

// release returns the physical memory of a buffer to the system; the buffer stays mapped.
func (b *textBuffers) release(index int) {
	if index != notBuffered && len(b.memory[index]) > 0 {
		_ = syscall.Madvise(b.memory[index], syscall.MADV_DONTNEED) // a failure only keeps the memory in use
	}
}

// Commit must be called once c is in force. It releases the text of the previous configuration, which was kept in case
// that one stayed in force. From then on only c can be reloaded.
func (c *Loaded) Commit() {
	for index := range c.buffers.memory {
		if index != c.bufferIndex {
			c.buffers.release(index)
		}
	}
}
