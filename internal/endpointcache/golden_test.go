package endpointcache

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"olivearch/internal/discovery"
	"olivearch/internal/disk"
	"olivearch/internal/golden"
)

// TestGoldenList: a list is written with the bytes of the golden file, and the golden file is loaded as that list.
func TestGoldenList(t *testing.T) {
	stored := filepath.Join("testdata", "list")
	list := discovery.Listing{Complete: true, Members: []discovery.Member{
		{
			ID: "a", HostPort: "127.0.0.1:7001", Locality: "z1", Cell: 3, Phase: "up", Size: 1.5,
			UpSinceMS: 1700000000000,
		},
		{ID: "b", HostPort: "127.0.0.1:7002", Phase: "draining", Size: 1},
	}}
	path := filepath.Join(t.TempDir(), "list")
	w := NewWriter(path, nil)
	w.Save(list)
	w.Close()
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if golden.Updating() {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(stored, written, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != string(want) {
		text, _ := disk.Read(path, 1<<20)
		t.Errorf("written: %s", text)
	}
	got, err := Load(stored)
	if err != nil || !reflect.DeepEqual(*got, list) {
		t.Errorf("loaded: %+v, %v", got, err)
	}
}
