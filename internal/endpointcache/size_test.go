package endpointcache

import (
	"fmt"
	"path/filepath"
	"testing"

	"olivearch/internal/discovery"
)

// What a kept list costs when one of its entries changes, by its length: the file is written whole.
func BenchmarkKept(b *testing.B) {
	for _, n := range []int{37, 1000, 18_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := discovery.Listing{Complete: true}
			for i := range n {
				l.Members = append(l.Members, discovery.Member{
					ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), HostPort: fmt.Sprintf("10.1.%d.%d:7070", i>>8, i&255), Locality: "r1-z01",
					Phase: "up", Size: 1, UpSinceMS: 1_764_600_000_000,
				})
			}
			k := NewWriter(filepath.Join(b.TempDir(), "kept"), &l)
			defer k.Close()
			size := 0
			for i := 0; b.Loop(); i++ {
				change := l.Members[0]
				change.Cell = i + 1
				k.mu.Lock()
				k.take(discovery.Listing{Members: []discovery.Member{change}})
				k.dirty = true
				k.mu.Unlock()
				text, _ := k.text()
				size = len(text)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}
