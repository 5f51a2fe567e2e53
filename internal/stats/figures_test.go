package stats

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"olivearch/internal/scenario"
)

const ms = time.Millisecond

// turns plays one request each millisecond for four seconds, at the times that took tells.
func turns(t *testing.T, contender string, n int, took func(turn, i int) time.Duration) []Turn {
	t.Helper()
	var all []Turn
	for k := range n {
		r := NewRecorder(4 * time.Second)
		for i := range 4000 {
			meant := time.Duration(i) * ms
			r.Add(meant, meant+took(k, i), 50*ms, Served)
		}
		blocks, err := r.Blocks()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Turn{Contender: contender, Repeat: k, Blocks: blocks, ServedAll: 4000, AskedAll: 4000, Executions: 4000, CPU: 20})
	}
	return all
}

func result(t *testing.T, contenders ...[]Turn) *Result {
	t.Helper()
	r := &Result{Scenario: "s", Mode: "sockets", Seed: 1}
	for _, c := range contenders {
		r.Contenders, r.Turns = append(r.Contenders, c[0].Contender), append(r.Turns, c...)
	}
	text, err := json.Marshal(r) // as it is kept
	if err != nil {
		t.Fatal(err)
	}
	var read Result
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	if err := read.Load(); err != nil {
		t.Fatal(err)
	}
	return &read
}

// A contender that answers in 2 ms and stalls once for a second has a quarter of four seconds' requests late, by up to a
// second, though each asks only when the one before is answered.
func TestStallShowsAtItsQuantiles(t *testing.T) {
	free := time.Duration(0) // when the contender is free again
	r := NewRecorder(4 * time.Second)
	for i := range 4000 {
		meant := time.Duration(i) * ms
		start := max(meant, free)
		work := ms / 2
		if i == 1000 {
			work = time.Second
		}
		free = start + work
		r.Add(meant, free, 50*ms, Served)
	}
	blocks, err := r.Blocks()
	if err != nil {
		t.Fatal(err)
	}
	sum := Total([]*Turn{{Blocks: blocks}})
	for q, want := range map[float64][2]float64{0.45: {0, 1}, 0.75: {400, 600}, 0.99: {960, 1010}} {
		if got := sum.Quantile(q); got < want[0] || got > want[1] {
			t.Errorf("quantile %v is %v ms, want from %v to %v", q, got, want[0], want[1])
		}
	}
	if sum.InAim > 2300 || sum.Asked != 4000 {
		t.Errorf("%d of %d in time", sum.InAim, sum.Asked)
	}
}

func TestRecorderCountsWhatWasMeant(t *testing.T) {
	r := NewRecorder(time.Second)
	r.Add(-ms, 5*ms, 50*ms, Served)
	r.Add(time.Second, time.Second+ms, 50*ms, Served)
	r.Add(0, ms, 50*ms, Refused)
	r.Add(999*ms, 2*time.Second, 50*ms, Served)
	r.Add(500*ms, time.Second, 50*ms, Failed)
	if sum := Total([]*Turn{{Blocks: r.blocks}}); sum.Asked != 3 || sum.Served != 1 || sum.Refused != 1 || sum.Failed != 1 || sum.InAim != 0 || sum.Seconds != 1 {
		t.Errorf("%+v", sum.Block)
	}
}

// A regression of a tenth is found; noise between turns that is as large is called noise.
func TestCompareFindsRegressionsAndNoNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	noisy := func(by float64) func(int, int) time.Duration {
		return func(_, _ int) time.Duration {
			return time.Duration(by * (1 + 0.3*rng.Float64()) * float64(10*ms))
		}
	}
	before := result(t, turns(t, "olivearch", 3, noisy(1)))
	same := result(t, turns(t, "olivearch", 3, noisy(1)))
	slower := result(t, turns(t, "olivearch", 3, noisy(1.1)))
	shaky := func() *Result { // each turn is another by up to a fifth
		return result(t, turns(t, "olivearch", 4, func(k, _ int) time.Duration { return time.Duration([]float64{8, 11, 9, 12}[k] * float64(ms)) }))
	}
	for _, c := range []struct {
		what    string
		a, b    *Result
		verdict string
		worse   bool
	}{
		{"the same", same, before, Noise, false},
		{"slower by a tenth", slower, before, "worse", true},
		{"faster by a tenth", before, slower, "better", false},
		{"turns that differ among themselves", result(t, turns(t, "olivearch", 4, func(k, _ int) time.Duration {
			return time.Duration([]float64{9, 12, 8, 12}[k] * float64(ms))
		})), shaky(), Noise, false},
	} {
		changes, err := Changes(c.a, c.b, []string{"p99", "p50"})
		if err != nil || len(changes) != 2 {
			t.Fatal(changes, err)
		}
		for _, x := range changes {
			if x.Verdict != c.verdict || x.Worse(0.05) != c.worse {
				t.Errorf("%s: %v, worse %v", c.what, x.Ratio, x.Worse(0.05))
			}
		}
	}
	other := *same
	other.Scenario = "other"
	if _, err := Changes(same, &other, nil); err == nil {
		t.Error("two scenarios were compared")
	}
}

func TestBounds(t *testing.T) {
	r := result(t, turns(t, "olivearch", 3, func(_, i int) time.Duration { return time.Duration(8+i%3) * ms }),
		turns(t, "least", 3, func(_, i int) time.Duration { return time.Duration(4+i%3) * ms }),
		turns(t, "random", 3, func(_, i int) time.Duration { return time.Duration(40+i%30) * ms }))
	if best := r.Best("p99", "olivearch"); best != "least" {
		t.Errorf("the best is %s", best)
	}
	for _, c := range []struct {
		bound scenario.Bound
		holds bool
		text  string
	}{
		{scenario.Bound{Figure: "p99", Of: "olivearch", Against: "best", Most: new(1.1)}, false, "of least"},
		{scenario.Bound{Figure: "p99", Of: "olivearch", Against: "random", Most: new(1.1)}, true, "x0.1"},
		{scenario.Bound{Figure: "in_aim", Of: "olivearch", Against: "random", Least: new(1.2)}, true, ""},
		{scenario.Bound{Figure: "in_aim", Of: "random", Against: "olivearch", Least: new(0.9)}, false, ""},
		{scenario.Bound{Figure: "refused", Of: "olivearch", Most: new(0.0)}, true, "at most 0"},
		{scenario.Bound{Figure: "executions", Of: "olivearch", Most: new(0.9)}, false, "is 1,"},
	} {
		f := r.Judge([]scenario.Bound{c.bound})
		if len(f) != 1 || f[0].Holds != c.holds || !strings.Contains(f[0].Text, c.text) {
			t.Errorf("%+v: %+v", c.bound, f)
		}
	}
}

func FuzzResult(f *testing.F) {
	f.Add([]byte(`{"turns":[{"contender":"a","blocks":[{"asked":1,"served":1,"latency":"HISTAAAA"}]}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var r Result
		if json.Unmarshal(text, &r) != nil || r.Load() != nil {
			return
		}
		for _, c := range r.Contenders {
			r.Figure(c, "p99")
		}
	})
}
