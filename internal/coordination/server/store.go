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

// ErrDamaged is wrapped by errors about a folder whose content is not what the server wrote. Votes and grants may be
// missing from it, so its member must not vote any more. Operators have to remove the folder; a new member then
// replaces the old one.
var ErrDamaged = errors.New("the folder is damaged")

// ErrForeignFolder is wrapped by errors about a folder that belongs to a server of another name.
var ErrForeignFolder = errors.New("the folder is another voter's")

// ErrDisk is wrapped by errors of a disk operation that failed, after which the content on disk is unknown.
var ErrDisk = errors.New("the disk can't be trusted")

// fileName is the only file in the folder, apart from the lock.
const fileName = "ledger.db"

// The buckets and keys of the file. Each value starts with a CRC-32C of its key and content (see seal).
var (
	bucketMeta   = []byte("meta")
	bucketLog    = []byte("log")
	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// logFillPercent is the fill ratio of the log's pages in bbolt. It is high because the log grows only at its end.
const logFillPercent = 0.9

// indexLimit is greater than any index of the log.
const indexLimit = 1 << 63

// store is a server's folder, with the log, the term and vote, and the last snapshot. Only one goroutine may use it.
// Its methods return when their data is on disk. After a write error the content on disk is unknown and the process has
// to end.
type store struct {
	db       *bbolt.DB
	path     string
	lock     *os.File // held while the store is open
	identity identity
}

// folderContent is the Raft state loaded from a folder.
type folderContent struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	entries   []*raftpb.Entry
}

func emptyFolderContent() *folderContent {
	return &folderContent{hardState: &raftpb.HardState{}, snapshot: &raftpb.Snapshot{}}
}

// lastIndex returns the index of the last entry in the log or in the snapshot.
func (c *folderContent) lastIndex() uint64 {
	last := c.snapshot.GetMetadata().GetIndex()
	if n := len(c.entries); n > 0 {
		last = max(last, c.entries[n-1].GetIndex())
	}
	return last
}

// openStore opens the folder of the server with this name. The folder must exist; an empty one gets a new identity. Its
// whole content is checked and rewritten to a new file. Errors wrap ErrDamaged, ErrForeignFolder or ErrDisk if one of
// these is the cause.
func openStore(folder, name string, generateID func() uint64) (opened *store, loaded *folderContent, err error) {
	path := filepath.Join(folder, fileName)
	if info, err := os.Stat(folder); err != nil || !info.IsDir() {
		return nil, nil, fmt.Errorf("folder %s: there is none", folder)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, nil, err
	}
	var database *bbolt.DB
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a damaged page number may point beyond the file
	defer func() {
		if cause := recover(); cause != nil { // bbolt panics on damaged pages
			opened, loaded, err = nil, nil, fmt.Errorf("%w: %s: %v", ErrDamaged, path, cause)
		}
		if err == nil {
			return
		}
		if database != nil {
			go database.Close() // may wait forever for a transaction that the panic left open
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

// write changes the file in one transaction. It returns when the transaction is on disk.
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

// assignCluster assigns the folder to a cluster, and writes the snapshot and hard state with which its voters start. If
// the snapshot is nil, it writes neither: the other voters send them later.
func (s *store) assignCluster(cluster uint64, first *raftpb.Snapshot, hardState *raftpb.HardState) error {
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

// batch is the content of one transaction.
type batch struct {
	hardState *raftpb.HardState // nil: unchanged
	entries   []*raftpb.Entry   // replace all entries from the first one's index on
	snapshot  *raftpb.Snapshot  // nil: unchanged
	dropLog   bool              // with a snapshot: the whole log is dropped, as for a snapshot from another server
	keepFrom  uint64            // with a snapshot: entries with a lower index are dropped
}

// writeBatch writes a batch in one transaction.
func (s *store) writeBatch(added batch) error {
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

// putSnapshot writes the snapshot of a batch and drops the entries that it makes unnecessary.
func putSnapshot(meta, log *bbolt.Bucket, b batch) error {
	if err := put(meta, keySnapshot, b.snapshot); err != nil {
		return err
	}
	if err := dropEntries(log, 0, b.keepFrom); err != nil {
		return err
	}
	if b.dropLog {
		return dropEntries(log, 0, indexLimit)
	}
	return nil
}

// putEntries replaces all entries from the first new one's index on.
func putEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if err := dropEntries(log, entries[0].GetIndex(), indexLimit); err != nil {
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

// dropEntries deletes the entries from index from up to, but not including, index to.
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

// logKey returns the key of an entry: its index in big-endian order, so that keys sort in the order of the log.
func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// checksumSize is the size in bytes of the checksum at the start of a stored value.
const checksumSize = 4

// seal returns the value with a checksum of key and value before it.
func seal(key, value []byte) []byte {
	sealed := make([]byte, 0, checksumSize+len(value))
	return append(binary.BigEndian.AppendUint32(sealed, checksum(key, value)), value...)
}

// unseal verifies the checksum of a stored value and returns a copy of the value without it. The error wraps
// ErrDamaged.
func unseal(key, sealed []byte) ([]byte, error) {
	if len(sealed) < checksumSize || checksum(key, sealed[checksumSize:]) != binary.BigEndian.Uint32(sealed) {
		return nil, fmt.Errorf("%w: the checksum of the value of key %q is wrong", ErrDamaged, key)
	}
	return append([]byte(nil), sealed[checksumSize:]...), nil
}

// checksum returns the CRC-32C (RFC 9260, appendix A) of a key and its value.
func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// get decodes the stored message of a key into the given one. It leaves that unchanged if nothing is stored.
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
