package live

import (
	"reflect"
	"strings"
	"testing"
)

// TestPartQueryAndSelection: ParsePart returns the same part for the query of a part, an invalid query is an error, and
// each value of Part.Nodes selects the right nodes.
func TestPartQueryAndSelection(t *testing.T) {
	for query, want := range map[string]Part{
		"":                            {},
		"pool=a&pool=b&pool=a":        {Pools: []string{"a", "b"}},
		"nodes=used":                  {Nodes: UsedNodes},
		"pool=x%26y&nodes=none":       {Pools: []string{"x&y"}, Nodes: NoNodes},
		"nodes=all&pool=checkin-read": {Pools: []string{"checkin-read"}, Nodes: AllNodes},
	} {
		got, err := ParsePart(query)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v", query, got, err)
		}
		if again, err := ParsePart(got.Query()); err != nil || !reflect.DeepEqual(again, got) {
			t.Errorf("%s: written as %s and parsed as %+v, %v", query, got.Query(), again, err)
		}
	}
	for query, want := range map[string]string{
		"nodes=some":           "nodes is",
		"nodes=all&nodes=none": "nodes is",
		"pools=a":              "no parameter \"pools\"",
		"pool=%zz":             "escape",
	} {
		if _, err := ParsePart(query); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", query, err)
		}
	}
	whole := Pool{Name: "p", Nodes: []Node{
		{ID: "idle", Phase: "up"},
		{ID: "used", Phase: "up", Member: true},
		{ID: "out", Phase: "up", Out: 1},
		{ID: "cold", Phase: "up", Cold: true},
		{ID: "silent", Phase: "up", Silent: true},
		{ID: "leaving", Phase: "draining"},
	}}
	for which, want := range map[string]int{"": 6, AllNodes: 6, UsedNodes: 5, NoNodes: 0} {
		pool := whole
		pool.Nodes = append([]Node{}, whole.Nodes...)
		got := Part{Nodes: which}.Of(pool)
		if len(got.Nodes) != want || got.Nodes == nil {
			t.Errorf("%q: %+v, want %d nodes", which, got.Nodes, want)
			continue
		}
		if want == 5 && got.Nodes[0].ID != "used" {
			t.Errorf("%q: the first node is %+v, want the one named used", which, got.Nodes[0])
		}
	}
}
