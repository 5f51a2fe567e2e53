package endpointlist

import (
	"hash/maphash"
	"os"
	"syscall"
	"time"

	"olivearch/internal/strictyaml"
)

// The times during which a file may change and keep its stamp, from when the stamp was first seen. The kernel's clock
// for file times ticks at least every 10 ms. A file system without fractions of a second may store only even seconds.
const (
	ambiguousWithFineClock   = 50 * time.Millisecond
	ambiguousWithCoarseClock = 2100 * time.Millisecond
)

// stamp identifies a state of a file. It is ambiguous within one tick of the kernel's clock for file times: two writes
// of the same length within a tick leave the same stamp.
type stamp struct {
	dev, ino uint64
	size     int64
	// A replaced or touched file may keep its modification time (mtime), but never its status change time (ctime).
	modified, statusChanged syscall.Timespec
}

// fileID identifies a file or folder by device and inode, independent of its path. The zero value stands for no file.
type fileID struct{ dev, ino uint64 }

func (s stamp) id() fileID { return fileID{s.dev, s.ino} }

// ambiguousFor returns how long, from when the stamp was first seen, the file may change and keep this stamp.
func (s stamp) ambiguousFor() time.Duration {
	if s.modified.Nsec == 0 && s.statusChanged.Nsec == 0 {
		return ambiguousWithCoarseClock
	}
	return ambiguousWithFineClock
}

// statFunc is the type of statFile, which tests replace.
type statFunc func(path string) (s stamp, linked bool, err error)

// statFile returns the stamp of a file, and whether its path is a symbolic link. It follows links.
func statFile(path string) (s stamp, linked bool, err error) {
	info, err := os.Lstat(path)
	if err == nil && info.Mode()&os.ModeSymlink != 0 {
		linked = true
		info, err = os.Stat(path)
	}
	if err != nil {
		return stamp{}, linked, err
	}
	system := info.Sys().(*syscall.Stat_t)
	s = stamp{
		dev:           system.Dev,
		ino:           system.Ino,
		size:          system.Size,
		modified:      system.Mtim,
		statusChanged: system.Ctim,
	}
	return s, linked, nil
}

// FileState is the state of the file of a list when it was read. The zero value stands for a file that was not read.
type FileState struct {
	stamp  stamp
	linked bool   // the path is a symbolic link
	hash   uint64 // of the text
	readAt time.Time
}

// hashSeed differs in each process, so hashes must not be stored.
var hashSeed = maphash.MakeSeed()

// Read reads and checks the list in a file, and returns it with the state of the file.
func Read(path string) (List, FileState, error) {
	state := FileState{readAt: time.Now()}
	var err error
	state.stamp, state.linked, err = statFile(path)
	if err != nil {
		return List{}, FileState{}, err
	}
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return List{}, FileState{}, err
	}
	state.hash = maphash.Bytes(hashSeed, text)
	list, err := Parse(path, text)
	return list, state, err
}
