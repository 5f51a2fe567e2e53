// Package disk writes and reads files that outlive a process: cached endpoint lists, followers' stored copies and
// snapshots. It replaces a file atomically: a reader finds the old contents or the new ones, even after a crash or a
// power failure, provided that the disk stores what it has acknowledged. If the disk did not, Read returns an error.
//
// In a build with the tag "faultinject", fault tests (internal/faulttest) can make the disk fail. Other builds contain
// no fault injection.
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

// A file begins with a header, in big-endian order: magic, format version, and the length and CRC-32C (RFC 9260,
// appendix A) of the contents. The contents follow.
const (
	magic   = "olvf"
	version = 1

	versionOffset  = len(magic)
	lengthOffset   = versionOffset + 4
	checksumOffset = lengthOffset + 8
	headerSize     = checksumOffset + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is wrapped by errors of Read about a file that is incomplete, has been changed, or was not written by
// Replace.
var ErrDamaged = errors.New("the file is damaged")

// Replace replaces the contents of a file, and returns once the disk has acknowledged the new ones: it writes a
// temporary file in the same folder, calls fsync(2) and rename(2), and fsync(2) for the folder. After an error the file
// has the old contents, unless only the fsync for the folder failed.
func Replace(path string, contents []byte) error {
	encoded := encode(contents)
	if handled, err := injectFault(path, encoded); handled {
		return err
	}
	folder := filepath.Dir(path)
	file, err := os.CreateTemp(folder, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // fails once the file has been renamed
	if err := errors.Join(writeAndSync(file, encoded), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), path); err != nil {
		return err
	}
	return syncFolder(folder)
}

func writeAndSync(file *os.File, contents []byte) error {
	if _, err := file.Write(contents); err != nil {
		return err
	}
	return file.Sync()
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Read returns the contents that Replace has written to a file. The error wraps os.ErrNotExist if there is no file, and
// ErrDamaged if the file does not hold what was written. Read reads at most maxSize+1 bytes of contents, so a file with
// more counts as damaged.
func Read(path string, maxSize int) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	encoded, err := io.ReadAll(io.LimitReader(file, int64(headerSize+maxSize+1)))
	if err != nil {
		return nil, err
	}
	contents, err := decode(encoded)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return contents, nil
}

// encode returns the header followed by the contents.
func encode(contents []byte) []byte {
	encoded := make([]byte, 0, headerSize+len(contents))
	encoded = append(encoded, magic...)
	encoded = binary.BigEndian.AppendUint32(encoded, version)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(len(contents)))
	encoded = binary.BigEndian.AppendUint32(encoded, crc32.Checksum(contents, castagnoli))
	return append(encoded, contents...)
}

// decode checks the header and returns the contents, which share memory with encoded. Its errors wrap ErrDamaged.
func decode(encoded []byte) ([]byte, error) {
	if len(encoded) < headerSize || string(encoded[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: no valid header", ErrDamaged)
	}
	if written := binary.BigEndian.Uint32(encoded[versionOffset:]); written != version {
		return nil, fmt.Errorf("%w: format version %d, and only %d is supported", ErrDamaged, written, version)
	}
	contents := encoded[headerSize:]
	if written := binary.BigEndian.Uint64(encoded[lengthOffset:]); written != uint64(len(contents)) {
		return nil, fmt.Errorf("%w: contents of %d bytes, and %d were written",
			ErrDamaged, len(contents), written)
	}
	if crc32.Checksum(contents, castagnoli) != binary.BigEndian.Uint32(encoded[checksumOffset:]) {
		return nil, fmt.Errorf("%w: wrong checksum of the contents", ErrDamaged)
	}
	return contents, nil
}
