package config

import (
	"bytes"
	"os"
	"runtime"
	"syscall"

	"olivearch/internal/strictyaml"
)

// textBuffers is memory outside the heap for the text of the configuration in force and for the next one, in turns.
// Between two reloads one of them holds nothing: on the heap that would be 5 MB of garbage at 15,000 routes and 140,000
// tenants, and a collection every few reloads. Nothing that has been read from a text points into it. It is for one
// goroutine at a time.
type textBuffers struct {
	memory *[2][]byte // mapped; empty where nothing was
}

// newTextBuffers returns buffers without memory. What they get is unmapped once they are unreachable: code that reads
// a text in them keeps its Loaded reachable.
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
	// minBufferedSize is the size of a file from which its text is kept in a buffer, in bytes.
	minBufferedSize = 256 << 10
	// bufferUnit is what the size of a buffer is a multiple of, in bytes.
	bufferUnit = 64 << 10
)

// read reads a file into the buffer that does not hold another text. index is that of the buffer, or notBuffered for a
// small file and for one that did not fit.
func (b *textBuffers) read(path string, other int) (text []byte, index int, err error) {
	index = b.prepare(path, other)
	var buffer []byte
	if index != notBuffered {
		buffer = b.memory[index]
	}
	text, err = strictyaml.ReadFileInto(buffer, path, maxFileSize)
	if index != notBuffered && !isIn(text, buffer) { // the file has grown meanwhile
		b.release(index)
		index = notBuffered
	}
	return text, index, err
}

// prepare returns the index of a buffer that is not the other one and has room for a file, or notBuffered.
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

// isIn reports whether a text stands in a buffer, which is not empty.
func isIn(text, buffer []byte) bool { return cap(text) > 0 && &text[:1][0] == &buffer[0] }

// ensureSize gives a buffer room for so many bytes; false if the system gives none.
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

// unmap returns a buffer to the system. It can only fail for memory that was not mapped.
func unmap(buffer []byte) {
	if len(buffer) > 0 {
		_ = syscall.Munmap(buffer)
	}
}

// release gives back the memory of a buffer, but not its addresses.
func (b *textBuffers) release(index int) {
	if index != notBuffered && len(b.memory[index]) > 0 {
		_ = syscall.Madvise(b.memory[index], syscall.MADV_DONTNEED) // only advice: the text is read anew before use
	}
}

// Commit is to be called once c is in force: the text of the configuration before it, which was kept in case that one
// had to stay, is given back. From then on only c can be reloaded.
func (c *Loaded) Commit() {
	for index := range c.buffers.memory {
		if index != c.bufferIndex {
			c.buffers.release(index)
		}
	}
}
