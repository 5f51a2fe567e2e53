package balancer

import (
	"testing"
	"time"
)

// A tenant has ten requests a second of two balancers: five of this one, in a bucket of five.
func TestQuotaCount(t *testing.T) {
	table := NewTenants([]Tenant{{Name: "a", Quota: 10}, {Name: "rare", Quota: 0.2}, {Name: "none", Quota: 0}})
	type sent struct {
		at    time.Duration
		count int
	}
	for _, c := range []struct {
		name   string
		tenant string
		sent   []sent
		over   int // of the last batch
	}{
		{"a tenant that is not known", "unknown", []sent{{0, 100}}, 0},
		{"its part at once", "a", []sent{{0, 5}}, 0},
		{"two more", "a", []sent{{0, 7}}, 2},
		{"its part again after a second", "a", []sent{{0, 5}, {time.Second, 5}}, 0},
		{"after half a second", "a", []sent{{0, 5}, {500 * ms, 5}}, 3},
		{"a long pause earns no more than the part", "a", []sent{{0, 5}, {time.Hour, 6}}, 1},
		{"one fits the smallest quota", "rare", []sent{{0, 2}}, 1},
		{"one fits no quota at all", "none", []sent{{0, 2}}, 1},
		{"which is never forgotten", "none", []sent{{0, 1}, {1000 * time.Hour, 1}}, 1},
	} {
		q := quota{levels: map[string]*tenantLevel{}}
		over := 0
		for _, batch := range c.sent {
			over = 0
			for range batch.count {
				if q.count(table, 2, c.tenant, time.Hour+batch.at) {
					over++
				}
			}
		}
		if over != c.over {
			t.Errorf("%s: %d over the quota, want %d", c.name, over, c.over)
		}
	}
}

func TestQuotaForgetsWhatHasRunDry(t *testing.T) {
	table := NewTenants([]Tenant{{Name: "a", Quota: 2}, {Name: "b", Quota: 2}, {Name: "c", Quota: 2}})
	q := quota{levels: map[string]*tenantLevel{}}
	for _, name := range []string{"a", "b", "b", "b", "c"} {
		q.count(table, 1, name, time.Hour)
	}
	for _, c := range []struct {
		after time.Duration
		left  int
	}{{499 * ms, 3}, {500 * ms, 1}, {1499 * ms, 1}, {1500 * ms, 0}} {
		has := q.hasNonEmptyLevels(time.Hour + c.after)
		if has != (c.left > 0) || len(q.levels) != c.left || len(q.sweepOrder) != c.left {
			t.Errorf("after %v: %v, %d levels, %d in the sweep, want %d", c.after, has, len(q.levels), len(q.sweepOrder), c.left)
		}
	}
}

func TestQuotaDryAt(t *testing.T) {
	for _, c := range []struct {
		level, rate float64
		after       time.Duration
	}{{10, 5, 2 * time.Second}, {0, 5, 0}, {1, 0, 24 * time.Hour}, {1e9, 1, 24 * time.Hour}} {
		q := quota{sweepOrder: []*tenantLevel{{rate: c.rate, level: c.level, updatedAt: time.Hour}}}
		if got := q.emptyAt(0); got != time.Hour+c.after {
			t.Errorf("%+v: dry after %v", c, got-time.Hour)
		}
		if got := q.emptyAt(1000 * time.Hour); got != 1000*time.Hour {
			t.Errorf("%+v: dry at %v, asked from 1,000 hours on", c, got)
		}
	}
}

// What was counted stays at what it is, and leaks at the new rate from then on; who has no quota now is forgotten.
func TestQuotaUpdate(t *testing.T) {
	before := NewTenants([]Tenant{{Name: "a", Quota: 4}, {Name: "gone", Quota: 4}})
	after := NewTenants([]Tenant{{Name: "a", Quota: 2}, {Name: "new", Quota: 6}})
	q := quota{levels: map[string]*tenantLevel{}}
	q.update(before, 2, 0)
	if q.fairRate != 4 {
		t.Errorf("an even part of %v, want 4", q.fairRate)
	}
	for _, name := range []string{"a", "a", "gone"} {
		q.count(before, 2, name, time.Hour)
	}
	q.update(after, 2, time.Hour+500*ms)
	a := q.levels["a"]
	if len(q.levels) != 1 || a == nil || *a != (tenantLevel{"a", 1, 1, time.Hour + 500*ms}) || q.fairRate != 4 {
		t.Fatalf("%d levels, %+v, an even part of %v", len(q.levels), a, q.fairRate)
	}
	if over := q.count(after, 2, "a", time.Hour+1500*ms); over || a.level != 1 {
		t.Errorf("a second later: level %v, over %v", a.level, over)
	}
}
