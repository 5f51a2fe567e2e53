package capacity

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/service"
)

var sizes = []Size{
	{Pools: 2, Nodes: 40, Routes: 10},
	{Pools: 20, Nodes: 18_000, Routes: 20},
	{Pools: 50, Nodes: 980, Routes: 10},
	{Pools: 490, Nodes: 18_000, Routes: 15_000, Tenants: 2000},
}

func places(folder string, folders int) *Places {
	return &Places{
		Listen: "127.0.0.1:8080", Admin: "127.0.0.1:8081", Lists: filepath.Join(folder, "lists"), Folders: folders,
		Node: func(node int) string { return "127.64." + string(rune('0'+node%10)) + ".1:80" },
	}
}

// TestSizesAreKept draws sites and counts what they have.
func TestSizesAreKept(t *testing.T) {
	for _, size := range sizes {
		s, err := New(size, 1)
		if err != nil {
			t.Fatal(err)
		}
		nodes, traffic, quiet := 0, 0.0, 0
		for i, x := range s.Services {
			if x.First != nodes || x.Nodes < LeastNodes || x.Nodes > MostNodes {
				t.Errorf("%v: service %d has %d nodes from %d on; %d are before it", size, i, x.Nodes, x.First, nodes)
			}
			nodes += x.Nodes
			traffic += x.Traffic
			if x.Traffic == 0 {
				quiet++
			}
		}
		if nodes != size.Nodes || len(s.routes) != size.Routes || len(s.Quotas) != size.Tenants || len(s.Services) != size.Pools {
			t.Errorf("%v: drawn are %d services, %d nodes, %d routes, %d tenants", size, len(s.Services), nodes, len(s.routes), len(s.Quotas))
		}
		if math.Abs(traffic-1) > 1e-9 || s.Services[0].Traffic != 0 {
			t.Errorf("%v: the traffic's parts sum to %g, the first's is %g", size, traffic, s.Services[0].Traffic)
		}
		if size.Pools > 10 && quiet < 2 {
			t.Errorf("%v: only %d services have no traffic", size, quiet)
		}
		if first, last := s.Services[0].Nodes, s.Services[len(s.Services)-1].Nodes; size.Pools == 490 && (first > 5 || last < 1500) {
			t.Errorf("%v: the smallest service has %d nodes, the largest %d: that is not skewed", size, first, last)
		}
	}
}

// TestSizesThatCannotBe are refused, not drawn otherwise.
func TestSizesThatCannotBe(t *testing.T) {
	for _, size := range []Size{
		{Pools: 1, Nodes: 10, Routes: 2},
		{Pools: 10, Nodes: 19, Routes: 2},
		{Pools: 2, Nodes: 4001, Routes: 2},
		{Pools: 2, Nodes: 40, Routes: 1},
		{Pools: 2, Nodes: 40, Routes: 2, Tenants: -1},
	} {
		if _, err := New(size, 1); err == nil {
			t.Errorf("%v is taken", size)
		}
	}
}

// TestSameSeedSameSite draws twice, and with another seed.
func TestSameSeedSameSite(t *testing.T) {
	size, p := Size{Pools: 49, Nodes: 1800, Routes: 1500, Tenants: 100}, places("/x", 1)
	text := func(seed uint64) []byte {
		s, err := New(size, seed)
		if err != nil {
			t.Fatal(err)
		}
		return s.Config(p, Edit{})
	}
	if !bytes.Equal(text(7), text(7)) {
		t.Error("one seed gives two sites")
	}
	if bytes.Equal(text(7), text(8)) {
		t.Error("two seeds give one site")
	}
	a, _ := New(size, 7)
	one, two, other := a.Arrivals(200, 1), a.Arrivals(200, 1), a.Arrivals(200, 2)
	same := true
	for i := range one {
		if one[i] != two[i] {
			t.Fatalf("arrival %d is %v, and then %v", i, one[i], two[i])
		}
		if same = same && one[i] == other[i]; a.Services[one[i].Service].Traffic == 0 || one[i].Tenant < 0 || one[i].Tenant >= size.Tenants {
			t.Fatalf("arrival %v", one[i])
		}
	}
	if same {
		t.Error("two seeds give the same requests")
	}
}

// TestConfigurationsAreTaken: what is written passes the product's own checks, with every edit, also in several folders.
func TestConfigurationsAreTaken(t *testing.T) {
	for _, size := range []Size{{Pools: 2, Nodes: 40, Routes: 10}, {Pools: 50, Nodes: 980, Routes: 10}, {Pools: 490, Nodes: 980, Routes: 1000, Tenants: 200}} {
		for _, folders := range []int{1, 7} {
			folder := t.TempDir()
			s, err := New(size, 3)
			if err != nil {
				t.Fatal(err)
			}
			p := places(folder, folders)
			p.Node = func(node int) string { return at(node) }
			if err := s.WriteLists(p, func(int) Word { return Up }); err != nil {
				t.Fatal(err)
			}
			for _, e := range []Edit{{}, {Comment: 3, Added: 2, Quota: 77}} {
				c, err := config.Parse(filepath.Join(folder, "c.yaml"), s.Config(p, e))
				if err != nil {
					t.Fatalf("%v: %v", size, err)
				}
				if _, err := service.CheckLists(c); err != nil {
					t.Fatalf("%v: %v", size, err)
				}
				wantRoutes := size.Routes
				if e.Added > 0 {
					wantRoutes++
				}
				if c.Table.Len() != wantRoutes || c.Tenants.Len() != size.Tenants || len(c.Pools) != size.Pools {
					t.Errorf("%v: %d routes, %d tenants, %d pools are read", size, c.Table.Len(), c.Tenants.Len(), len(c.Pools))
				}
				if quota, _ := c.Tenants.Quota(Tenant(0)); e.Quota > 0 && size.Tenants > 0 && quota != 77 {
					t.Errorf("the quota is %g", quota)
				}
			}
		}
	}
}

