package config

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"olivearch/internal/discovery"
)

// BenchmarkFullSize measures the state of a fleet of the planned size: 18,000 endpoints in the format of a discovery
// service, and 15,000 routes and 140,000 tenants in the format of the configuration, with random names and addresses.
// For each part it measures the size, the size compressed with gzip, and the CPU time of compression and of a digest.
func BenchmarkFullSize(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	var nodes discovery.Listing
	for range 18_000 {
		nodes.Members = append(nodes.Members, discovery.Member{
			ID:        fmt.Sprintf("s-%08x", rng.Uint32()),
			HostPort:  fmt.Sprintf("10.%d.%d.%d:7070", rng.IntN(19), rng.IntN(64), rng.IntN(256)),
			Locality:  fmt.Sprintf("r%d-z%02d", 1+rng.IntN(6), 1+rng.IntN(19)),
			Cell:      rng.IntN(8),
			Phase:     "up",
			Size:      1,
			UpSinceMS: 1_764_600_000_000 + rng.Int64N(864e5),
		})
	}
	listed, err := json.Marshal(nodes)
	if err != nil {
		b.Fatal(err)
	}
	var routes, tenants bytes.Buffer
	for i := range 15_000 {
		fmt.Fprintf(&routes, "  - {name: route-%05d, hosts: [service-%03d.plano.example.org], ", i, i%490)
		fmt.Fprintf(&routes, "path: {prefix: /v%d/%08x}, ", 1+i%3, rng.Uint32())
		fmt.Fprintf(&routes, "class: c%d, pool: service-%03d}\n", i%4, i%490)
	}
	for range 140_000 {
		fmt.Fprintf(&tenants, "  customer-%08x: {quota: %d}\n", rng.Uint32(), 1+rng.IntN(20))
	}
	for _, x := range []struct {
		name    string
		entries int
		text    []byte
	}{{"nodes", 18_000, listed}, {"routes", 15_000, routes.Bytes()}, {"tenants", 140_000, tenants.Bytes()}} {
		b.Run(x.name, func(b *testing.B) {
			var compressed bytes.Buffer
			for b.Loop() {
				compressed.Reset()
				w := gzip.NewWriter(&compressed)
				if _, err := w.Write(x.text); err != nil {
					b.Fatal(err)
				}
				if err := w.Close(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(x.text)), "bytes")
			b.ReportMetric(float64(len(x.text))/float64(x.entries), "bytes/entry")
			b.ReportMetric(float64(compressed.Len()), "bytes-packed")
		})
		b.Run(x.name+" digests", func(b *testing.B) {
			var sum uint64
			for b.Loop() {
				h := fnv.New64a()
				h.Write(x.text)
				sum = cmp.Or(sum^h.Sum64(), 1)
			}
		})
	}
}
