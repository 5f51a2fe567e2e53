package override

import (
	"maps"
	"testing"
	"time"
)

// TestLocalOverrides takes upstreams out of service and puts them back, and checks them after each step.
func TestLocalOverrides(t *testing.T) {
	var table Table
	want := func(id string, out bool, putBackAt time.Duration) {
		t.Helper()
		gotOut, gotPutBackAt := table.OutOfServiceLocally(id), table.putBackLocallyAt(id)
		if gotOut != out || gotPutBackAt != putBackAt {
			t.Errorf("%s: out %v, put back at %v, want %v, %v", id, gotOut, gotPutBackAt, out, putBackAt)
		}
	}

	if table.PutBack("a", 1) {
		t.Error("PutBack of an upstream that nobody took out reports true")
	}
	want("a", false, 0)

	table.TakeOut("a", 5)
	table.TakeOut("a", 9) // the command arrives twice
	want("a", true, 0)

	if !table.PutBack("a", 12) {
		t.Error("PutBack of an upstream that was taken out twice reports false")
	}
	want("a", false, 12)

	table.TakeOut("b", time.Hour)
	want("a", false, 0)
	if n := len(table.Entries()); n != 1 {
		t.Errorf("%d entries, want 1: an upstream that was put back long ago is forgotten", n)
	}
}

// TestMerge: two processes have the same overrides after each has merged the other's.
func TestMerge(t *testing.T) {
	var x, y Table
	x.TakeOut("a", 1)
	y.TakeOut("a", 1)
	y.PutBack("a", 2)
	y.TakeOut("b", 3)
	x.TakeOut("c", 4)
	x.TakeOut("d", 5)
	x.PutBack("d", 5) // at the same time: the later call wins
	fromX := x.Entries()
	x.Merge(y.Entries())
	y.Merge(fromX)
	for _, table := range []*Table{&x, &y} {
		for id, out := range map[string]bool{"a": false, "b": true, "c": true, "d": false} {
			if table.OutOfServiceLocally(id) != out {
				t.Errorf("%s: out %v, want %v: %+v",
					id, table.OutOfServiceLocally(id), out, table.Entries())
			}
		}
	}
	if !maps.Equal(x.Entries(), y.Entries()) {
		t.Errorf("the overrides differ: %+v, %+v", x.Entries(), y.Entries())
	}
}

func TestMergeTakesTheLaterEntry(t *testing.T) {
	for _, test := range []struct {
		name               string
		ours, theirs, want Entry
	}{
		{"theirs is later", Entry{Out: true, At: 1}, Entry{Out: false, At: 2}, Entry{Out: false, At: 2}},
		{"ours is later", Entry{Out: false, At: 2}, Entry{Out: true, At: 1}, Entry{Out: false, At: 2}},
		{"same time, ours out", Entry{Out: true, At: 3}, Entry{Out: false, At: 3}, Entry{Out: true, At: 3}},
		{"same time, theirs out", Entry{Out: false, At: 3}, Entry{Out: true, At: 3}, Entry{Out: true, At: 3}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			table.Merge(map[string]Entry{"a": test.ours})
			table.Merge(map[string]Entry{"a": test.theirs})
			if got := table.Entries()["a"]; got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
