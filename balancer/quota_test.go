package balancer

import (
	"testing"
	"time"
)

// A tenant with a quota of 10 requests a second over two balancers has 5 requests a second here, in a bucket of 5.
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
		over   int // requests of the last batch that are over the quota
	}{
		{"unknown tenant", "unknown", []sent{{0, 100}}, 0},
		{"one second's requests at once", "a", []sent{{0, 5}}, 0},
		{"two requests more than that", "a", []sent{{0, 7}}, 2},
		{"another second's requests after a second", "a", []sent{{0, 5}, {time.Second, 5}}, 0},
		{"another second's requests after half a second", "a", []sent{{0, 5}, {500 * ms, 5}}, 3},
		{"a long pause allows no more than one second's requests", "a", []sent{{0, 5}, {time.Hour, 6}}, 1},
		{"a small quota allows one request at once", "rare", []sent{{0, 2}}, 1},
		{"a quota of zero allows one request", "none", []sent{{0, 2}}, 1},
		{"a quota of zero allows no second request, however late", "none", []sent{{0, 1}, {1000 * time.Hour, 1}}, 1},
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

func TestQuotaRemovesEmptyLevels(t *testing.T) {
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
			t.Errorf("after %v: has levels %v; %d levels, %d in the sweep order, want %d",
				c.after, has, len(q.levels), len(q.sweepOrder), c.left)
		}
	}
}

func TestQuotaEmptyAt(t *testing.T) {
	for _, c := range []struct {
		level, rate float64
		after       time.Duration
	}{{10, 5, 2 * time.Second}, {0, 5, 0}, {1, 0, 24 * time.Hour}, {1e9, 1, 24 * time.Hour}} {
		q := quota{sweepOrder: []*tenantLevel{{rate: c.rate, level: c.level, updatedAt: time.Hour}}}
		if got := q.emptyAt(0); got != time.Hour+c.after {
			t.Errorf("%+v: empty after %v", c, got-time.Hour)
		}
		if got := q.emptyAt(1000 * time.Hour); got != 1000*time.Hour {
			t.Errorf("%+v: empty at %v, want the earliest time asked for, 1,000 hours", c, got)
		}
	}
}

// A level leaks at the old rate up to the update and at the new rate from then on. The level of a tenant that is no
// longer listed is removed.
func TestQuotaUpdate(t *testing.T) {
	before := NewTenants([]Tenant{{Name: "a", Quota: 4}, {Name: "gone", Quota: 4}})
	after := NewTenants([]Tenant{{Name: "a", Quota: 2}, {Name: "new", Quota: 6}})
	q := quota{levels: map[string]*tenantLevel{}}
	q.update(before, 2, 0)
	if q.fairRate != 4 {
		t.Errorf("fair rate %v, want 4", q.fairRate)
	}
	for _, name := range []string{"a", "a", "gone"} {
		q.count(before, 2, name, time.Hour)
	}
	q.update(after, 2, time.Hour+500*ms)
	a := q.levels["a"]
	if len(q.levels) != 1 || a == nil || *a != (tenantLevel{"a", 1, 1, time.Hour + 500*ms}) || q.fairRate != 4 {
		t.Fatalf("%d levels, %+v, fair rate %v", len(q.levels), a, q.fairRate)
	}
	if over := q.count(after, 2, "a", time.Hour+1500*ms); over || a.level != 1 {
		t.Errorf("a second later: level %v, over the quota: %v", a.level, over)
	}
}
