package schedule

import (
	"math/rand/v2"
	"time"

	"olivearch/internal/faulttest/script"
)

// voterMakers draw faults of the ledger's voters. No more disks are lost in a schedule than a cluster has to bear: see spare.
var voterMakers = []func(*rand.Rand, *script.File) script.Fault{
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "cut", From: []string{script.Voter}, To: voter(rng, f), Way: way(rng)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "cut", From: voter(rng, f), To: part(rng, script.Voter), Way: way(rng)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{
			Kind: "slow", From: part(rng, script.Voter), To: part(rng, script.Voter), Way: way(rng),
			Delay: some(rng, 0, 100*time.Millisecond), Jitter: some(rng, time.Millisecond, 200*time.Millisecond),
		}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "reset", From: []string{script.Voter}, To: []string{script.Voter}, Way: way(rng), Share: 0.02 * rng.Float64(), Deliver: rng.IntN(2) == 0}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "kill", Of: voter(rng, f)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "kill", Of: part(rng, script.Voter)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "stop", Of: voter(rng, f)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "terminate", Of: voter(rng, f)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "power", Of: part(rng, script.Voter)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "lose", Of: voter(rng, f)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "flip", Of: voter(rng, f)}
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		x := script.Fault{Kind: "disk", Of: voter(rng, f), Disk: []string{"full", "error", "slow"}[rng.IntN(3)]}
		if x.Disk == "slow" {
			x.Delay = some(rng, 10*time.Millisecond, 2*time.Second)
		}
		return x
	},
	func(rng *rand.Rand, f *script.File) script.Fault {
		return script.Fault{Kind: "clock", Of: voter(rng, f), Offset: script.Signed(time.Duration(rng.IntN(7201)-3600) * time.Second)}
	},
}

// voter is one of them, often the one that leads.
func voter(rng *rand.Rand, f *script.File) []string {
	if rng.IntN(3) == 0 {
		return []string{"leader"}
	}
	return one(rng, "v", f.Voters.Count)
}

// spare tells whether a cluster still has to bear a fault after those before: it may lose the disks of a minority.
func spare(f *script.File, before []script.Fault, x script.Fault) bool {
	lost := 0
	for _, b := range append(before, x) {
		if b.Kind == "lose" || b.Kind == "flip" {
			lost++
		}
	}
	return lost <= (f.Voters.Count-1)/2
}
