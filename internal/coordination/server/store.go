package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// ErrDamaged is wrapped by errors about a folder in which something stands that was not written there. Its member must
// not vote any more: what it has granted may be lost. The folder is to be removed; a new member then replaces it.
var ErrDamaged = errors.New("the folder is damaged")

// ErrForeignFolder is wrapped by errors about a folder that belongs to a server of another name.
var ErrForeignFolder = errors.New("the folder is another voter's")

// ErrDisk is wrapped by errors of a disk that did not do what it was asked to: nothing is known of what it has.
var ErrDisk = errors.New("the disk can't be trusted")

// fileName is the one file of the folder, besides the lock.
const fileName = "ledger.db"

// The buckets and keys of the file. All values begin with the CRC-32C of their key and the rest (seal).
var (
	bucketMeta   = []byte("meta")
	bucketLog    = []byte("log")
	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// logFillPercent is how full bbolt makes the pages of the log, which grows at its end only.
const logFillPercent = 0.9

// maxIndex is above all indices of the log.
const maxIndex = 1 << 63

// store is a server's folder: the log, its term and vote, and the last snapshot. Its methods belong to one goroutine
// and return once the disk has what they were given. After a write error nothing is known of the disk any more: the
// process has to end.
type store struct {
	db       *bbolt.DB
	path     string
	lock     *os.File // open for as long as the store is
	identity identity
}

// content is all that is loaded from a folder.
type content struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	entries   []*raftpb.Entry
}

func emptyContent() *content {
	return &content{hardState: &raftpb.HardState{}, snapshot: &raftpb.Snapshot{}}
}

// lastIndex returns the index of the last entry, which may be in the snapshot alone.
func (c *content) lastIndex() uint64 {
	last := c.snapshot.GetMetadata().GetIndex()
	if n := len(c.entries); n > 0 {
		last = max(last, c.entries[n-1].GetIndex())
	}
	return last
}

// openStore opens a server's folder, which must exist; an empty one gets a new identity under this name. All that the
// folder holds is checked and rewritten to a new file. Errors wrap ErrDamaged, ErrForeignFolder or ErrDisk where these
// are the cause.
func openStore(folder, name string, generateID func() uint64) (opened *store, loaded *content, err error) {
	path := filepath.Join(folder, fileName)
	if info, err := os.Stat(folder); err != nil || !info.IsDir() {
		return nil, nil, fmt.Errorf("folder %s: there is none", folder)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, nil, err
	}
	var database *bbolt.DB
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a damaged page number may lead out of the file
	defer func() {
		if cause := recover(); cause != nil { // bbolt panics on damaged pages
			opened, loaded, err = nil, nil, fmt.Errorf("%w: %s: %v", ErrDamaged, path, cause)
		}
		if err == nil {
			return
		}
		if database != nil {
			go database.Close() // it waits for what the panic has left open, perhaps for ever
		}
		lock.Close()
	}()
	if err := rewriteFile(path); err != nil {
		return nil, nil, err
	}
	database, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	opened = &store{db: database, path: path, lock: lock}
	loaded, err = opened.load(name, generateID)
	if err != nil {
		return nil, nil, err
	}
	return opened, loaded, nil
}

func (s *store) close() error { return errors.Join(s.db.Close(), s.lock.Close()) }

// write changes the file in one transaction. It returns once the disk has it.
func (s *store) write(change func(*bbolt.Tx) error) error {
	if err := injectWriteFault(s.path); err != nil {
		return err
	}
	if err := s.db.Update(change); err != nil {
		return err
	}
	return injectSyncFault(s.path)
}

func (s *store) putIdentity(tx *bbolt.Tx) error {
	return tx.Bucket(bucketMeta).Put(keyIdentity, seal(keyIdentity, s.identity.encode()))
}

// begin makes the folder a cluster's, with the snapshot and hard state that all its voters begin with; without a
// snapshot they come from the other voters.
func (s *store) begin(cluster uint64, first *raftpb.Snapshot, hardState *raftpb.HardState) error {
	s.identity.Cluster = cluster
	return s.write(func(tx *bbolt.Tx) error {
		err := s.putIdentity(tx)
		if first == nil {
			return err
		}
		meta := tx.Bucket(bucketMeta)
		return errors.Join(err, put(meta, keySnapshot, first), put(meta, keyHardState, hardState))
	})
}

// batch is what is written in one transaction.
type batch struct {
	hardState *raftpb.HardState // nil: unchanged
	entries   []*raftpb.Entry   // they replace all entries from the first one's index on
	snapshot  *raftpb.Snapshot  // nil: unchanged
	reset     bool              // the snapshot came from another server: the whole log is dropped
	keepFrom  uint64            // with a snapshot: entries of a lower index are dropped
}

// append writes a batch.
func (s *store) append(added batch) error {
	return s.write(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if added.snapshot != nil {
			if err := putSnapshot(meta, log, added); err != nil {
				return err
			}
		}
		if len(added.entries) > 0 {
			if err := putEntries(log, added.entries); err != nil {
				return err
			}
		}
		if added.hardState != nil {
			return put(meta, keyHardState, added.hardState)
		}
		return nil
	})
}

// putSnapshot writes the snapshot and drops the entries that are not wanted beside it.
func putSnapshot(meta, log *bbolt.Bucket, b batch) error {
	if err := put(meta, keySnapshot, b.snapshot); err != nil {
		return err
	}
	if err := dropEntries(log, 0, b.keepFrom); err != nil {
		return err
	}
	if b.reset {
		return dropEntries(log, 0, maxIndex)
	}
	return nil
}

// putEntries writes entries in the place of all from the first one's index on.
func putEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if err := dropEntries(log, entries[0].GetIndex(), maxIndex); err != nil {
		return err
	}
	log.FillPercent = logFillPercent
	for _, e := range entries {
		if err := put(log, logKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// dropEntries drops the entries from one index up to, and without, another.
func dropEntries(log *bbolt.Bucket, from, to uint64) error {
	cursor := log.Cursor()
	var keys [][]byte
	for key, _ := cursor.Seek(logKey(from)); key != nil && binary.BigEndian.Uint64(key) < to; key, _ = cursor.Next() {
		keys = append(keys, key)
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// logKey returns the key of an entry: its index, so that keys are in the order of the log.
func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// checksumSize is the size in bytes of the checksum that a stored value begins with.
const checksumSize = 4

// seal puts the checksum of key and value before the value.
func seal(key, value []byte) []byte {
	sealed := make([]byte, 0, checksumSize+len(value))
	return append(binary.BigEndian.AppendUint32(sealed, checksum(key, value)), value...)
}

// unseal checks a stored value and returns a copy of what was sealed. The error wraps ErrDamaged.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumSize || checksum(key, sealed[checksumSize:]) != binary.BigEndian.Uint32(sealed) {
		return nil, fmt.Errorf("%w: what stands under %q has another checksum than it was written with", ErrDamaged, key)
	}
	return append([]byte(nil), sealed[checksumSize:]...), nil
}

// checksum returns the CRC-32C (RFC 9260, appendix A) of a key and its value.
func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// get reads a message into the given one, which stays as it is where nothing is stored.
func get(bucket *bbolt.Bucket, key []byte, into proto.Message) error {
	sealed := bucket.Get(key)
	if sealed == nil {
		return nil
	}
	value, err := unseal(key, sealed)
	if err != nil {
		return err
	}
	return proto.Unmarshal(value, into)
}

func put(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	value, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, seal(key, value))
}
