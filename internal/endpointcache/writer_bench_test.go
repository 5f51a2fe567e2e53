package endpointcache

import (
	"fmt"
	"path/filepath"
	"testing"

	"olivearch/internal/discovery"
)

// BenchmarkTakeChanges measures the cost of changing one entry, for several list lengths: the whole list is encoded
// again.
func BenchmarkTakeChanges(b *testing.B) {
	for _, length := range []int{37, 1000, 18_000} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			list := discovery.Listing{Complete: true}
			for i := range length {
				list.Members = append(list.Members, discovery.Member{
					ID:        fmt.Sprintf("s-%08x", uint32(i)*2654435761),
					HostPort:  fmt.Sprintf("10.1.%d.%d:7070", i>>8, i&255),
					Locality:  "r1-z01",
					Phase:     "up",
					Size:      1,
					UpSinceMS: 1_764_600_000_000,
				})
			}
			w := NewWriter(filepath.Join(b.TempDir(), "list"), &list)
			defer w.Close()
			size := 0
			for i := 0; b.Loop(); i++ {
				change := list.Members[0]
				change.Cell = i + 1
				w.mu.Lock()
				w.update(discovery.Listing{Members: []discovery.Member{change}})
				w.dirty = true
				w.mu.Unlock()
				text, _ := w.takeChanges()
				size = len(text)
			}
			b.ReportMetric(float64(size)/float64(length), "bytes/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(length), "ns/entry")
		})
	}
}
