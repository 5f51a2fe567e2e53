package live

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
)

// BenchmarkView measures the bytes of a live view per node, with the indentation of the admin listener and without, and
// the time to encode it.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{40, 1800, 18_000} {
		v := View{Version: "1"}
		for i := range n {
			if i%37 == 0 {
				v.Pools = append(v.Pools, Pool{Name: fmt.Sprintf("service-%03d", i/37), Limit: 300, Queue: 200})
			}
			p := &v.Pools[len(v.Pools)-1]
			p.Nodes = append(p.Nodes, Node{
				ID:        fmt.Sprintf("s-%08x", i),
				Address:   fmt.Sprintf("10.1.%d.%d:7070", i>>8, i&255),
				Phase:     "up",
				Load:      Reported,
				Bound:     0.0741,
				Part:      1,
				Cut:       1,
				Member:    i%37 < 2,
				LatencyMS: 41.873,
				Mean:      0.51234,
				Upper:     0.6012,
				Lower:     0.4234,
				Readings:  1234,
				Share:     0.5,
			})
		}
		plain, err := json.Marshal(&v)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var size byteCounter
			for b.Loop() {
				size = 0
				out := json.NewEncoder(&size)
				out.SetIndent("", "  ")
				if err := out.Encode(&v); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/node")
			b.ReportMetric(float64(len(plain))/float64(n), "bytes/node-plain")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/node")
		})
	}
}

type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) { *c += byteCounter(len(p)); return len(p), nil }

var _ io.Writer = (*byteCounter)(nil)
