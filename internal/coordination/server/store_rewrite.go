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

// rewriteFile replaces the file, if it exists, with a synced copy. After a failed sync, data that an earlier process
// wrote may be in the page cache but not on disk. Only reachable pages are copied; their content is checked by
// store.load.
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
	// Close may wait forever for a transaction that a panic left open.
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
		cause := ErrDamaged // bbolt can't copy the file's content
		if errno := syscall.Errno(0); errors.As(err, &errno) {
			cause = ErrDisk
		}
		return fmt.Errorf("%w: rewrite %s: %w", cause, path, err)
	}
	if err := os.Rename(rewritten, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// compactTransactionBytes bounds the bytes that bbolt copies in one transaction.
const compactTransactionBytes = 1 << 20

// copyAndClose copies all reachable data to the target, syncs the target and closes it.
func copyAndClose(target, source *bbolt.DB) error {
	err := bbolt.Compact(target, source, compactTransactionBytes)
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

// The layout of bbolt's meta pages, which are the first two pages: a page header of 16 bytes, then magic, version, page
// size and flags (4 bytes each), root (16), freelist, page count, transaction and checksum (8 each), in native byte
// order. The offsets are in bytes from the start of the page.
const (
	metaPageCount      = 2
	metaMagic          = 0xED0CDAED
	metaOffset         = 16
	metaChecksumOffset = 72
	metaEnd            = 80
)

// checkMetaPages checks both meta pages. bbolt writes them alternately, and would use the older one if the newer one is
// damaged: a vote or an entry would be lost without an error.
func checkMetaPages(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	for page := range metaPageCount {
		var content [metaEnd]byte
		if _, err := file.ReadAt(content[:], int64(page*os.Getpagesize())); err != nil {
			return fmt.Errorf("%w: %s: read meta page %d: %w", ErrDamaged, path, page, err)
		}
		magic := binary.NativeEndian.Uint32(content[metaOffset:])
		checksum := binary.NativeEndian.Uint64(content[metaChecksumOffset:])
		if magic != metaMagic || checksum != metaChecksum(content[metaOffset:metaChecksumOffset]) {
			return fmt.Errorf("%w: %s: the magic or checksum of meta page %d is wrong", ErrDamaged, path, page)
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
