package endpointlist

import (
	"hash/maphash"
	"os"
	"syscall"
	"time"

	"olivearch/internal/strictyaml"
)

// stamp tells one state of a file from others, as far as the system's clock for files is fine enough: two writes within
// one of its ticks, and of one length, have the same.
type stamp struct {
	dev, ino         uint64
	size             int64
	modified, statusChanged syscall.Timespec // a replaced or touched file may keep the first, never both
}

// fileID is what a name stands for.
type fileID struct{ dev, ino uint64 }

func (s stamp) id() fileID { return fileID{s.dev, s.ino} }

// statFile follows symbolic links, and tells whether the name is one.
func statFile(path string) (s stamp, linked bool, err error) {
	info, err := os.Lstat(path)
	if err == nil && info.Mode()&os.ModeSymlink != 0 {
		linked = true
		info, err = os.Stat(path)
	}
	if err != nil {
		return stamp{}, linked, err
	}
	x := info.Sys().(*syscall.Stat_t)
	return stamp{uint64(x.Dev), x.Ino, x.Size, x.Mtim, x.Ctim}, linked, nil
}

// statFunc is statFile, or a test's.
type statFunc func(path string) (s stamp, linked bool, err error)

// ambiguousFor is how long after a stamp was first seen a file may still change and keep it. The system's clock for files ticks
// every 10 ms at the slowest; a file system that keeps whole seconds only may keep every other one.
func (s stamp) ambiguousFor() time.Duration {
	if s.modified.Nsec == 0 && s.statusChanged.Nsec == 0 {
		return 2100 * time.Millisecond
	}
	return 50 * time.Millisecond
}

// Reading is how a list's file stood when it was read. The zero value is that of a file that was not.
type Reading struct {
	stamp  stamp
	linked bool
	hash   uint64 // a hash
	readAt     time.Time
}

var seed = maphash.MakeSeed()

// Read reads a file's list, and returns how it stood.
func Read(path string) (List, Reading, error) {
	var r Reading
	var err error
	r.readAt = time.Now()
	if r.stamp, r.linked, err = statFile(path); err != nil {
		return List{}, Reading{}, err
	}
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return List{}, Reading{}, err
	}
	r.hash = maphash.Bytes(seed, text)
	l, err := Parse(path, text)
	return l, r, err
}

// fileCheck is one look at a list's file. It runs on a goroutine of its own: a file system may keep it waiting.
type fileCheck struct {
	path   string
	before Reading
	reread   bool // also if the stamp is the same
	// settled tells that a change was seen some time ago: else one that is found now may be under way, and is left to a later look.
	settled bool

	unsettled bool // there is such a change
	startedAt        time.Time
	stamp     stamp
	linked    bool
	hash      uint64
	stampChanged    bool // in its stamp
	wasRead      bool // the text was read
	parsed    bool // and is another
	list      List
	err       error // of the file, or of its text if that was parsed
}

func (x *fileCheck) run(stat statFunc, turns chan struct{}) {
	x.startedAt = time.Now()
	if x.stamp, x.linked, x.err = stat(x.path); x.err != nil {
		return
	}
	x.stampChanged = x.stamp != x.before.stamp
	if !x.stampChanged && !x.reread {
		return
	}
	if x.stampChanged && !x.settled {
		x.unsettled = true
		return
	}
	text, err := strictyaml.ReadFile(x.path, maxFileSize)
	if err != nil {
		x.err = err
		return
	}
	x.wasRead, x.hash = true, maphash.Bytes(seed, text)
	if !x.before.readAt.IsZero() && x.hash == x.before.hash {
		return
	}
	turns <- struct{}{} // processors are for requests first
	x.parsed = true
	x.list, x.err = Parse(x.path, text)
	<-turns
}
