package config

import (
	"bytes"
	"os"
	"runtime"
	"syscall"

	"olivearch/internal/strictyaml"
)

// textBuffers is memory outside the heap for the text that holds and for the next one, in turns. Between two reloads one of them holds
// nothing: 5 MB at 15,000 routes and 140,000 tenants, which as garbage would bring a collection every few reloads. Nothing that has been
// read from a text points into it.
type textBuffers struct {
	memory *[2][]byte
}

// newTextBuffers returns texts that hold nothing. Their memory goes with them: who reads from one keeps its Loaded in hand.
func newTextBuffers() *textBuffers {
	t := &textBuffers{new([2][]byte)}
	runtime.AddCleanup(t, func(in *[2][]byte) {
		for _, room := range in {
			if len(room) > 0 {
				syscall.Munmap(room)
			}
		}
	}, t.memory)
	return t
}

const (
	notBuffered = -1 // a text in no memory of texts
	// minBufferedSize is the size of a file from which its text is kept in pages of its own, in bytes.
	minBufferedSize = 256 << 10
	bufferUnit      = 64 << 10
)

// read reads a file into the memory that is not another text's. where is what it is in.
func (t *textBuffers) read(path string, other int) (text []byte, where int, err error) {
	where = notBuffered
	if info, err := os.Stat(path); err == nil && info.Size() >= minBufferedSize && info.Size() <= maxFileSize {
		where = 0
		if other == 0 {
			where = 1
		}
		if !t.ensureSize(where, int(info.Size()+info.Size()/64)+bytes.MinRead) { // then there is no such memory
			where = notBuffered
		}
	}
	var room []byte
	if where != notBuffered {
		room = t.memory[where]
	}
	text, err = strictyaml.ReadFileInto(room, path, maxFileSize)
	if where != notBuffered && (cap(text) == 0 || &text[:1][0] != &room[0]) { // it has grown meanwhile
		t.release(where)
		where = notBuffered
	}
	return text, where, err
}

// ensureSize makes room for so many bytes.
func (t *textBuffers) ensureSize(where, size int) bool {
	if len(t.memory[where]) >= size {
		return true
	}
	if len(t.memory[where]) > 0 {
		syscall.Munmap(t.memory[where])
		t.memory[where] = nil
	}
	size = (size + bufferUnit - 1) / bufferUnit * bufferUnit
	room, err := syscall.Mmap(-1, 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_ANON|syscall.MAP_PRIVATE)
	if err != nil {
		return false
	}
	t.memory[where] = room
	return true
}

// release gives back the memory of a text, not its place.
func (t *textBuffers) release(where int) {
	if where != notBuffered && len(t.memory[where]) > 0 {
		syscall.Madvise(t.memory[where], syscall.MADV_DONTNEED)
	}
}

// Adopted is to be called once c is in force: what was kept of the configuration before it, so that it could have stayed, is given
// back. From then on only c can be reloaded.
func (c *Loaded) Adopted() {
	for where := range c.buffers.memory {
		if where != c.bufferIndex {
			c.buffers.release(where)
		}
	}
}
