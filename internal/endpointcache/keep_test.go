package endpointcache

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"olivearch/internal/discovery"
	"olivearch/internal/disk"
)

func member(id, phase string) discovery.Member {
	return discovery.Member{ID: id, HostPort: "127.0.0.1:1", Phase: phase, Size: 1}
}

func ids(l *discovery.Listing) (s string) {
	for _, m := range l.Members {
		s += m.ID + ":" + m.Phase + " "
	}
	return s
}

// Whole lists and changes come to one list on the disk, and a later process goes on from there.
func TestKeepsWhatWasTold(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	if l, err := Load(path); l != nil || err != nil {
		t.Fatal(l, err)
	}
	k := NewWriter(path, nil)
	k.Save(discovery.Listing{Revision: 7, Complete: true, Members: []discovery.Member{member("a", "up"), member("b", "up"), member("c", "up")}})
	k.Save(discovery.Listing{Revision: 8, Members: []discovery.Member{member("b", "draining"), member("c", "removed"), member("d", "up")}})
	k.Close()
	k.Save(discovery.Listing{Complete: true}) // of a pool that has ended: nothing
	l, err := Load(path)
	if err != nil || ids(l) != "a:up b:draining d:up " || l.Revision != 0 || !l.Complete {
		t.Fatal(l, err)
	}
	k = NewWriter(path, l)
	k.Save(discovery.Listing{Revision: 1, Members: []discovery.Member{member("e", "up")}})
	k.Close()
	if l, err = Load(path); err != nil || ids(l) != "a:up b:draining d:up e:up " {
		t.Fatal(l, err)
	}
}

func TestLoadNamesWhatIsWrong(t *testing.T) {
	path := filepath.Join(t.TempDir(), "kept")
	if err := os.WriteFile(path, []byte("olv"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, disk.ErrDamaged) {
		t.Error(err)
	}
	for _, text := range []string{"{", `{"members":[{"id":"a","phase":"up","host_port":"nowhere"}]}`} {
		if err := disk.Replace(path, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if l, err := Load(path); err == nil {
			t.Errorf("%s: %v", text, l)
		}
	}
}
