package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"syscall"

	"go.etcd.io/bbolt"
)

// rewriteFile replaces the file, if there is one, by a copy that is synced as a whole: what an earlier process wrote
// may be in the system's memory and not on the disk, if a sync of it failed. Only pages that can be reached are copied;
// what they hold is checked when it is loaded.
func rewriteFile(path string) error {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err := checkMetaPages(path); err != nil {
		return err
	}
	source, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: lockTimeout})
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDamaged, path, err)
	}
	// Close waits for what a panic has left open, perhaps for ever.
	defer func() { go source.Close() }()
	rewritten := path + ".new"
	if err := os.Remove(rewritten); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	target, err := bbolt.Open(rewritten, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return err
	}
	if err := copyAndClose(target, source); err != nil {
		cause := ErrDamaged // what the file holds can't be written as it stands
		if errno := syscall.Errno(0); errors.As(err, &errno) {
			cause = ErrDisk
		}
		return fmt.Errorf("%w: %s: writing it anew: %w", cause, path, err)
	}
	if err := os.Rename(rewritten, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// compactTransaction is how many bytes bbolt copies in one transaction.
const compactTransaction = 1 << 20

// copyAndClose copies all that can be reached, syncs the target and closes it.
func copyAndClose(target, source *bbolt.DB) error {
	err := bbolt.Compact(target, source, compactTransaction)
	if err == nil {
		err = target.Sync()
	}
	return errors.Join(err, target.Close())
}

// syncFolder makes a rename in the folder durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// The layout of bbolt's meta pages (the first two): a page header of 16 bytes, then magic, version, page size and flags
// (4 bytes each), root (16), freelist, page count, transaction and checksum (8 each), in the machine's byte order.
const (
	metaPages       = 2
	metaMagic       = 0xED0CDAED
	metaStart       = 16
	metaChecksumAt  = 72
	metaPageContent = 80
)

// checkMetaPages checks both meta pages. bbolt writes them in turn and takes the older one where the newer is damaged:
// a vote or an entry would be forgotten in silence.
func checkMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	for page := range metaPages {
		var content [metaPageContent]byte
		if _, err := file.ReadAt(content[:], int64(page*os.Getpagesize())); err != nil {
			return fmt.Errorf("%w: %s: head %d: %w", ErrDamaged, path, page, err)
		}
		magic := binary.NativeEndian.Uint32(content[metaStart:])
		checksum := binary.NativeEndian.Uint64(content[metaChecksumAt:])
		if magic != metaMagic || checksum != metaChecksum(content[metaStart:metaChecksumAt]) {
			return fmt.Errorf("%w: %s: head %d has another checksum than it was written with", ErrDamaged, path, page)
		}
	}
	return nil
}

// metaChecksum returns bbolt's checksum of a meta page: FNV-1a, 64 bits.
func metaChecksum(b []byte) uint64 {
	hash := fnv.New64a()
	hash.Write(b)
	return hash.Sum64()
}
