package disk

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

const maxSize = 100

// replacedFile writes contents to a new file twice, so that the second write replaces a file, and returns its path.
// There is no other file in the folder.
func replacedFile(t *testing.T, contents []byte) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "x")
	for range 2 {
		if err := Replace(path, contents); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

func TestReplace(t *testing.T) {
	contents := []byte("what is stored")
	path := replacedFile(t, contents)
	if got, err := Read(path, maxSize); err != nil || !bytes.Equal(got, contents) {
		t.Fatalf("read %q, %v, want %q", got, err, contents)
	}
	if files, err := filepath.Glob(filepath.Join(filepath.Dir(path), "*")); err != nil || len(files) != 1 {
		t.Errorf("files in the folder: %v, %v, want one", files, err)
	}
	if err := Replace(filepath.Join(path, "under", "a-file"), contents); err == nil {
		t.Error("no error for a missing folder")
	}
}

func TestReadWithoutFile(t *testing.T) {
	if _, err := Read(filepath.Join(t.TempDir(), "x"), maxSize); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v, want one that wraps ErrNotExist", err)
	}
}

func TestReadLimit(t *testing.T) {
	contents := bytes.Repeat([]byte("x"), maxSize)
	path := replacedFile(t, contents)
	if got, err := Read(path, maxSize); err != nil || !bytes.Equal(got, contents) {
		t.Errorf("read %q, %v, want all", got, err)
	}
	if got, err := Read(path, maxSize-2); !errors.Is(err, ErrDamaged) {
		t.Errorf("over the limit: read %q, %v, want ErrDamaged", got, err)
	}
}

// TestReadDetectsDamage: Read returns ErrDamaged for a file that is truncated, has a flipped bit or has an extra byte.
func TestReadDetectsDamage(t *testing.T) {
	path := replacedFile(t, []byte("what is stored"))
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	wantDamaged := func(damage string, contents []byte) {
		t.Helper()
		if err := os.WriteFile(path, contents, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Read(path, maxSize); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s: read %q, %v, want ErrDamaged", damage, got, err)
		}
	}
	for n := range stored {
		wantDamaged("truncated", stored[:n])
		for bit := range 8 {
			flipped := bytes.Clone(stored)
			flipped[n] ^= 1 << bit
			wantDamaged("flipped bit", flipped)
		}
	}
	wantDamaged("extra byte", append(bytes.Clone(stored), 'x'))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("olvf\x00\x00\x00\x01"))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if contents, err := decode(encoded); err == nil && len(contents)+headerSize != len(encoded) {
			t.Errorf("decoded %d bytes of contents from %d bytes", len(contents), len(encoded))
		}
	})
}
