package endpointcache

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"olivearch/internal/discovery"
	"olivearch/internal/disk"
)

func member(id, phase string) discovery.Member {
	return discovery.Member{ID: id, HostPort: "127.0.0.1:1", Phase: phase, Size: 1}
}

// wantCached fails the test unless the file holds a complete list of these members, and returns the list.
func wantCached(t *testing.T, path string, members ...discovery.Member) *discovery.Listing {
	t.Helper()
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := &discovery.Listing{Complete: true, Members: members}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("cached %+v, want %+v", got, want)
	}
	return got
}

// TestWriterCachesLists: complete lists and changes are combined into one list on disk, which a later process can
// change further.
func TestWriterCachesLists(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if list, err := Load(path); list != nil || err != nil {
		t.Fatalf("no file: %v, %v", list, err)
	}

	w := NewWriter(path, nil)
	w.Save(discovery.Listing{Revision: 7, Complete: true, Members: []discovery.Member{
		member("a", "up"), member("b", "up"), member("c", "up"),
	}})
	w.Save(discovery.Listing{Revision: 8, Members: []discovery.Member{
		member("b", "draining"), member("c", "removed"), member("d", "up"),
	}})
	w.Close()
	w.Save(discovery.Listing{Complete: true}) // after Close: ignored
	cached := wantCached(t, path, member("a", "up"), member("b", "draining"), member("d", "up"))

	w = NewWriter(path, cached)
	w.Save(discovery.Listing{Revision: 1, Members: []discovery.Member{member("e", "up")}})
	w.Close()
	wantCached(t, path, member("a", "up"), member("b", "draining"), member("d", "up"), member("e", "up"))
}

func TestUpdateReportsChanges(t *testing.T) {
	before := []discovery.Member{member("a", "up"), member("b", "up")}
	for _, test := range []struct {
		name    string
		list    discovery.Listing
		changed bool
	}{
		{"the same complete list", discovery.Listing{Complete: true, Members: before}, false},
		{"a complete list with one less", discovery.Listing{Complete: true, Members: before[:1]}, true},
		{"no change", discovery.Listing{}, false},
		{"a known entry", discovery.Listing{Members: before[:1]}, false},
		{"a changed entry", discovery.Listing{Members: []discovery.Member{member("a", "draining")}}, true},
		{"a new entry", discovery.Listing{Members: []discovery.Member{member("c", "up")}}, true},
		{"a removed entry", discovery.Listing{Members: []discovery.Member{member("a", "removed")}}, true},
		{
			"a removed entry that is unknown",
			discovery.Listing{Members: []discovery.Member{member("c", "removed")}},
			false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := NewWriter(
				filepath.Join(t.TempDir(), "list"), &discovery.Listing{Complete: true, Members: before},
			)
			defer w.Close()
			if changed := w.update(test.list); changed != test.changed {
				t.Errorf("changed %v, want %v", changed, test.changed)
			}
		})
	}
}

func TestLoadErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(path, []byte("olv"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); !errors.Is(err, disk.ErrDamaged) {
		t.Errorf("a truncated file: %v, want ErrDamaged", err)
	}
	for _, test := range []struct{ name, text string }{
		{"invalid JSON", "{"},
		{"an invalid entry", `{"members":[{"id":"a","phase":"up","host_port":"nowhere"}]}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := disk.Replace(path, []byte(test.text)); err != nil {
				t.Fatal(err)
			}
			list, err := Load(path)
			if err == nil {
				t.Fatalf("loaded as %+v", list)
			}
			if !strings.Contains(err.Error(), path) {
				t.Errorf("%v does not name the file %s", err, path)
			}
		})
	}
}
