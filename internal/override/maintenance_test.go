package override

import (
	"testing"
	"time"
)

func TestLedger(t *testing.T) {
	var l Table
	if l.PutBack("a", 1) || l.OutLocally("a") || l.PutBackAt("a") != 0 {
		t.Error("an upstream that nobody took out")
	}
	l.TakeOut("a", 5)
	l.TakeOut("a", 9) // the call arrives twice
	if !l.OutLocally("a") || l.PutBackAt("a") != 0 {
		t.Error("not out")
	}
	if !l.PutBack("a", 12) || l.OutLocally("a") || l.PutBackAt("a") != 12 {
		t.Error("one call back undoes both")
	}
	l.TakeOut("b", time.Hour)
	if l.PutBackAt("a") != 0 || len(l.Entries()) != 1 {
		t.Error("what was called back long ago is forgotten")
	}
}

// TestMerge: two processes come to the same, whichever way their entries go.
func TestMerge(t *testing.T) {
	var x, y Table
	x.TakeOut("a", 1)
	y.TakeOut("a", 1)
	y.PutBack("a", 2)
	y.TakeOut("b", 3)
	x.TakeOut("c", 4)
	x.TakeOut("d", 5)
	x.PutBack("d", 5) // in the same moment: the later call still counts
	fromX := x.Entries()
	x.Merge(y.Entries())
	y.Merge(fromX)
	for _, l := range []*Table{&x, &y} {
		if l.OutLocally("a") || !l.OutLocally("b") || !l.OutLocally("c") || l.OutLocally("d") {
			t.Errorf("%+v", l.Entries())
		}
	}
}
