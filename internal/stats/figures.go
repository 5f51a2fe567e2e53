// Package figures keeps what an experiment has seen and says what it shows: quantiles of latency that count from the
// moment a request was meant to start, ratios with their intervals of confidence, and what has changed between two runs.
package stats

import (
	"errors"
	"fmt"
	"time"

	"olivearch/internal/loadspread"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms go from 10 µs to two minutes with an error of at most 0.1 %.
const (
	lowest  = 10    // µs
	highest = 120e6 // µs
	digits  = 3
	// BlockLength is the time that one block of a turn covers, by the meant start of its requests.
	BlockLength = 250 * time.Millisecond
)

// End is what became of a request.
type End uint8

// The ends.
const (
	Served End = iota
	Refused
	Failed // an error, a lost connection or none in time
)

// Block counts the requests that were meant to start within BlockLength.
type Block struct {
	Asked   int    `json:"asked"`
	Served  int    `json:"served"`
	InAim   int    `json:"in_aim"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	Latency []byte `json:"latency,omitempty"` // of the served ones, µs: HdrHistogram's compressed form (V2)

	histogram *hdrhistogram.Histogram
}

// Recorder takes the requests of a turn. It belongs to one goroutine.
type Recorder struct{ blocks []Block }

// NewRecorder returns a recorder for a length of time.
func NewRecorder(length time.Duration) *Recorder {
	r := &Recorder{blocks: make([]Block, max(1, int((length+BlockLength-1)/BlockLength)))}
	for i := range r.blocks {
		r.blocks[i].histogram = hdrhistogram.New(lowest, highest, digits)
	}
	return r
}

// Add notes a request that was meant to start at a moment of the measured time and ended when it did. What it waited for
// because its client, or the contender before it, was late counts: a contender that stalls cannot hide its waits. Requests
// meant for before the start or after the end are passed over.
func (r *Recorder) Add(meant, ended, aim time.Duration, end End) {
	i := int(meant / BlockLength)
	if meant < 0 || i >= len(r.blocks) {
		return
	}
	b := &r.blocks[i]
	b.Asked++
	switch end {
	case Served:
		b.Served++
		if ended-meant <= aim {
			b.InAim++
		}
		b.histogram.RecordValue(min(highest, max(lowest, (ended-meant).Microseconds()))) // within its range
	case Refused:
		b.Refused++
	case Failed:
		b.Failed++
	}
}

// Blocks returns what was noted, in a form that can be kept.
func (r *Recorder) Blocks() ([]Block, error) {
	for i := range r.blocks {
		b := &r.blocks[i]
		if b.Served == 0 {
			continue
		}
		text, err := b.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, err
		}
		b.Latency = text
	}
	return r.blocks, nil
}

// NodeSample is what a contender did with one node up to a moment.
type NodeSample struct {
	AtMS  int64   `json:"at_ms"`
	Node  string  `json:"node"`
	Runs  int     `json:"runs"`            // work done since the turn began, by the node
	Share float64 `json:"share,omitempty"` // olivearch's own view, as those below
	Mean  float64 `json:"mean,omitempty"`
	Lower float64 `json:"lower,omitempty"`
	Upper float64 `json:"upper,omitempty"`
	Bound float64 `json:"bound,omitempty"`
	Out   int     `json:"out,omitempty"`
}

// Turn is one run of one contender.
type Turn struct {
	Contender  string       `json:"contender"`
	Repeat     int          `json:"repeat"`
	Seconds    float64      `json:"seconds"`
	Blocks     []Block      `json:"blocks"`
	Executions int          `json:"executions"` // over the whole turn, by the fleet's judge
	ServedAll  int          `json:"served_all"` // answers with 200 over the whole turn
	AskedAll   int          `json:"asked_all"`
	Breaches   int          `json:"breaches"`
	Breach     string       `json:"breach,omitempty"`      // the first
	CPU        float64      `json:"cpu_us,omitempty"`      // a request; not in simulated time
	Resident   float64      `json:"resident_mb,omitempty"` // after the turn
	Nodes      []NodeSample `json:"nodes,omitempty"`
	// Attempts by node, from the start of the measuring; in simulated time alone.
	Spread *loadspread.Counts `json:"-"`
	// Pairs of a balancer and a node between which there was an attempt; in simulated time alone.
	Pairs int `json:"pairs,omitempty"`
}

// Mark is a trouble, for the plots.
type Mark struct {
	AtMS int64  `json:"at_ms"`
	Text string `json:"text"`
}

// Result is what came of a scenario.
type Result struct {
	Scenario   string   `json:"scenario"`
	About      string   `json:"about,omitempty"`
	Mode       string   `json:"mode"` // sockets or simulated
	Seed       int      `json:"seed"`
	Cores      int      `json:"cores,omitempty"`
	Contenders []string `json:"contenders"`
	Marks      []Mark   `json:"marks,omitempty"`
	Turns      []Turn   `json:"turns"`
}

// Of returns a contender's turns.
func (r *Result) Of(contender string) []*Turn {
	var turns []*Turn
	for i := range r.Turns {
		if r.Turns[i].Contender == contender {
			turns = append(turns, &r.Turns[i])
		}
	}
	return turns
}

// Load makes a result that was read ready for use, and checks it.
func (r *Result) Load() error {
	for i := range r.Turns {
		t := &r.Turns[i]
		for j := range t.Blocks {
			b := &t.Blocks[j]
			if b.histogram != nil {
				continue
			}
			if b.histogram = hdrhistogram.New(lowest, highest, digits); len(b.Latency) == 0 {
				continue
			}
			h, err := decode(b.Latency)
			if err != nil {
				return fmt.Errorf("turn %d, block %d: latency: %w", i, j, err)
			}
			b.histogram = h
		}
	}
	if len(r.Turns) == 0 {
		return errors.New("the result has no turns")
	}
	return nil
}

// decode reads a histogram. The library panics on some texts that are none.
func decode(text []byte) (h *hdrhistogram.Histogram, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("it is no histogram: %v", p)
		}
	}()
	h, err = hdrhistogram.Decode(text)
	if err == nil && (h.LowestTrackableValue() != lowest || h.HighestTrackableValue() != highest || h.SignificantFigures() != digits) {
		err = errors.New("a histogram of another range")
	}
	return h, err
}

// Sum is what blocks add up to.
type Sum struct {
	Block
	Seconds float64
}

func newSum() *Sum { return &Sum{Block: Block{histogram: hdrhistogram.New(lowest, highest, digits)}} }

// count adds all of a block but its latencies.
func (s *Sum) count(b *Block) {
	s.Asked, s.Served, s.InAim = s.Asked+b.Asked, s.Served+b.Served, s.InAim+b.InAim
	s.Refused, s.Failed = s.Refused+b.Refused, s.Failed+b.Failed
	s.Seconds += BlockLength.Seconds()
}

func (s *Sum) add(b *Block) {
	s.count(b)
	if b.Served > 0 {
		s.histogram.Merge(b.histogram)
	}
}

// Total adds up turns.
func Total(turns []*Turn) *Sum {
	s := newSum()
	for _, t := range turns {
		for i := range t.Blocks {
			s.add(&t.Blocks[i])
		}
	}
	return s
}

// Quantile returns the latency within which a part of the served requests was answered, in ms.
func (s *Sum) Quantile(part float64) float64 {
	return float64(s.histogram.ValueAtQuantile(part*100)) / 1000
}

var quantiles = map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99, "p999": 0.999}

// figure returns a figure of what was added up; ok is false for those that belong to whole turns.
func (s *Sum) figure(name string) (x float64, ok bool) {
	if q, is := quantiles[name]; is {
		return s.Quantile(q), true
	}
	asked := float64(max(1, s.Asked))
	switch name {
	case "in_aim":
		return float64(s.InAim) / asked, true
	case "served":
		return float64(s.Served) / asked, true
	case "refused":
		return float64(s.Refused) / asked, true
	case "failed":
		return float64(s.Failed) / asked, true
	case "per_second":
		return float64(s.Served) / max(s.Seconds, 1e-9), true
	}
	return 0, false
}

// ofTurns returns a figure that belongs to whole turns: the mean, or the sum of breaches.
func ofTurns(name string, turns []*Turn) float64 {
	var sum, served float64
	for _, t := range turns {
		switch name {
		case "executions":
			sum, served = sum+float64(t.Executions), served+float64(t.ServedAll)
		case "breaches":
			sum, served = sum+float64(t.Breaches), 1
		case "cpu_us":
			sum, served = sum+t.CPU, served+1
		case "resident_mb":
			sum, served = sum+t.Resident, served+1
		}
	}
	return sum / max(served, 1)
}

// Figure returns a figure of a contender over all its turns.
func (r *Result) Figure(contender, name string) float64 { return figureOf(name, r.Of(contender)) }

func figureOf(name string, turns []*Turn) float64 {
	if x, ok := Total(turns).figure(name); ok {
		return x
	}
	return ofTurns(name, turns)
}
