package balancer

import (
	"maps"
	"math"
	"testing"
)

func TestUpstreamSnapshotIsValid(t *testing.T) {
	for _, c := range []struct {
		name     string
		snapshot UpstreamSnapshot
		valid    bool
	}{
		{"nothing learnt", UpstreamSnapshot{}, true},
		{"a full window", UpstreamSnapshot{Readings: 100, Window: make([]float64, 8)}, true},
		{"more than a window", UpstreamSnapshot{Readings: 100, Window: make([]float64, 9)}, false},
		{"more than was read", UpstreamSnapshot{Readings: 2, Window: make([]float64, 3)}, false},
		{"answers under zero", UpstreamSnapshot{Answers: -1}, false},
		{"unreported answers under zero", UpstreamSnapshot{Unreported: -1}, false},
		{"a wait under zero", UpstreamSnapshot{Wait: -1}, false},
	} {
		if c.snapshot.isValid() != c.valid {
			t.Errorf("%s: valid %v", c.name, !c.valid)
		}
	}
}

func TestAdoptFigures(t *testing.T) {
	figures := map[string]float64{"a": 1, "zero": 2, "nan": 3, "huge": 4, "negative": 5, "missing": 6}
	to := map[string]*float64{}
	for name, figure := range figures {
		to[name] = &figure
	}
	adoptFigures(to, map[string]float64{"a": 7, "zero": 0, "nan": math.NaN(), "huge": 1e16, "negative": -1, "other": 8})
	want := map[string]float64{"a": 7, "zero": 2, "nan": 3, "huge": 4, "negative": 5, "missing": 6}
	if got := copyFigures(to); !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	*to["a"] = math.Inf(1)
	if _, found := copyFigures(to)["a"]; found {
		t.Error("a figure that JSON can't hold is copied")
	}
}
