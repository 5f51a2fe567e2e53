package override

import (
	"testing"
	"time"
)

func TestLedger(t *testing.T) {
	var l Ledger
	if l.Back("a", 1) || l.IsOut("a") || l.BackAt("a") != 0 {
		t.Error("an upstream that nobody took out")
	}
	l.Out("a", 5)
	l.Out("a", 9) // the call arrives twice
	if !l.IsOut("a") || l.BackAt("a") != 0 {
		t.Error("not out")
	}
	if !l.Back("a", 12) || l.IsOut("a") || l.BackAt("a") != 12 {
		t.Error("one call back undoes both")
	}
	l.Out("b", time.Hour)
	if l.BackAt("a") != 0 || len(l.Entries()) != 1 {
		t.Error("what was called back long ago is forgotten")
	}
}

// TestMerge: two processes come to the same, whichever way their entries go.
func TestMerge(t *testing.T) {
	var x, y Ledger
	x.Out("a", 1)
	y.Out("a", 1)
	y.Back("a", 2)
	y.Out("b", 3)
	x.Out("c", 4)
	x.Out("d", 5)
	x.Back("d", 5) // in the same moment: the later call still counts
	fromX := x.Entries()
	x.Merge(y.Entries())
	y.Merge(fromX)
	for _, l := range []*Ledger{&x, &y} {
		if l.IsOut("a") || !l.IsOut("b") || !l.IsOut("c") || l.IsOut("d") {
			t.Errorf("%+v", l.Entries())
		}
	}
}
