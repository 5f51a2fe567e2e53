package endpointlist

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// blockList is a list of n nodes as an encoder writes it, flow one with a node a line.
func blockList(n int) []byte {
	var b strings.Builder
	b.WriteString("nodes:\n")
	for i := range n {
		fmt.Fprintf(&b, "    - id: service-17-%d\n      address: 10.%d.%d.7:8080\n      zone: z%d\n      cell: %d\n      weight: 1\n      phase: up\n", i, i/250, i%250, i%19, i%7)
	}
	return []byte(b.String())
}

func flowList(n int) []byte {
	var b strings.Builder
	b.WriteString("nodes:\n")
	for i := range n {
		fmt.Fprintf(&b, "- {id: service-18-%d, address: '10.%d.%d.7:8081', zone: z%d, cell: %d}\n", i, i/250, i%250, i%19, i%7)
	}
	return []byte(b.String())
}

// simpleTexts are lists in simple forms, some of which hide something.
var simpleTexts = []string{
	string(blockList(3)), string(flowList(3)), string(blockList(3)) + strings.ReplaceAll(string(flowList(3)[7:]), "- {", "    - {"),
	"nodes:\n- address: 1.2.3.4:5\n", "nodes:\n- {address: 1.2.3.4:5}", "# a\n\nnodes:\n  # b\n  - address: '[::1]:5'\n\n    id: \"a, {b}\"\n",
	"nodes:\n- {id: 'a, b', address: \"1.2.3.4:5\", weight: 2.5, started: 2026-11-30T10:00:00+01:00, phase: draining}\n",
	"nodes:\n- id: a\n   b\n  address: 1.2.3.4:5\n", "nodes:\n- id: null\n  address: 1.2.3.4:5\n", "nodes:\n- id: 'null'\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: a # b\n  address: 1.2.3.4:5\n", "nodes:\n- id: a\n  id: b\n  address: 1.2.3.4:5\n", "nodes:\n- id: ''\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: 'it''s'\n  address: 1.2.3.4:5\n", "nodes:\n- id: \"a\\tb\"\n  address: 1.2.3.4:5\n", "nodes:\n- {address: 1.2.3.4:5}\n...\n",
	"nodes:\n- {address: 1.2.3.4:5}\n---\nnodes: []\n", "nodes:\n- {address: 1.2.3.4:5, weight: 1_0}\n", "nodes:\n- {address: 1.2.3.4:5, weight: inf}\n",
	"nodes:\n- {address: 1.2.3.4:5, cell: 0x10}\n", "nodes:\n- {address: 1.2.3.4:5, cell: '7', weight: '2'}\n", "nodes:\n- {address: 1.2.3.4:5, id: 2026-11-30}\n",
	"nodes:\n- {address: 1.2.3.4:5, id: 0o17, zone: true, started: 2026-11-30t10:00:00z}\n", "nodes:\n- {address: 1.2.3.4:5, id: a:}\n", "nodes:\n- {address: 1.2.3.4:5, id: a:b:c}\n",
	"nodes:\n- address: 1.2.3.4:5\nnodes: []\n", "nodes:\n- address: 1.2.3.4:5\n- address: 01.2.3.4:5\n", "nodes:\n- address: 1.2.3.4:5\n \n  # x\n- address: 1.2.3.4:6\n",
	"nodes:\n- {address: 1.2.3.4:5, phase: off}\n", "nodes:\n- {address: 1.2.3.4:5, weight: -1}\n", "nodes:\n- {address: 1.2.3.4:5,id: a}\n", "nodes:\n- {address: 1.2.3.4:5, }\n",
}

// wantAsStrict wants what is read by hand to be what strictyaml reads.
func wantAsStrict(t *testing.T, text []byte) (taken bool) {
	t.Helper()
	l, taken := parseSimple(text)
	if !taken {
		return false
	}
	if want, err := parseAny("n", text); err != nil || !reflect.DeepEqual(l, want) {
		t.Errorf("%q\nby hand: %+v\nstrict:  %+v, %v", text, l, want, err)
	}
	return true
}

func TestPlain(t *testing.T) {
	for i, text := range simpleTexts {
		if taken := wantAsStrict(t, []byte(text)); !taken && i < 7 {
			t.Errorf("not read by hand: %q", text)
		}
	}
}

// FuzzParseSimple: a text that is read by hand means the same to strictyaml.
func FuzzParseSimple(f *testing.F) {
	for _, text := range simpleTexts {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) { wantAsStrict(t, text) })
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{37, 2000} {
		for name, text := range map[string][]byte{"block": blockList(n), "flow": flowList(n)} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, err := Parse("n", text); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
