package nodeshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

func TestSharesByWeight(t *testing.T) {
	l := New(40)
	l.Claim("checkin", 3, map[string]bool{"a": false, "b": false})
	l.Claim("maps", 1, map[string]bool{"b": true})
	if s := l.Shares("checkin"); s["a"] != (Share{1, 40, false}) || s["b"] != (Share{0.75, 30, true}) {
		t.Errorf("%+v", s)
	}
	if s := l.Shares("maps"); len(s) != 1 || s["b"] != (Share{0.25, 10, true}) {
		t.Errorf("%+v", s)
	}
	l.Leave("maps")
	if s := l.Shares("checkin"); s["b"] != (Share{1, 40, false}) {
		t.Errorf("%+v", s)
	}
}

// TestNeverMoreThanTheNode: whatever pools come and go, parts add up to one node and connections to its limit.
func TestNeverMoreThanTheNode(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	l := New(50)
	for range 2000 {
		pool := fmt.Sprint(rng.IntN(8))
		if rng.IntN(4) == 0 {
			l.Leave(pool)
		} else {
			nodes := map[string]bool{}
			for range rng.IntN(6) {
				nodes[fmt.Sprint(rng.IntN(10))] = rng.IntN(2) == 0
			}
			l.Claim(pool, 0.1+rng.Float64(), nodes)
		}
		parts, connections := map[string]float64{}, map[string]int{}
		for p := range l.claims {
			for node, s := range l.Shares(p) {
				parts[node] += s.Part
				connections[node] += s.Connections
			}
		}
		for node, sum := range parts {
			if math.Abs(sum-1) > 1e-9 || connections[node] > 50 {
				t.Fatalf("node %s: parts %v, connections %d", node, sum, connections[node])
			}
		}
	}
}
