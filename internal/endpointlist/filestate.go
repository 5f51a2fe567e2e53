package endpointlist

import (
	"hash/maphash"
	"os"
	"syscall"
	"time"

	"olivearch/internal/strictyaml"
)

// How long after a stamp was first seen a file may still change and keep it. The system's clock for files ticks every
// 10 ms at the slowest; a file system that keeps whole seconds only may keep every other one.
const (
	ambiguousWithFineClock   = 50 * time.Millisecond
	ambiguousWithCoarseClock = 2100 * time.Millisecond
)

// stamp identifies a state of a file, as far as the system's clock for files is fine enough: two writes of one length
// within one of its ticks have the same stamp.
type stamp struct {
	dev, ino uint64
	size     int64
	// A file that is replaced or touched may keep its modification time (mtime), but never its status change time (ctime).
	modified, statusChanged syscall.Timespec
}

// fileID identifies a file or folder by device and inode, whatever path leads to it. The zero value is none.
type fileID struct{ dev, ino uint64 }

func (s stamp) id() fileID { return fileID{s.dev, s.ino} }

// ambiguousFor returns how long after the stamp was first seen the file may still change and keep it.
func (s stamp) ambiguousFor() time.Duration {
	if s.modified.Nsec == 0 && s.statusChanged.Nsec == 0 {
		return ambiguousWithCoarseClock
	}
	return ambiguousWithFineClock
}

// statFunc is statFile, or a test's replacement.
type statFunc func(path string) (s stamp, linked bool, err error)

// statFile returns the stamp of a file, following symbolic links, and whether the path is one.
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

// FileState is the state of a list's file when it was read. The zero value is that of a file that was not read.
type FileState struct {
	stamp  stamp
	linked bool   // the path is a symbolic link
	hash   uint64 // of the text
	readAt time.Time
}

// hashSeed is of this process: hashes are never stored.
var hashSeed = maphash.MakeSeed()

// Read reads and checks the list in a file, and returns the file's state too.
func Read(path string) (List, FileState, error) {
	reading := FileState{readAt: time.Now()}
	var err error
	reading.stamp, reading.linked, err = statFile(path)
	if err != nil {
		return List{}, FileState{}, err
	}
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return List{}, FileState{}, err
	}
	reading.hash = maphash.Bytes(hashSeed, text)
	list, err := Parse(path, text)
	return list, reading, err
}
