package proxy

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
)

func TestKeysOf(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"a value", `7`, ""},
		{"an object", `{"a":1,"b":{"c":2}}`, "a b b.c"},
		{"a list of objects", `{"l":[{"a":1,"b":2},{"a":3}]}`, "l l.each.a"},
		{"a key of some classes only", `{"l":[{"name":1,"group":2}]}`, "l l.each.name"},
		{"an empty list", `{"l":[]}`, "l"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var value any
			if err := json.Unmarshal([]byte(c.text), &value); err != nil {
				t.Fatal(err)
			}
			got := strings.Join(slices.Sorted(maps.Keys(keysOf(value))), " ")
			want(t, c.text, got, c.want)
		})
	}
}
