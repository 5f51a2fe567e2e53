// Package capacity draws what a large fleet is configured by, for scale tests: services, nodes, routes and tenants, skewed as those of
// real fleets are, and the same for the same seed. It also has the arithmetic of such tests: lines through measured points, quantiles,
// and bounds.
package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Size is how much there is of everything.
type Size struct {
	Pools   int `json:"pools"`
	Nodes   int `json:"nodes"`
	Routes  int `json:"routes"`
	Tenants int `json:"tenants"`
}

func (s Size) String() string {
	return fmt.Sprintf("%d pools, %d nodes, %d routes, %d tenants", s.Pools, s.Nodes, s.Routes, s.Tenants)
}

// A service has from LeastNodes to MostNodes nodes.
const (
	LeastNodes = 2
	MostNodes  = 2000
)

const (
	sizeSkew    = 1.1 // the exponent of Zipf's law for nodes of services
	trafficSkew = 1.0 // and for their traffic, and for tenants'
	quiet       = 0.1 // part of the services that nobody sends anything
	zones       = 19
	regions     = 6
)

// Site is a drawn fleet.
type Site struct {
	Size
	Seed     uint64
	Services []Service // the first is the smallest, and has no traffic; the last is the largest
	Quotas   []float64 // of tenants, in requests a second
	routes   []route
	ranks    []int // of services by their traffic, from 0; those without any come last
}

// Service is a pool with its nodes.
type Service struct {
	Name    string
	First   int     // its first node; nodes belong to one service
	Nodes   int     // how many
	Traffic float64 // its part of all requests; 0: none
}

// route is one of the configuration's: its number among those of its service, from 0.
type route struct{ service, number int }

// New draws a site.
func New(size Size, seed uint64) (*Site, error) {
	switch {
	case size.Pools < 2 || size.Routes < 2 || size.Tenants < 0:
		return nil, fmt.Errorf("%v: at least two pools and two routes are wanted", size)
	case size.Nodes < size.Pools*LeastNodes || size.Nodes > size.Pools*MostNodes:
		return nil, fmt.Errorf("%v: a service has from %d to %d nodes", size, LeastNodes, MostNodes)
	}
	rng := rand.New(rand.NewPCG(seed, 0xca9ac17))
	s := &Site{Size: size, Seed: seed, ranks: make([]int, size.Pools)}
	sizes := spread(size.Nodes, size.Pools, LeastNodes, MostNodes)
	first := 0
	for i := range size.Pools {
		n := sizes[size.Pools-1-i]
		s.Services = append(s.Services, Service{Name: fmt.Sprintf("s%03d", i), First: first, Nodes: n})
		first += n
	}
	s.draw(rng)
	for i := range size.Routes {
		x := i // each service has one before any has two
		if i >= size.Pools {
			x = s.pick(rng)
		}
		s.routes = append(s.routes, route{x, 0})
	}
	count := map[int]int{}
	for i := range s.routes {
		s.routes[i].number = count[s.routes[i].service]
		count[s.routes[i].service]++
	}
	for range size.Tenants {
		s.Quotas = append(s.Quotas, math.Round(10*math.Min(1e4, math.Pow(1-rng.Float64(), -1/trafficSkew)))/10)
	}
	return s, nil
}

// draw gives services their traffic: the first has none, nor have those without a route, nor a tenth of the rest.
func (s *Site) draw(rng *rand.Rand) {
	could := min(s.Pools, s.Size.Routes) - 1
	for i := range s.ranks {
		s.ranks[i] = s.Pools
	}
	ranks := rng.Perm(could)
	sum, with := 0.0, max(1, could-int(quiet*float64(could)))
	for i, rank := range ranks {
		if rank < with {
			s.Services[i+1].Traffic = math.Pow(float64(rank+1), -trafficSkew)
			sum += s.Services[i+1].Traffic
		}
		s.ranks[i+1] = rank
	}
	for i := range s.Services {
		s.Services[i].Traffic /= sum
	}
}

// pick draws a service by its traffic.
func (s *Site) pick(rng *rand.Rand) int {
	x := rng.Float64()
	for i := range s.Services {
		if x -= s.Services[i].Traffic; x < 0 {
			return i
		}
	}
	return len(s.Services) - 1
}

// Arrival is a request: to a service, of a tenant (-1: none).
type Arrival struct{ Service, Tenant int }

// Arrivals draws requests by the traffic of services and tenants, the same for the same seed.
func (s *Site) Arrivals(n int, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, s.Seed))
	all := make([]Arrival, n)
	for i := range all {
		all[i] = Arrival{s.pick(rng), -1}
		if s.Tenants > 0 { // Zipf's law with exponent 1: the logarithm of the rank is even
			all[i].Tenant = min(s.Tenants-1, int(math.Exp(rng.Float64()*math.Log(float64(s.Tenants+1))))-1)
		}
	}
	return all
}

// Zone is where a node stands.
func Zone(node int) string {
	z := node % zones
	return fmt.Sprintf("r%d-z%02d", z%regions, z)
}

// spread gives count parts of a whole sizes by Zipf's law, the largest first, none under least or over most.
func spread(whole, count, least, most int) []int {
	at := func(scale float64) (sizes []int, sum int) {
		for i := range count {
			n := int(math.Min(float64(most), math.Max(float64(least), scale*math.Pow(float64(i+1), -sizeSkew))))
			sizes, sum = append(sizes, n), sum+n
		}
		return sizes, sum
	}
	low, high := 0.0, float64(whole)*math.Pow(float64(count), sizeSkew)
	for range 100 {
		if _, sum := at((low + high) / 2); sum <= whole {
			low = (low + high) / 2
		} else {
			high = (low + high) / 2
		}
	}
	sizes, sum := at(low)
	for i := 0; sum < whole; i = (i + 1) % count { // what rounding has left
		if sizes[i] < most {
			sizes[i]++
			sum++
		}
	}
	slices.SortFunc(sizes, func(a, b int) int { return b - a })
	return sizes
}
