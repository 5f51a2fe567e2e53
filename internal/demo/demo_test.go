package demo

import (
	"strings"
	"testing"
	"time"
)

// TestDemo plays all troubles in a short run: no rule breaks, most is served, and the tables show it.
func TestDemo(t *testing.T) {
	var out strings.Builder
	r, err := Run(t.Context(), Options{Length: 6 * time.Second, Seed: 1}, &out)
	if err != nil {
		t.Fatal(err)
	}
	r.Write(&out)
	if len(r.Breaches) > 0 || r.Served < r.Asked*8/10 || r.Asked < 800 {
		t.Errorf("%+v\n%s", r.Summary, &out)
	}
	for _, want := range []string{"node-1 takes requests and answers none", "by a reload", "twice the check-ins", "no rule was broken"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, &out)
		}
	}
}
