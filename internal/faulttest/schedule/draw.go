// Package draw makes schedules of faults at random, by a script's seed, and makes one that fails shorter.
package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/faulttest/script"
)

// Plays is how many shorter schedules Shrink tries at most.
const Plays = 40

// Faults draws n faults for a script's processes, by its seed: the same script and seed draw the same ones. Each is one that a
// balancer must bear without a breach, and ends before the load does. Where a script has voters the faults are theirs.
func Faults(f *script.File, n int) []script.Fault {
	rng := rand.New(rand.NewPCG(uint64(f.Seed), 0xfa))
	length := time.Duration(f.Length)
	drawn := makers
	if f.Voters.Count > 0 {
		drawn = voterMakers
	}
	var all []script.Fault
	for len(all) < n {
		x := drawn[rng.IntN(len(drawn))](rng, f)
		if !spare(f, all, x) {
			continue
		}
		at := time.Duration((0.05 + 0.65*rng.Float64()) * float64(length))
		lasts := time.Duration((0.05 + 0.2*rng.Float64()) * float64(length))
		x.At, x.For = config.Duration(at.Round(time.Millisecond)), config.Duration(lasts.Round(time.Millisecond))
		all = append(all, x)
	}
	slices.SortStableFunc(all, func(a, b script.Fault) int { return int(a.At - b.At) })
	return all
}

func one(rng *rand.Rand, letter string, count int) []string {
	return []string{fmt.Sprintf("%s-%d", letter, rng.IntN(count))}
}

func part(rng *rand.Rand, kind string) []string {
	return []string{fmt.Sprintf("%s %d%%", kind, 10*(1+rng.IntN(5)))}
}

func way(rng *rand.Rand) string { return []string{"both", "there", "back"}[rng.IntN(3)] }

func some(rng *rand.Rand, least, most time.Duration) config.Duration {
	return config.Duration((least + time.Duration(rng.Float64()*float64(most-least))).Round(time.Millisecond))
}

// makers draw a fault of each kind. When it comes and how long it lasts is drawn apart.
var makers = []func(*rand.Rand, *script.File) script.Fault{
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "cut", From: part(rng, script.Balancer), To: part(rng, script.Node), Way: way(rng)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "cut", From: part(rng, script.Balancer), To: []string{script.ListService}, Way: way(rng)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "cut", From: []string{script.Clients}, To: one(rng, "b", f.Balancers.Count), Way: way(rng)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{
			Kind: "slow", From: part(rng, script.Balancer), To: part(rng, script.Node), Way: way(rng),
			Delay: some(rng, 0, 60*time.Millisecond), Jitter: some(rng, time.Millisecond, 60*time.Millisecond),
		}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "throttle", From: part(rng, script.Balancer), To: part(rng, script.Node), Way: way(rng), Rate: 2000 + rng.IntN(20000)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "reset", From: part(rng, script.Balancer), To: part(rng, script.Node), Way: way(rng), Share: 0.02 + 0.3*rng.Float64(), Deliver: rng.IntN(2) == 0}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "half-close", From: part(rng, script.Balancer), To: part(rng, script.Node), Way: way(rng), Share: 0.02 + 0.2*rng.Float64(), Deliver: rng.IntN(2) == 0}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "kill", Of: one(rng, "b", f.Balancers.Count)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "lose", Of: one(rng, "b", f.Balancers.Count)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "stop", Of: part(rng, script.Balancer)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "terminate", Of: one(rng, "b", f.Balancers.Count)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "crash", Of: one(rng, "n", f.Nodes.Count)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "drain", Of: one(rng, "n", f.Nodes.Count)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "stall", Of: one(rng, "n", f.Nodes.Count)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "slow-node", Of: part(rng, script.Node), Factor: 1.5 + 4*rng.Float64()}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{
			Kind:   "second-answer",
			Of:     part(rng, script.Node),
			Share:  0.05 + 0.2*rng.Float64(),
			Delay:  some(rng, 0, 300*time.Millisecond),
			Jitter: some(rng, 0, 60*time.Millisecond),
		}
	},
	func(rng *rand.Rand, f *script.File) script.Fault { return script.Fault{Kind: "list-old"} },
	func(rng *rand.Rand, f *script.File) script.Fault { return script.Fault{Kind: "list-down"} },
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "list-answers", Share: 0.1 + 0.5*rng.Float64()}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "list-split", Of: part(rng, script.Node)}
	},
}
