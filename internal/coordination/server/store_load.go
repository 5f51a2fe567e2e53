package server

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// load reads and checks the whole file. An empty file gets a new identity.
func (s *store) load(name string, generateID func() uint64) (*folderContent, error) {
	empty, err := s.checkBuckets()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	if empty {
		s.identity = identity{Name: name, ID: newMemberID(name, generateID)}
		return emptyFolderContent(), s.create()
	}
	loaded := emptyFolderContent()
	err = s.db.View(func(tx *bbolt.Tx) error { return s.loadBuckets(tx, name, loaded) })
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path, err)
	}
	last, committed := loaded.lastIndex(), loaded.hardState.GetCommit()
	if committed > last {
		return nil, fmt.Errorf("%s: %w: the commit index is %d, but the log ends at %d",
			s.path, ErrDamaged, committed, last)
	}
	return loaded, nil
}

// checkBuckets returns an error if a bucket has an unknown name, and reports whether there are no buckets.
func (s *store) checkBuckets() (empty bool, err error) {
	empty = true
	err = s.db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
			empty = false
			return checkKnownName(name, bucketMeta, bucketLog)
		})
	})
	return empty, err
}

// create writes the buckets and the identity to an empty file.
func (s *store) create() error {
	return s.write(func(tx *bbolt.Tx) error {
		_, metaErr := tx.CreateBucket(bucketMeta)
		_, logErr := tx.CreateBucket(bucketLog)
		return errors.Join(metaErr, logErr, s.putIdentity(tx))
	})
}

// loadBuckets reads the identity, hard state, snapshot and log.
func (s *store) loadBuckets(tx *bbolt.Tx, name string, loaded *folderContent) error {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if log == nil || meta == nil {
		return fmt.Errorf("%w: a bucket of its file is missing", ErrDamaged)
	}
	err := meta.ForEach(func(key, _ []byte) error {
		return checkKnownName(key, keyIdentity, keyHardState, keySnapshot)
	})
	if err != nil {
		return err
	}
	encoded, err := unseal(keyIdentity, meta.Get(keyIdentity))
	if err != nil {
		return err
	}
	if err := s.identity.decode(encoded); err != nil {
		return err
	}
	if s.identity.Name != name {
		return fmt.Errorf("%w: %s is the folder of %s, not of %s", ErrForeignFolder, s.path, s.identity.Name, name)
	}
	hardStateErr := get(meta, keyHardState, loaded.hardState)
	snapshotErr := get(meta, keySnapshot, loaded.snapshot)
	if err := errors.Join(hardStateErr, snapshotErr); err != nil {
		return err
	}
	return loaded.loadEntries(log)
}

// loadEntries reads the log, which must have no gap, neither within itself nor after the snapshot.
func (c *folderContent) loadEntries(log *bbolt.Bucket) error {
	expected := c.snapshot.GetMetadata().GetIndex() + 1
	return log.ForEach(func(key, sealed []byte) error {
		value, err := unseal(key, sealed)
		if err != nil {
			return err
		}
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(value, entry); err != nil {
			return fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		if len(c.entries) == 0 && entry.GetIndex() < expected { // kept before the snapshot, for lagging members
			expected = entry.GetIndex()
		}
		if entry.GetIndex() != expected || binary.BigEndian.Uint64(key) != expected {
			return fmt.Errorf("%w: entry %d of the log is missing", ErrDamaged, expected)
		}
		c.entries = append(c.entries, entry)
		expected++
		return nil
	})
}

// checkKnownName returns an error unless the name of a bucket or key is a known one. An unknown name is a known one
// with a flipped bit. It must not be ignored: the data under it would seem never to have been written.
func checkKnownName(name []byte, knownNames ...[]byte) error {
	if slices.ContainsFunc(knownNames, func(known []byte) bool { return bytes.Equal(known, name) }) {
		return nil
	}
	return fmt.Errorf("%w: its file has an unknown bucket or key %q", ErrDamaged, name)
}
