package balancer

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// quotaReference is a reference for overQuota. It never discards the level of a tenant that has a quota.
type quotaReference struct {
	s      Settings
	levels map[string]*tenantLevel
}

func (r *quotaReference) rate(name string) (float64, bool) {
	quota, known := r.s.Tenants.Quota(name)
	return quota / float64(r.s.Balancers), known
}

func (r *quotaReference) over(name string, now time.Duration) bool {
	rate, known := r.rate(name)
	if !known {
		return false
	}
	tenant := r.levels[name]
	if tenant == nil {
		tenant = &tenantLevel{updatedAt: now}
		r.levels[name] = tenant
	}
	tenant.level, tenant.updatedAt = max(0, tenant.level-rate*(now.Seconds()-tenant.updatedAt.Seconds()))+1, now
	return tenant.level > max(rate, 1)
}

// configure brings levels up to date at the old rates, so that the new rates apply from now on.
func (r *quotaReference) configure(s Settings, now time.Duration) {
	for name, tenant := range r.levels {
		rate, _ := r.rate(name)
		quota, known := s.Tenants.Quota(name)
		if !known {
			delete(r.levels, name)
		} else if next := quota / float64(s.Balancers); next != rate {
			tenant.level, tenant.updatedAt = max(0, tenant.level-rate*(now.Seconds()-tenant.updatedAt.Seconds())), now
		}
	}
	r.s = s
}

// Removing the empty levels of tenants changes no decision, over random requests, pauses and changes of quotas.
func TestSweepingLevelsChangesNoDecision(t *testing.T) {
	rng := rand.New(rand.NewPCG(36, 1))
	var list []Tenant
	for i := range 300 {
		list = append(list, Tenant{fmt.Sprintf("t%d", i), []float64{0, 0.3, 1, 7, 50}[rng.IntN(5)]})
	}
	s := settings()
	s.Balancers, s.Tenants = 3, NewTenants(list)
	b, _ := start(t, s, nil)
	reference := &quotaReference{s, map[string]*tenantLevel{}}
	now, overCount, mostLevels := time.Hour, 0, 0
	for i := range 100000 {
		now += time.Duration(rng.ExpFloat64() * float64(5*ms))
		if rng.IntN(5000) == 0 {
			now += time.Duration(rng.IntN(30)) * time.Second
		}
		if rng.IntN(500) == 0 {
			s = changeQuotas(s, rng)
			if err := b.Configure(now, s); err != nil {
				t.Fatal(err)
			}
			reference.configure(s, now)
		}
		name := fmt.Sprintf("t%d", int(math.Pow(rng.Float64(), 4)*320)) // a few send most requests, some have no quota
		got, want := b.overQuota(name, now), reference.over(name, now)
		if got != want {
			t.Fatalf("request %d of %s: over its quota: %v, the reference says %v", i, name, got, want)
		}
		if got {
			overCount++
		}
		mostLevels = max(mostLevels, len(b.quota.sweepOrder))
		if len(b.quota.sweepOrder) != len(b.quota.levels) {
			t.Fatal("the sweep order and the levels differ in length")
		}
	}
	if overCount < 1000 || overCount > 99000 {
		t.Errorf("%d of 100000 requests over quota, want 1000 to 99000", overCount)
	}
	t.Logf("%d over quota; at most %d of %d levels kept", overCount, mostLevels, len(reference.levels))
}

// changeQuotas changes a tenant's quota, and sometimes removes a tenant or changes the number of balancers.
func changeQuotas(s Settings, rng *rand.Rand) Settings {
	changed := Tenant{fmt.Sprintf("t%d", rng.IntN(310)), 20 * rng.Float64()}
	var removed []string
	if rng.IntN(3) == 0 {
		removed = []string{fmt.Sprintf("t%d", rng.IntN(310))}
	}
	s.Tenants = s.Tenants.With([]Tenant{changed}, removed)
	if rng.IntN(10) == 0 {
		s.Balancers = 1 + rng.IntN(5)
	}
	return s
}

// A tenant that has used up its quota pauses while others send, so that its level is swept often. If it resumes before
// its level is empty, it is still over its quota. If it resumes later, it has the quota of a new tenant.
func TestSweepGrantsNoExtraQuota(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 1, NewTenants([]Tenant{{"a", 10}, {"b", 1000}, {"c", 1000}, {"d", 1000}})
	b, _ := start(t, s, nil)
	now := time.Hour
	countWithinQuota := func() (n int) {
		for range 100 {
			if !b.overQuota("a", now) {
				n++
			}
		}
		return n
	}
	othersSend := func(d time.Duration) {
		for end := now + d; now < end; now += ms {
			b.overQuota([]string{"b", "c", "d"}[now/ms%3], now)
		}
	}
	if n := countWithinQuota(); n != 10 {
		t.Fatalf("a new tenant had %d of 100 requests within its quota, want 10", n)
	}
	othersSend(9 * time.Second) // the level of 100 falls by 10 a second, so it is empty after 10 s
	if n := countWithinQuota(); n != 0 {
		t.Errorf("%d requests within its quota 1 s before its level was empty, want 0", n)
	}
	if !b.quota.hasNonEmptyLevels(now) || b.quota.levels["a"] == nil {
		t.Error("the level of a tenant was removed before it was empty")
	}
	othersSend(12 * time.Second)
	if b.quota.levels["a"] != nil {
		t.Error("the empty level of a tenant was kept")
	}
	if n := countWithinQuota(); n != 10 {
		t.Errorf("after its level was empty, %d of 100 requests were within its quota, want 10", n)
	}
	now += time.Minute
	if b.quota.hasNonEmptyLevels(now) || len(b.quota.sweepOrder) != 0 {
		t.Errorf("%d tenants have a level a minute later", len(b.quota.sweepOrder))
	}
}

