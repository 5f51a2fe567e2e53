// Package disk writes and reads the few files that outlive a process. A file is replaced whole: whoever reads it, also after a crash or
// a loss of power at any moment, finds the old text or the new one, as far as the disk keeps its word; Read finds out if it did not.
//
// A build with the tag "faultinject" can be told that the disk fails, for the proving ground's tests (internal/faulttest); the product has no
// such door.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
)

// A file begins with a head of its own: magic, version, length and CRC-32C (Castagnoli, as in RFC 9260, appendix A) of what follows.
const (
	magic    = "olvf"
	version  = 1
	headSize = 4 + 4 + 8 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is wrapped by errors of Read that are about what stands in a file: it was torn, changed, or is none of ours.
var ErrDamaged = errors.New("the file is damaged")

// Replace puts text in the place of what a file holds, or changes nothing. It returns once the disk has it: write to a file beside
// it, fsync(2), rename(2), fsync of the folder.
func Replace(path string, text []byte) error {
	head := binary.BigEndian.AppendUint32([]byte(magic), version)
	head = binary.BigEndian.AppendUint64(head, uint64(len(text)))
	head = binary.BigEndian.AppendUint32(head, crc32.Checksum(text, castagnoli))
	whole := append(head, text...)
	if handled, err := fail(path, whole); handled {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // fails once it is renamed
	_, err = f.Write(whole)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Read returns what Replace has put into a file, of at most so many bytes. The error wraps os.ErrNotExist if there is none, and
// ErrDamaged if it does not hold what was put there.
func Read(path string, most int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	whole, err := io.ReadAll(io.LimitReader(f, int64(headSize+most+1)))
	if err != nil {
		return nil, err
	}
	text, err := unwrap(whole)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, nil
}

func unwrap(whole []byte) ([]byte, error) {
	if len(whole) < headSize || string(whole[:4]) != magic {
		return nil, fmt.Errorf("%w: it has no head", ErrDamaged)
	}
	if v := binary.BigEndian.Uint32(whole[4:]); v != version {
		return nil, fmt.Errorf("%w: it is of version %d, and %d is known", ErrDamaged, v, version)
	}
	text := whole[headSize:]
	if n := binary.BigEndian.Uint64(whole[8:]); n != uint64(len(text)) {
		return nil, fmt.Errorf("%w: %d bytes stand there, and %d were written", ErrDamaged, len(text), n)
	}
	if crc32.Checksum(text, castagnoli) != binary.BigEndian.Uint32(whole[16:]) {
		return nil, fmt.Errorf("%w: its checksum differs", ErrDamaged)
	}
	return text, nil
}
