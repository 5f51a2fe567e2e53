package loadspread

import (
	"bytes"
	"image/png"
	"math"
	"testing"
	"time"
)

func counted(rows ...[]int) *Counts {
	c := New(len(rows[0]))
	for i, row := range rows {
		for node, n := range row {
			for range n {
				c.Add(node, time.Duration(i)*Bin+Bin/2)
			}
		}
	}
	return c
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func TestOf(t *testing.T) {
	e := Of([]int{2, 4, 4, 4, 5, 5, 7, 9}, nil) // mean 5, deviation 2
	near(t, "deviation", e.Deviation, 0.4)
	near(t, "busiest", e.Busiest, 1.8)
	e = Of([]int{10, 20, 0, 40}, []float64{1, 2, 0, 4}) // by their parts, and one that is left out
	near(t, "deviation of due parts", e.Deviation, 0)
	near(t, "busiest of due parts", e.Busiest, 1)
	if e.Idle != 0 {
		t.Errorf("%d idle, and the one idle node has no part", e.Idle)
	}
	if e = Of([]int{0, 0}, nil); e.Deviation != 0 || e.Busiest != 0 || e.Idle != 2 {
		t.Errorf("nothing: %+v", e)
	}
}

func TestWindows(t *testing.T) {
	c := counted([]int{0, 0}, []int{4, 0}, []int{2, 2}, []int{3, 1})
	c.Add(0, -1)
	e := c.Windows(Bin, 4*Bin, Bin, nil)
	near(t, "deviation", e.Deviation, (1+0+0.5)/3)
	near(t, "busiest", e.Busiest, (2+1+1.5)/3)
	if e.Idle != 1 {
		t.Errorf("%d idle, want 1", e.Idle)
	}
	if e = c.Windows(0, Bin/2, Bin, nil); e != (Even{}) {
		t.Errorf("no whole window: %+v", e)
	}
	near(t, "busiest at first", c.First(Bin).Busiest, 2)
	near(t, "busiest at first, two bins", c.First(2*Bin).Busiest, 1.5)
	if New(3).First(Bin) != (Even{}) {
		t.Error("nothing came")
	}
	parts := c.Parts(Bin, 4*Bin, Bin, func(n int) bool { return n == 1 })
	for i, want := range []float64{0, 0.5, 0.25} {
		near(t, "part", parts[i], want)
	}
}

func TestCorrelation(t *testing.T) {
	var swing, chance []float64
	x := uint32(1)
	for i := range 400 {
		swing = append(swing, math.Sin(float64(i)*math.Pi/4)) // a period of eight
		x = x*1664525 + 1013904223
		chance = append(chance, float64(x>>8))
	}
	if c := Correlation(swing, 4); c > -0.9 {
		t.Errorf("half a period on: %v", c)
	}
	if c := Correlation(swing, 8); c < 0.9 {
		t.Errorf("a period on: %v", c)
	}
	if c := Correlation(chance, 4); math.Abs(c) > 0.15 {
		t.Errorf("chance: %v", c)
	}
	if Correlation([]float64{1, 1, 1, 1}, 1) != 0 || Correlation(swing, 500) != 0 || Correlation(nil, 1) != 0 {
		t.Error("flat or short")
	}
}

func TestHeat(t *testing.T) {
	var text bytes.Buffer
	if err := counted([]int{2, 0}, []int{0, 0}, []int{1, 1}).Heat(&text, 0, 3*Bin, Bin); err != nil {
		t.Fatal(err)
	}
	img, err := png.Decode(&text)
	if err != nil || img.Bounds().Dx() != 2*cell || img.Bounds().Dy() != 3*cell {
		t.Fatal(img.Bounds(), err)
	}
	at := func(node, row int) [3]uint32 {
		r, g, b, _ := img.At(node*cell+1, row*cell+1).RGBA()
		return [3]uint32{r >> 8, g >> 8, b >> 8}
	}
	for _, c := range []struct {
		node, row int
		want      [3]uint32
	}{{0, 0, [3]uint32{245, 200, 60}}, {1, 0, [3]uint32{30, 60, 160}}, {0, 1, [3]uint32{255, 255, 255}}, {1, 2, [3]uint32{225, 225, 225}}} {
		if got := at(c.node, c.row); got != c.want {
			t.Errorf("node %d, row %d: %v, want %v", c.node, c.row, got, c.want)
		}
	}
}
