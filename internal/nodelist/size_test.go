package nodelist

import (
	"fmt"
	"strings"
	"testing"
)

// What a list in a file takes and costs to read, by its nodes.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{2, 37, 370, 2000, 18_000} {
		var text strings.Builder
		text.WriteString("nodes:\n")
		for i := range n {
			fmt.Fprintf(&text, "- {id: s-%08x, address: '10.1.%d.%d:7070', zone: r1-z01}\n", i, i>>8, i&255)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if l, err := Parse("n.yaml", []byte(text.String())); err != nil || len(l.Nodes) != n {
					b.Fatal(len(l.Nodes), err)
				}
			}
			b.ReportMetric(float64(text.Len())/float64(n), "bytes/node")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/node")
		})
	}
}
