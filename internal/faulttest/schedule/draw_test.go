package schedule

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"olivearch/internal/faulttest/script"
)

func base(t *testing.T, seed int) *script.File {
	t.Helper()
	f, err := script.Parse("x.yaml", []byte("name: x\nlength: 8s\nbalancers: {count: 8}\nnodes: {count: 6}\nload: {rate: 5}\n"))
	if err != nil {
		t.Fatal(err)
	}
	f.Seed = seed
	return f
}

// The same seed draws the same schedule; each is one that the script's own check passes, and its faults end before the load does.
func TestFaults(t *testing.T) {
	kinds := map[string]bool{}
	for seed := 1; seed <= 100; seed++ {
		f := base(t, seed)
		f.Faults = Faults(f, 6)
		if !reflect.DeepEqual(f.Faults, Faults(base(t, seed), 6)) {
			t.Fatalf("seed %d draws two schedules", seed)
		}
		text, err := f.Text()
		if err != nil {
			t.Fatal(err)
		}
		again, err := script.Parse("y.yaml", []byte(text))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, x := range again.Faults {
			kinds[x.Kind] = true
			if x.At+x.For > f.Length || x.For < 1 {
				t.Errorf("seed %d: %+v", seed, x)
			}
		}
	}
	if len(kinds) < 15 {
		t.Errorf("only %v", kinds)
	}
}

// Of ten faults two matter, in part: those are found, shorter, and by name.
func TestShrink(t *testing.T) {
	f := base(t, 3)
	f.Faults = Faults(f, 10)
	f.Faults[2] = script.Fault{Kind: "stall", Of: []string{"nodes 50%"}, For: f.Length / 4}
	f.Faults[7] = script.Fault{Kind: "kill", Of: []string{"b-1"}, For: f.Length / 4}
	want := f.Choose([]string{"nodes 50%"}, 2)
	has := func(f *script.File, kind, of string) bool {
		return slices.ContainsFunc(f.Faults, func(x script.Fault) bool {
			return x.Kind == kind && slices.Contains(x.Of, of) && time.Duration(x.For) > 300*time.Millisecond
		})
	}
	fails := func(f *script.File) bool { return has(f, "stall", want[0].String()) && has(f, "kill", "b-1") }
	short, plays := Shrink(f, 100, fails)
	if len(short.Faults) != 2 || !fails(short) || plays > 100 || time.Duration(short.Faults[1].For) > 600*time.Millisecond {
		t.Errorf("%d plays: %+v", plays, short.Faults)
	}
	if short, plays = Shrink(f, 3, fails); plays > 3 || !fails(short) {
		t.Errorf("%d plays of 3", plays)
	}
}
