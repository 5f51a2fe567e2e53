package discovery

import (
	"testing"

	"olivearch/balancer"
)

// TestNumbering: hex ids have the number that their digits spell, other ids have their hash, and no two ids have the
// same number.
func TestNumbering(t *testing.T) {
	numbering := NewNumbering()
	const hexNumber balancer.UpstreamID = 0x5be2a07c
	for _, test := range []struct {
		name, id string
		want     balancer.UpstreamID
	}{
		{"hex", "s-5be2a07c", hexNumber},
		{"the same id again", "s-5be2a07c", hexNumber},
		{"another form", "5be2a07c.example", HashID("5be2a07c.example")},
	} {
		if got := numbering.ID(test.id); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	owners := map[balancer.UpstreamID]string{}
	// The first three ids have the same default number.
	for _, memberID := range []string{"s-7", "s-07", "s-007", "s-zz", "s-123456789", "", "s-"} {
		number := numbering.ID(memberID)
		if owners[number] != "" {
			t.Errorf("%q and %q have the same number", memberID, owners[number])
		}
		owners[number] = memberID
	}
}
