package server

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// populatedFolder returns a folder with a snapshot and some entries, and the content as readFolder returns it.
func populatedFolder(t *testing.T) (folder string, want string) {
	t.Helper()
	folder = t.TempDir()
	s, _, err := openStore(folder, "k1", func() uint64 { return 7 })
	if err != nil {
		t.Fatal(err)
	}
	snapshot := &raftpb.Snapshot{Data: bytes.Repeat([]byte("state "), 50), Metadata: &raftpb.SnapshotMetadata{
		Index: new(uint64(3)), Term: new(uint64(1)),
		ConfState: &raftpb.ConfState{Voters: []uint64{7}},
	}}
	if err := s.assignCluster(99, snapshot, initialHardState()); err != nil {
		t.Fatal(err)
	}
	var entries []*raftpb.Entry
	for i := uint64(4); i < 20; i++ {
		entries = append(entries, &raftpb.Entry{Index: new(i), Term: new(uint64(2)), Data: []byte(fmt.Sprint("entry ", i))})
	}
	hardState := &raftpb.HardState{Term: new(uint64(2)), Vote: new(uint64(7)), Commit: new(uint64(19))}
	if err := s.writeBatch(batch{entries: entries, hardState: hardState}); err != nil {
		t.Fatal(err)
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	return folder, mustReadFolder(t, folder)
}

// mustReadFolder returns the content of a folder as text.
func mustReadFolder(t *testing.T, folder string) string {
	t.Helper()
	text, err := readFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func readFolder(folder string) (string, error) {
	s, c, err := openStore(folder, "k1", func() uint64 { return 8 })
	if err != nil {
		return "", err
	}
	defer s.close()
	var b strings.Builder
	fmt.Fprintln(&b, s.identity, c.hardState.GetTerm(), c.hardState.GetVote(), c.hardState.GetCommit(),
		string(c.snapshot.GetData()), c.snapshot.GetMetadata().GetIndex())
	for _, e := range c.entries {
		fmt.Fprintln(&b, e.GetIndex(), e.GetTerm(), string(e.GetData()))
	}
	return b.String(), nil
}

// A flipped bit anywhere in the file is detected or does not change the stored content, so that no vote or grant is
// lost without an error. A truncated file is always detected.
func TestFlippedBits(t *testing.T) {
	folder, want := populatedFolder(t)
	path := filepath.Join(folder, fileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng, found := rand.New(rand.NewPCG(1, 1)), 0
	for range 400 {
		flipped := bytes.Clone(whole)
		at := rng.IntN(len(whole))
		flipped[at] ^= 1 << rng.IntN(8)
		if err := os.WriteFile(path, flipped, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := readFolder(folder)
		switch {
		case err == nil && got != want:
			t.Fatalf("byte %d: undetected change: %q", at, got)
		case err != nil && !errors.Is(err, ErrDamaged):
			t.Errorf("byte %d: %v", at, err)
		case err != nil:
			found++
		}
	}
	if found == 0 {
		t.Error("no flipped bit was detected")
	}
	for _, size := range []int{0, 100, len(whole) / 2} { // truncated
		if err := os.WriteFile(path, whole[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := readFolder(folder); !errors.Is(err, ErrDamaged) {
			t.Errorf("truncated to %d bytes: %q %v", size, got, err)
		}
	}
}

// A folder belongs to one server: another server can't open it, nor can two processes. Without its file, it belongs to
// a new member.
func TestFolderOwnership(t *testing.T) {
	folder, want := populatedFolder(t)
	if _, _, err := openStore(folder, "k2", func() uint64 { return 9 }); !errors.Is(err, ErrForeignFolder) {
		t.Errorf("k1's folder opened by k2: %v", err)
	}
	s, _, err := openStore(folder, "k1", func() uint64 { return 9 })
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = openStore(folder, "k1", func() uint64 { return 9 })
	if err == nil || !strings.Contains(err.Error(), "another process uses it") {
		t.Errorf("opened twice: %v", err)
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	if got := mustReadFolder(t, folder); got != want {
		t.Errorf("the folder's content changed to %q", got)
	}
	if _, _, err := openStore(filepath.Join(folder, "none"), "k1", nil); err == nil {
		t.Error("a folder that does not exist was opened")
	}
	empty := t.TempDir()
	a, _, err := openStore(empty, "k1", func() uint64 { return 41 })
	if err != nil || a.identity.ID != 41 || a.close() != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(empty, fileName)); err != nil {
		t.Fatal(err)
	}
	b, _, err := openStore(empty, "k1", func() uint64 { return 42 })
	if err != nil || b.identity.ID != 42 || b.close() != nil {
		t.Errorf("an emptied folder did not get a new member id: %v", err)
	}
}

// Recover fails while the folder is open elsewhere, and for a folder without a cluster.
func TestRecover(t *testing.T) {
	folder := t.TempDir()
	s, _, err := openStore(folder, "k1", func() uint64 { return 7 })
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Recover(folder, "k1", "127.0.0.1:1"); err == nil {
		t.Error("recovered a folder that is already open")
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	if _, err := Recover(folder, "k1", "127.0.0.1:1"); !errors.Is(err, errNoCluster) {
		t.Errorf("recovered a folder without a cluster: %v", err)
	}
}
