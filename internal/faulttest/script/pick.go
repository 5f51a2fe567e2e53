package script

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// The kinds of process that words choose.
const (
	Balancer    = "balancers"
	Node        = "nodes"
	Peer        = "peers"
	Clients     = "clients"
	ListService = "list"
	Voter       = "voters"
)

// Leader is the index of whichever voter leads.
const Leader = -2

var letters = map[string]string{"b": Balancer, "n": Node, "p": Peer, "v": Voter}

// Process names one.
type Process struct {
	Kind  string
	Index int
}

func (p Process) String() string {
	for letter, kind := range letters {
		if kind == p.Kind {
			return letter + "-" + strconv.Itoa(p.Index)
		}
	}
	return p.Kind
}

// pick is a word that chooses processes.
type pick struct {
	kind  string
	index int     // one of them; -1: not one
	part  float64 // of all of that kind
	zone  string  // those of it alone; empty: of all
}

// parse reads a word: b-3, nodes, "balancers 33%", "nodes in a".
func parse(word string) (pick, error) {
	letter, number, one := strings.Cut(word, "-")
	if kind, ok := letters[letter]; ok && one {
		i, err := strconv.Atoi(number)
		if err != nil || i < 0 || strconv.Itoa(i) != number {
			return pick{}, fmt.Errorf("%q is no name such as %s-0", word, letter)
		}
		return pick{kind, i, 0, ""}, nil
	}
	if word == "leader" {
		return pick{Voter, Leader, 0, ""}, nil
	}
	kind, part, some := strings.Cut(word, " ")
	if !slices.Contains([]string{Balancer, Node, Peer, Clients, ListService, Voter}, kind) {
		return pick{}, fmt.Errorf("%q names nobody: balancers, nodes, peers, voters, clients, list, leader, b-0, n-0, p-0 or a part such as \"nodes 25%%\"", word)
	}
	if !some {
		return pick{kind, -1, 1, ""}, nil
	}
	if zone, ok := strings.CutPrefix(part, "in "); ok && (kind == Balancer || kind == Node) {
		return pick{kind, -1, 1, zone}, nil
	}
	x, err := strconv.ParseFloat(strings.TrimSuffix(part, "%"), 64)
	if err != nil || !strings.HasSuffix(part, "%") || !(x > 0 && x <= 100) {
		return pick{}, fmt.Errorf("%q is no part, such as \"%s 25%%\"", word, kind)
	}
	return pick{kind, -1, x / 100, ""}, nil
}

func (f *File) count(kind string) int {
	switch kind {
	case Balancer:
		return f.Balancers.Count
	case Node:
		return f.Nodes.Count
	case Peer:
		return f.Peers.Count
	case Voter:
		return f.Voters.Count
	}
	return 1 // clients, list
}

// Choose returns the processes that words choose. What is left to chance is drawn by the script's seed and the fault's number, so
// the same script chooses the same ones. At least one of each word is chosen.
func (f *File) Choose(words []string, fault int) []Process {
	rng := rand.New(rand.NewPCG(uint64(f.Seed), uint64(fault)))
	var all []Process
	add := func(kind string, i int) {
		if p := (Process{kind, i}); !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	for _, word := range words {
		p, err := parse(word)
		if err != nil {
			continue // Parse has told
		}
		if p.index >= 0 || p.index == Leader {
			add(p.kind, p.index)
			continue
		}
		if p.zone != "" {
			for _, i := range f.zoned(p) {
				add(p.kind, i)
			}
			continue
		}
		n := f.count(p.kind)
		for _, i := range rng.Perm(n)[:min(n, max(1, int(math.Round(p.part*float64(n)))))] {
			add(p.kind, i)
		}
	}
	return all
}

// zoned are the processes of a zone.
func (f *File) zoned(p pick) (all []int) {
	zones := f.Balancers.Zones
	if p.kind == Node {
		zones = f.Nodes.Zones
	}
	for i := range f.count(p.kind) {
		if len(zones) > 0 && zones[i%len(zones)] == p.zone {
			all = append(all, i)
		}
	}
	return all
}

// heavyDraw is the number by which heavy balancers are drawn, apart from any fault's.
const heavyDraw = 1 << 20

// Rates are the requests a second at each balancer.
func (f *File) Rates() []float64 {
	rates := make([]float64, f.Balancers.Count)
	for i := range rates {
		rates[i] = f.Load.Rate
	}
	for _, p := range f.Choose(f.Load.Heavy.Of, heavyDraw) {
		rates[p.Index] *= f.Load.Heavy.Times
	}
	return rates
}
