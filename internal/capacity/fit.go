package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Point is a measured figure at a size.
type Point struct{ X, Y float64 }

// Fit is a line through points, by least squares.
type Fit struct {
	Slope    float64 `json:"slope"` // Y for one more of X
	At0      float64 `json:"at_0"`
	Residual float64 `json:"residual"`    // root mean square of what the line leaves, in units of Y
	Error    float64 `json:"slope_error"` // standard error of the slope; 0 with two points, where it is not known
	Upper    float64 `json:"upper_slope"` // of the upper half of the points alone
	From     float64 `json:"from"`        // range of X
	To       float64 `json:"to"`
	Points   int     `json:"points"`
	Knee     bool    `json:"knee"` // the upper half is steeper by half and by three errors
}

// Line fits a line.
func Line(points []Point) (Fit, error) {
	points = slices.SortedFunc(slices.Values(points), func(a, b Point) int {
		switch {
		case a.X < b.X:
			return -1
		case a.X > b.X:
			return 1
		}
		return 0
	})
	n := len(points)
	if n < 2 || points[0].X == points[n-1].X {
		return Fit{}, fmt.Errorf("%d points at one size make no line", n)
	}
	f := Fit{From: points[0].X, To: points[n-1].X, Points: n}
	var spreadX float64
	f.Slope, f.At0, f.Residual, spreadX = line(points)
	if n > 2 {
		f.Error = f.Residual * math.Sqrt(float64(n)/float64(n-2)) / math.Sqrt(spreadX)
	}
	f.Upper = f.Slope
	if upper := points[n-max(2, (n+1)/2):]; n > 2 && upper[0].X < upper[len(upper)-1].X {
		f.Upper, _, _, _ = line(upper)
		f.Knee = f.Upper > 1.5*f.Slope && f.Upper-f.Slope > 3*f.Error
	}
	return f, nil
}

func line(points []Point) (slope, at0, residual, spreadX float64) {
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx, my = mx+p.X/n, my+p.Y/n
	}
	var xy float64
	for _, p := range points {
		spreadX += (p.X - mx) * (p.X - mx)
		xy += (p.X - mx) * (p.Y - my)
	}
	slope = xy / spreadX
	at0 = my - slope*mx
	var sum float64
	for _, p := range points {
		d := p.Y - at0 - slope*p.X
		sum += d * d
	}
	return slope, at0, math.Sqrt(sum / n), spreadX
}

// Quantile is that of values that need not be in order: the nearest rank. Without values it is NaN.
func Quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[max(0, int(math.Ceil(part*float64(len(sorted))))-1)]
}

// Bound is a figure with the most that it may be.
type Bound struct {
	What  string  `json:"what"`
	Value float64 `json:"value"`
	Most  float64 `json:"bound"`
	Ratio float64 `json:"ratio"` // of the value to the bound; the value where the bound is 0
	Holds bool    `json:"holds"`
}

// AtMost compares a figure with its bound; one that is not a number holds no bound.
func AtMost(what string, value, most float64) Bound {
	b := Bound{what, value, most, value, value <= most}
	if most > 0 {
		b.Ratio /= most
	}
	return b
}

// Factor is by how much a hollow balancer's figure has to be multiplied to be a real one's, and whether that is within a tolerance.
func Factor(realOne, hollow, tolerance float64) (factor float64, within bool) {
	factor = realOne / hollow
	return factor, math.Abs(hollow/realOne-1) <= tolerance
}