func at(node int) string {
	return "127.64." + itoa(node/254) + "." + itoa(node%254+1) + ":80"
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// TestListsSayWhatTheyAreTold: draining nodes stand there as such, gone ones do not, and an empty list is one.
func TestListsSayWhatTheyAreTold(t *testing.T) {
	s, err := New(Size{Pools: 2, Nodes: 40, Routes: 10}, 1)
	if err != nil {
		t.Fatal(err)
	}
	p := places(t.TempDir(), 1)
	p.Node = at
	if err := s.WriteLists(p, func(int) Word { return Gone }); err != nil {
		t.Fatal(err)
	}
	if l, err := endpointlist.Load(p.list(1)); err != nil || len(l.Nodes) != 0 {
		t.Errorf("%d nodes stand in an empty list: %v", len(l.Nodes), err)
	}
	first := s.Services[1].First
	err = s.WriteList(p, 1, func(node int) Word {
		switch node {
		case first:
			return Draining
		case first + 1:
			return Gone
		}
		return Up
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := endpointlist.Load(p.list(1))
	if err != nil || len(l.Nodes) != s.Services[1].Nodes-1 {
		t.Fatalf("%d nodes: %v", len(l.Nodes), err)
	}
	for _, n := range l.Nodes {
		if want := n.ID == "n-"+pad(first); (n.Phase == endpointlist.PhaseDraining) != want {
			t.Errorf("%s is %s", n.ID, n.Phase)
		}
	}
	if left, err := filepath.Glob(filepath.Join(p.Lists, "*.new")); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
	if _, err := os.Stat(p.list(0)); err != nil {
		t.Error(err)
	}
}

func pad(n int) string { return strings.Repeat("0", 5-len(itoa(n))) + itoa(n) }

// TestLineFindsALine: through points of a line nothing is left; noise shows as residual and error; a knee is told.
func TestLineFindsALine(t *testing.T) {
	f, err := Line([]Point{{3, 11}, {1, 5}, {2, 8}, {10, 32}})
	if err != nil || math.Abs(f.Slope-3) > 1e-9 || math.Abs(f.At0-2) > 1e-9 || f.Residual > 1e-9 || f.Knee || f.From != 1 || f.To != 10 {
		t.Errorf("%+v, %v", f, err)
	}
	f, err = Line([]Point{{0, 1}, {1, -1}, {2, 1}, {3, -1}}) // by hand: slope -0.4, at 0 0.6, sum of squares left 3.2
	if err != nil || math.Abs(f.Slope+0.4) > 1e-9 || math.Abs(f.At0-0.6) > 1e-9 || math.Abs(f.Residual-math.Sqrt(0.8)) > 1e-9 || math.Abs(f.Error-math.Sqrt(1.6/5)) > 1e-9 {
		t.Errorf("%+v, %v", f, err)
	}
	f, err = Line([]Point{{0, 0}, {100, 100}, {200, 200}, {300, 300}, {400, 1400}, {500, 2500}})
	if err != nil || !f.Knee || f.Upper < 10 {
		t.Errorf("a knee is not told: %+v, %v", f, err)
	}
	for _, bad := range [][]Point{nil, {{1, 1}}, {{1, 1}, {1, 2}}} {
		if _, err := Line(bad); err == nil {
			t.Errorf("%v makes a line", bad)
		}
	}
}

func TestQuantile(t *testing.T) {
	v := []float64{5, 1, 4, 2, 3}
	for part, want := range map[float64]float64{0: 1, 0.2: 1, 0.5: 3, 0.99: 5, 1: 5} {
		if got := Quantile(v, part); got != want {
			t.Errorf("%g of %v is %g, %g is wanted", part, v, got, want)
		}
	}
	if !math.IsNaN(Quantile(nil, 0.5)) {
		t.Error("nothing has a quantile")
	}
}

// TestBoundsThatCannotHold: a figure that is none holds no bound, and a bound of 0 has a ratio that can be written.
func TestBoundsThatCannotHold(t *testing.T) {
	if b := AtMost("x", 10, 20); !b.Holds || b.Ratio != 0.5 {
		t.Errorf("%+v", b)
	}
	if b := AtMost("x", 20.1, 20); b.Holds {
		t.Errorf("%+v", b)
	}
	if b := AtMost("x", math.NaN(), 20); b.Holds {
		t.Errorf("%+v", b)
	}
	if b := AtMost("x", 0, 0); !b.Holds || b.Ratio != 0 {
		t.Errorf("%+v", b)
	}
	if f, within := Factor(100, 91, 0.1); !within || math.Abs(f-100.0/91) > 1e-12 {
		t.Errorf("%g, %v", f, within)
	}
	if _, within := Factor(100, 89, 0.1); within {
		t.Error("11 % less is within 10 %")
	}
	if _, within := Factor(100, 111, 0.1); within {
		t.Error("11 % more is within 10 %")
	}
}
