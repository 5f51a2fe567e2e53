package endpointlist

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// blockList returns the text of a list of the given size in block style, as an encoder writes it.
func blockList(size int) []byte {
	var text strings.Builder
	text.WriteString("nodes:\n")
	for i := range size {
		fmt.Fprintf(&text, "    - id: service-17-%d\n", i)
		fmt.Fprintf(&text, "      address: 10.%d.%d.7:8080\n", i/250, i%250)
		fmt.Fprintf(&text, "      zone: z%d\n      cell: %d\n      weight: 1\n      phase: up\n", i%19, i%7)
	}
	return []byte(text.String())
}

// flowList returns the text of a list of the given size in flow style, one node per line.
func flowList(size int) []byte {
	var text strings.Builder
	text.WriteString("nodes:\n")
	for i := range size {
		fmt.Fprintf(&text, "- {id: service-18-%d, address: '10.%d.%d.7:8081', zone: z%d, cell: %d}\n",
			i, i/250, i%250, i%19, i%7)
	}
	return []byte(text.String())
}

// requiredSimpleTexts is the number of simpleTexts, from the first, that parseSimple must read. It may leave the others
// to strictyaml.
const requiredSimpleTexts = 7

// simpleTexts are lists in simple forms, and texts in similar forms.
var simpleTexts = []string{
	string(blockList(3)),
	string(flowList(3)),
	string(blockList(3)) + strings.ReplaceAll(string(flowList(3)[7:]), "- {", "    - {"),
	"nodes:\n- address: 1.2.3.4:5\n",
	"nodes:\n- {address: 1.2.3.4:5}",
	"# a\n\nnodes:\n  # b\n  - address: '[::1]:5'\n\n    id: \"a, {b}\"\n",
	"nodes:\n- {id: 'a, b', address: \"1.2.3.4:5\", weight: 2.5, started: 2026-11-30T10:00:00+01:00, phase: draining}\n",
	"nodes:\n- id: a\n   b\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: null\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: 'null'\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: a # b\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: a\n  id: b\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: ''\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: 'it''s'\n  address: 1.2.3.4:5\n",
	"nodes:\n- id: \"a\\tb\"\n  address: 1.2.3.4:5\n",
	"nodes:\n- {address: 1.2.3.4:5}\n...\n",
	"nodes:\n- {address: 1.2.3.4:5}\n---\nnodes: []\n",
	"nodes:\n- {address: 1.2.3.4:5, weight: 1_0}\n",
	"nodes:\n- {address: 1.2.3.4:5, weight: inf}\n",
	"nodes:\n- {address: 1.2.3.4:5, cell: 0x10}\n",
	"nodes:\n- {address: 1.2.3.4:5, cell: '7', weight: '2'}\n",
	"nodes:\n- {address: 1.2.3.4:5, id: 2026-11-30}\n",
	"nodes:\n- {address: 1.2.3.4:5, id: 0o17, zone: true, started: 2026-11-30t10:00:00z}\n",
	"nodes:\n- {address: 1.2.3.4:5, id: a:}\n",
	"nodes:\n- {address: 1.2.3.4:5, id: a:b:c}\n",
	"nodes:\n- address: 1.2.3.4:5\nnodes: []\n",
	"nodes:\n- address: 1.2.3.4:5\n- address: 01.2.3.4:5\n",
	"nodes:\n- address: 1.2.3.4:5\n \n  # x\n- address: 1.2.3.4:6\n",
	"nodes:\n- {address: 1.2.3.4:5, phase: off}\n",
	"nodes:\n- {address: 1.2.3.4:5, weight: -1}\n",
	"nodes:\n- {address: 1.2.3.4:5,id: a}\n",
	"nodes:\n- {address: 1.2.3.4:5, }\n",
}

// checkEqualsYAML fails the test if parseSimple reads a text and strictyaml reads another list or an error. It returns
// whether parseSimple has read the text.
func checkEqualsYAML(t *testing.T, text []byte) (read bool) {
	t.Helper()
	list, read := parseSimple(text)
	if !read {
		return false
	}
	want, err := parseYAML("n", text)
	if err != nil || !reflect.DeepEqual(list, want) {
		t.Errorf("%q\nsimple: %+v\nstrict: %+v, %v", text, list, want, err)
	}
	return true
}

func TestParseSimple(t *testing.T) {
	for i, text := range simpleTexts {
		read := checkEqualsYAML(t, []byte(text))
		if !read && i < requiredSimpleTexts {
			t.Errorf("not read: %q", text)
		}
	}
}

// FuzzParseSimple: strictyaml reads the same list from each text that parseSimple reads.
func FuzzParseSimple(f *testing.F) {
	for _, text := range simpleTexts {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) { checkEqualsYAML(t, text) })
}

func BenchmarkParse(b *testing.B) {
	for _, size := range []int{37, 2000} {
		for name, text := range map[string][]byte{"block": blockList(size), "flow": flowList(size)} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
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
