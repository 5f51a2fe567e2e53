package config

import (
	"bytes"
	"os"
	"runtime"
	"syscall"

	"olivearch/internal/strictyaml"
)

// texts is memory outside the heap for the text that holds and for the next one, in turns. Between two reloads one of them holds
// nothing: 5 MB at 15,000 routes and 140,000 tenants, which as garbage would bring a collection every few reloads. Nothing that has been
// read from a text points into it.
type texts struct {
	in *[2][]byte
}

// newTexts returns texts that hold nothing. Their memory goes with them: who reads from one keeps its Loaded in hand.
func newTexts() *texts {
	t := &texts{new([2][]byte)}
	runtime.AddCleanup(t, func(in *[2][]byte) {
		for _, room := range in {
			if len(room) > 0 {
				syscall.Munmap(room)
			}
		}
	}, t.in)
	return t
}

const (
	heap = -1 // a text in no memory of texts
	// pageFrom is the size of a file from which its text is kept in pages of its own, in bytes.
	pageFrom = 256 << 10
	page     = 64 << 10
)

// read reads a file into the memory that is not another text's. where is what it is in.
func (t *texts) read(path string, other int) (text []byte, where int, err error) {
	where = heap
	if info, err := os.Stat(path); err == nil && info.Size() >= pageFrom && info.Size() <= maxFile {
		where = 0
		if other == 0 {
			where = 1
		}
		if !t.fit(where, int(info.Size()+info.Size()/64)+bytes.MinRead) { // then there is no such memory
			where = heap
		}
	}
	var room []byte
	if where != heap {
		room = t.in[where]
	}
	text, err = strictyaml.ReadFileInto(room, path, maxFile)
	if where != heap && (cap(text) == 0 || &text[:1][0] != &room[0]) { // it has grown meanwhile
		t.release(where)
		where = heap
	}
	return text, where, err
}

// fit makes room for so many bytes.
func (t *texts) fit(where, size int) bool {
	if len(t.in[where]) >= size {
		return true
	}
	if len(t.in[where]) > 0 {
		syscall.Munmap(t.in[where])
		t.in[where] = nil
	}
	size = (size + page - 1) / page * page
	room, err := syscall.Mmap(-1, 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_ANON|syscall.MAP_PRIVATE)
	if err != nil {
		return false
	}
	t.in[where] = room
	return true
}

// release gives back the memory of a text, not its place.
func (t *texts) release(where int) {
	if where != heap && len(t.in[where]) > 0 {
		syscall.Madvise(t.in[where], syscall.MADV_DONTNEED)
	}
}

// Adopted is to be called once c is in force: what was kept of the configuration before it, so that it could have stayed, is given
// back. From then on only c can be reloaded.
func (c *Loaded) Adopted() {
	for where := range c.texts.in {
		if where != c.textIn {
			c.texts.release(where)
		}
	}
}
