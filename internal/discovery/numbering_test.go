package discovery

import (
	"testing"

	"olivearch/balancer"
)

// TestNames: hex ids have the number that they spell, others their hash, and no two ids ever have the same number.
func TestNames(t *testing.T) {
	names := NewNumbering()
	const hexNumber balancer.UpstreamID = 0x5be2a07c
	for _, test := range []struct {
		name, id string
		want     balancer.UpstreamID
	}{
		{"hex", "s-5be2a07c", hexNumber},
		{"the same id again", "s-5be2a07c", hexNumber},
		{"another form", "5be2a07c.example", HashID("5be2a07c.example")},
	} {
		if got := names.ID(test.id); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	owners := map[balancer.UpstreamID]string{}
	// The first three ids have the same number of their own.
	for _, text := range []string{"s-7", "s-07", "s-007", "s-zz", "s-123456789", "", "s-"} {
		number := names.ID(text)
		if owners[number] != "" {
			t.Errorf("%q and %q have the same number", text, owners[number])
		}
		owners[number] = text
	}
}
