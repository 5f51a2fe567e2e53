package service

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"olivearch/internal/config"
)

// plannedSizeConfig returns a configuration of the planned size, and writes its endpoint lists into a folder.
func plannedSizeConfig(b *testing.B, folder string) string {
	b.Helper()
	const pools, routes, tenants = 490, 15000, 140000
	var t strings.Builder
	t.WriteString(
		"# head\nlisteners: [{address: '127.0.0.1:0', connections: 1500}]\n" +
			"limits: {memory: 1GiB, descriptors: 6000, bodies: 16MiB}\n" +
			"classes: {c: {aim: 250ms, deadline: 1s}}\ntenants:\n",
	)
	for i := range tenants {
		fmt.Fprintf(&t, "  t%06d: {quota: 5}\n", i)
	}
	t.WriteString("pools:\n")
	for i := range pools {
		fmt.Fprintf(&t, "  p%03d: {nodes: {file: p%03d.yaml}, connections: 4, queue: 2}\n", i, i)
		list := "nodes:\n"
		for j := range 37 {
			list += fmt.Sprintf("- {address: '127.64.%d.%d:9'}\n", i/2, 1+j+100*(i%2))
		}
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("p%03d.yaml", i)), []byte(list), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	t.WriteString("routes:\n")
	for i := range routes {
		fmt.Fprintf(
			&t,
			"  - {name: r%05d, hosts: [s%03d.example.org], path: {prefix: /r%05d}, class: c, pool: p%03d}\n",
			i,
			i%pools,
			i,
			i%pools,
		)
	}
	return t.String()
}

// BenchmarkApply reloads a service of the planned size with a configuration that has a single change, and with the
// original one, in turn.
func BenchmarkApply(b *testing.B) {
	folder := b.TempDir()
	path, text := filepath.Join(folder, "c.yaml"), plannedSizeConfig(b, folder)
	writeConfig := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	writeConfig(text)
	c, err := config.Load(path)
	if err != nil {
		b.Fatal(err)
	}
	s, err := Start(c, "test")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	for _, x := range []struct{ name, old, new string }{
		{"head", "# head", "# other"},
		{"quota", "t070000: {quota: 5}", "t070000: {quota: 6}"},
		{"route", "prefix: /r07000}", "prefix: /other}"},
	} {
		texts := []string{strings.Replace(text, x.old, x.new, 1), text}
		b.Run(x.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				writeConfig(texts[i%2])
				if c, err = config.Reload(path, c); err != nil {
					b.Fatal(err)
				}
				if err := s.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
