package balancer

import "testing"

func TestBaseWidth(t *testing.T) {
	for _, c := range []struct {
		name          string
		active        float64
		balancers     int
		rate          float64
		width, growth float64
	}{
		{"one balancer uses all", 20, 1, 0, 20, 1},
		{"so do eight", 20, 8, 0, 20, 1},
		{"of twelve each uses half", 20, 12, 0, 10, 1},
		{"two at least", 20, 1000, 0, 2, 1},
		{"of one upstream, one", 1, 1000, 0, 1, 1},
		{"none of none", 0, 10, 0, 0, 0},
		{"a rate of 100 a second asks for twenty; ten share an upstream at most", 100, 110, 100, 10, 100.0 * 4 / 106 / 10},
		{"a rate of four asks for four", 100, 110, 4, 4, 100.0 * 4 / 106 / 4},
		{"a rate of one asks for fewer than four sharers have", 100, 110, 1, 100.0 * 4 / 106, 1},
	} {
		width, growth := baseWidth(c.active, c.balancers, c.rate)
		if !near(width, c.width) || !near(growth, c.growth) {
			t.Errorf("%s: %v wide, growth %v; want %v, %v", c.name, width, growth, c.width, c.growth)
		}
	}
}

func TestSubsetLoadFactor(t *testing.T) {
	for _, c := range []struct {
		name               string
		before, rate, even float64
		want               float64
	}{
		{"its even part", 0, 10, 10, 0},
		{"less", 0, 1, 10, 0},
		{"a little more is noise", 0, 14, 10, 0},
		{"four times", 0, 40, 10, 4},
		{"a little more than before is noise", 4, 55, 10, 4},
		{"much more", 4, 70, 10, 7},
		{"a little less", 4, 30, 10, 4},
		{"much less", 4, 20, 10, 2},
		{"its even part again", 4, 10, 10, 1},
		{"nothing was bought, so nothing is even", 0, 1000, 0, 0},
	} {
		s := subset{loadFactor: c.before}
		if s.updateLoadFactor(c.rate, c.even); s.loadFactor != c.want {
			t.Errorf("%s: %v, want %v", c.name, s.loadFactor, c.want)
		}
	}
}

// Ten upstreams of length 1. A stretch begins at the given part of the first one.
func TestRingWalk(t *testing.T) {
	const warm, warming = 'w', 'c' // u: unresponsive
	for _, c := range []struct {
		name          string
		offset, width float64
		growth        float64
		states        string
		parts         []float64 // of those passed; -1: not chosen
	}{
		{"two whole ones", 0, 2, 1, "wwww", []float64{1, 1}},
		{"three, the ends in part", 0.25, 2, 1, "wwww", []float64{0.75, 1, 0.25}},
		{"two at least", 0, 0.5, 1, "wwww", []float64{0.5, 0}},
		{"a sixteenth at the end is left out", 0.0625, 2, 1, "wwww", []float64{0.9375, 1}},
		{"an unresponsive one stays, the stretch goes on", 0, 2, 1, "wuww", []float64{1, 1, 1}},
		{"so does one that warms up", 0, 2, 1, "wcww", []float64{1, 1, 1}},
		{"at most as far again", 0, 2, 1, "uuuuuu", []float64{1, 1, 1, 1}},
		{"wide: only the first half learns one that warms up", 0, 4, 0.5, "cwwcww", []float64{1, 1, 1, -1}},
		{"wide: half of the width is wanted warm", 0, 4, 0.5, "uuuwww", []float64{1, 1, 1, 1, 1}},
	} {
		walk := newRingWalk(c.offset, c.width, 10, 10, c.growth)
		var parts []float64
		for i := 0; i < len(c.states) && !walk.done(i); i++ {
			part, chosen := walk.pass(1, c.states[i] == warming, c.states[i] == warm)
			if !chosen {
				part = -1
			}
			parts = append(parts, part)
		}
		same := len(parts) == len(c.parts)
		for i := 0; same && i < len(parts); i++ {
			same = near(parts[i], c.parts[i])
		}
		if !same {
			t.Errorf("%s: parts %v, want %v", c.name, parts, c.parts)
		}
	}
}
