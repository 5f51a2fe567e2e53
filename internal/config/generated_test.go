package config

import (
	"fmt"
	"strings"
	"testing"
)

// generatedText returns a configuration with the given numbers of entries, in block style with one line for each entry.
func generatedText(pools, routes, tenants int) []byte {
	var b strings.Builder
	b.WriteString("listeners: [{address: '127.0.0.1:0', connections: 2000}]\n")
	b.WriteString("limits: {memory: 1GiB, descriptors: 20000}\n")
	b.WriteString("classes:\n  read: {repeat: safe, aim: 250ms, deadline: 1s}\n  write: {aim: 250ms, deadline: 1s}\n")
	b.WriteString("pools:\n")
	for i := range pools {
		fmt.Fprintf(&b, "  pool-%03d: {nodes: {file: pool-%03d.yaml}, queue: 4, connections: 20}\n", i, i)
	}
	b.WriteString("routes:\n")
	for i := range routes {
		class := []string{"read", "write"}[i%2]
		fmt.Fprintf(&b, "  - {name: route-%05d, hosts: [s%03d.example.org], ", i, i%pools)
		fmt.Fprintf(&b, "path: {prefix: /r%05d}, class: %s, pool: pool-%03d}\n", i, class, i%pools)
	}
	if tenants > 0 {
		b.WriteString("tenants:\n")
	}
	for i := range tenants {
		fmt.Fprintf(&b, "  tenant-%06d: {quota: %d}\n", i, 1+i%50)
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	for _, c := range []struct{ pools, routes, tenants int }{{2, 10, 0}, {490, 15000, 0}, {490, 15000, 140000}} {
		text := generatedText(c.pools, c.routes, c.tenants)
		b.Run(fmt.Sprintf("%d-%d-%d", c.pools, c.routes, c.tenants), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for range b.N {
				if _, err := Parse("c.yaml", text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