// A tenant keeps its level when its quota changes, and the new rate applies from then on.
func TestQuotaChanges(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 1, NewTenants([]Tenant{{"a", 10}})
	b, _ := start(t, s, nil)
	for range 20 {
		b.overQuota("a", time.Hour)
	}
	now := time.Hour + time.Second // the level has fallen from 20 to 10
	s.Tenants = s.Tenants.With([]Tenant{{"a", 2}}, nil)
	if err := b.Configure(now, s); err != nil {
		t.Fatal(err)
	}
	if now += time.Second; !b.overQuota("a", now) || b.quota.levels["a"].level != 9 {
		t.Errorf("level %v, want 10 - 2 + 1", b.quota.levels["a"].level)
	}
	s.Tenants = s.Tenants.With(nil, []string{"a"})
	err := b.Configure(now, s)
	if err != nil || len(b.quota.sweepOrder) != 0 || b.overQuota("a", now) || b.quota.fairRate != 0 {
		t.Errorf("after its removal: %v, %d levels kept", err, len(b.quota.sweepOrder))
	}
}

// Compares tables with maps over random changes. Later changes must leave earlier tables as they are.
func TestTenantsTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(36, 2))
	table, want := NewTenants(nil), map[string]float64{}
	var versions []tableVersion
	for range 300 {
		var changed []Tenant
		var removed []string
		for range rng.IntN(20) {
			removed = append(removed, fmt.Sprint(rng.IntN(3000)))
		}
		for range rng.IntN(60) {
			changed = append(changed, Tenant{fmt.Sprint(rng.IntN(3000)), rng.Float64()})
		}
		before := table
		table, want = table.With(changed, removed), withChanges(want, changed, removed)
		versions = append(versions, tableVersion{table, want})
		if table.Equal(before) && !equalQuotas(want, versions[max(0, len(versions)-2)].want) {
			t.Fatal("a changed table equals the previous one")
		}
	}
	for _, version := range versions {
		version.check(t)
	}
	var list []Tenant
	for name, quota := range want {
		list = append(list, Tenant{name, quota})
	}
	fresh, empty := NewTenants(list), (*Tenants)(nil)
	if !fresh.Equal(table) || !table.Equal(fresh) || fresh.Equal(nil) || !empty.Equal(NewTenants(nil)) {
		t.Error("Equal took equal tables for different or different ones for equal")
	}
}

// tableVersion is a table and the quotas that it must hold.
type tableVersion struct {
	table *Tenants
	want  map[string]float64
}

func (v tableVersion) check(t *testing.T) {
	t.Helper()
	sum, n := 0.0, 0
	for e := range v.table.All() {
		if quota, known := v.want[e.Name]; !known || quota != e.Quota {
			t.Fatalf("%q has %v, want %v", e.Name, e.Quota, quota)
		}
		n++
	}
	for name, quota := range v.want {
		if got, known := v.table.Quota(name); !known || got != quota {
			t.Fatalf("%q has %v (%v), want %v", name, got, known, quota)
		}
		sum += quota / 4
	}
	if n != len(v.want) || v.table.Len() != n || math.Abs(v.table.ratePerBalancer(4)-sum) > 1e-6 {
		t.Fatalf("%d tenants with %v in all, want %d with %v", n, v.table.ratePerBalancer(4), len(v.want), sum)
	}
}

// withChanges returns the quotas that a table must hold after a change.
func withChanges(quotas map[string]float64, changed []Tenant, removed []string) map[string]float64 {
	next := map[string]float64{}
	for name, quota := range quotas {
		if !slices.Contains(removed, name) {
			next[name] = quota
		}
	}
	for _, tenant := range changed {
		next[tenant.Name] = tenant.Quota
	}
	return next
}

func equalQuotas(x, y map[string]float64) bool {
	for name, quota := range x {
		if q, known := y[name]; !known || q != quota {
			return false
		}
	}
	return len(x) == len(y)
}

// The error of an invalid table names the tenant. A table derived from another one is validated too.
func TestInvalidTenantsAreRejected(t *testing.T) {
	for _, list := range [][]Tenant{{{"x", 1}, {"y", 2}, {"x", 3}}, {{"x", math.Inf(1)}}, {{"x", -1}}} {
		s := settings()
		s.Tenants = NewTenants(list)
		err := s.Validate()
		if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), `tenant "x" is set twice or has a Quota`) {
			t.Errorf("%v: %v", list, err)
		}
	}
	s := settings()
	if s.Tenants = s.Tenants.With([]Tenant{{"big", math.NaN()}}, nil); s.Validate() == nil {
		t.Error("a quota that is not a number was accepted")
	}
}

func manyTenants(n int) (list []Tenant) {
	for i := range n {
		list = append(list, Tenant{fmt.Sprintf("tenant-%06d", i), float64(1 + i%9)})
	}
	return list
}

func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{2, 1000, 140000} {
		list := manyTenants(n)
		table := NewTenants(list)
		b.Run(fmt.Sprintf("quota-%d", n), func(b *testing.B) {
			for i := range b.N {
				table.Quota(list[i*7919%n].Name)
			}
		})
		b.Run(fmt.Sprintf("with-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				table.With([]Tenant{{list[i*7919%n].Name, 3}}, nil)
			}
		})
		b.Run(fmt.Sprintf("new-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				NewTenants(list)
			}
		})
	}
}
