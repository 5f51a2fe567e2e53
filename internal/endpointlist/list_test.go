package endpointlist

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	list, err := Parse("n.yaml", []byte(`nodes:
- {address: '127.0.0.1:1'}
- {id: b, address: '[::1]:2', phase: draining, zone: z, cell: 2, weight: 2.5, started: 2026-11-30T10:00:00Z}
`))
	if err != nil {
		t.Fatal(err)
	}
	if node := list.Nodes[0]; node.ID != "127.0.0.1:1" || node.Weight != 1 || node.Phase != PhaseUp {
		t.Errorf("defaults: %+v", node)
	}
	node := list.Nodes[1]
	if node.Phase != PhaseDraining || node.Cell != 2 || node.Weight != 2.5 || node.Started.Year() != 2026 {
		t.Errorf("all fields: %+v", node)
	}
	if list, err := Parse("n.yaml", []byte("nodes: []")); err != nil || len(list.Nodes) != 0 {
		t.Errorf("an empty list: %v, %v", list, err)
	}
}

func TestInvalidListErrorsNamePosition(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"", "n.yaml:1:1: the file is empty"},
		{"nodes:", "n.yaml:1:7: nothing stands here"},
		{"{}", `no list "nodes"`},
		{"nodes: [", "n.yaml:1:"}, // truncated
		{"nodes:\n- {adddress: 1.2.3.4:5}", `n.yaml:2:4: unknown key "adddress"; did you mean "address"?`},
		{"nodes:\n- {address: host:5}", `n.yaml:2:13: "host:5" is not an IP address`},
		{"nodes:\n- {id: a}", "n.yaml:2:3: the node has no address"},
		{
			"nodes:\n- {address: 1.2.3.4:5}\n- {address: 1.2.3.4:5, id: x}",
			`nodes "1.2.3.4:5" and "x" have the same address`,
		},
		{
			"nodes:\n- {address: 1.2.3.4:5, id: x}\n- {address: 1.2.3.4:6, id: x}",
			`n.yaml:3:3: two nodes have the id "x"`,
		},
		{"nodes:\n- {address: 1.2.3.4:5, phase: off}", "neither up nor draining"},
		{"nodes:\n- {address: 1.2.3.4:5, weight: .nan}", "n.yaml:2:"},
		{"nodes:\n- {address: 1.2.3.4:5, weight: -1}", "the weight"},
		{"nodes:\n- {address: 1.2.3.4:5, started: soon}", "n.yaml:2:33:"},
		{"nodes: []\n---\nnodes: []", "another follows"},
	} {
		_, err := Parse("n.yaml", []byte(test.text))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: %v, want %q", test.text, err, test.want)
		}
	}
}

// FuzzParse: no text makes the parser panic, and the nodes of a valid list have an address and a unique id.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"nodes: []",
		"nodes:\n- &a {address: 1.2.3.4:5}\n- *a",
		"nodes:\n- {address: '[::1]:2', started: 2026-11-30T10:00:00Z}",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse("n", text)
		if err != nil {
			return
		}
		ids := map[string]bool{}
		for _, node := range list.Nodes {
			if node.ID == "" || ids[node.ID] || node.Address == "" || !(node.Weight >= 0) {
				t.Errorf("%+v", node)
			}
			ids[node.ID] = true
		}
	})
}
