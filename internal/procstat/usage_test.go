package procstat

import (
	"os"
	"testing"
)

// TestUsageOfThisProcess opens a file and reads it: descriptors and bytes read go up by what that takes.
func TestUsageOfThisProcess(t *testing.T) {
	path := t.TempDir() + "/x"
	if err := os.WriteFile(path, make([]byte, 1<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	before, err := Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.Read(make([]byte, 1<<20)); err != nil {
		t.Fatal(err)
	}
	now, err := Of(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if now.Read-before.Read < 1<<20 || now.Descriptors < before.Descriptors+1 || now.Threads < 1 || now.ResidentMB <= 0 || now.PeakMB < now.ResidentMB/2 {
		t.Errorf("%+v, and then %+v", before, now)
	}
	if _, err := Of(-1); err == nil {
		t.Error("a process that is none has a usage")
	}
}
