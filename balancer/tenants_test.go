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

// countsForEver counts every tenant's requests for ever: what overQuota has to equal.
type countsForEver struct {
	s      Settings
	levels map[string]*tenantLevel
}

func (k *countsForEver) rate(name string) (float64, bool) {
	quota, known := k.s.Tenants.Quota(name)
	return quota / float64(k.s.Balancers), known
}

func (k *countsForEver) over(name string, now time.Duration) bool {
	rate, known := k.rate(name)
	if !known {
		return false
	}
	x := k.levels[name]
	if x == nil {
		x = &tenantLevel{updatedAt: now}
		k.levels[name] = x
	}
	x.level, x.updatedAt = max(0, x.level-rate*(now.Seconds()-x.updatedAt.Seconds()))+1, now
	return x.level > max(rate, 1)
}

// configure holds that what is counted stays at what it is by now, and the new rate counts from now on.
func (k *countsForEver) configure(s Settings, now time.Duration) {
	for name, x := range k.levels {
		rate, _ := k.rate(name)
		quota, known := s.Tenants.Quota(name)
		if !known {
			delete(k.levels, name)
		} else if next := quota / float64(s.Balancers); next != rate {
			x.level, x.updatedAt = max(0, x.level-rate*(now.Seconds()-x.updatedAt.Seconds())), now
		}
	}
	k.s = s
}

// TestForgettingIsKeeping: letting go of tenants whose level has run dry decides as keeping all does, over random
// requests, pauses and changes of quotas; and few are kept.
func TestForgettingIsKeeping(t *testing.T) {
	rng := rand.New(rand.NewPCG(36, 1))
	var list []Tenant
	for i := range 300 {
		list = append(list, Tenant{fmt.Sprintf("t%d", i), []float64{0, 0.3, 1, 7, 50}[rng.IntN(5)]})
	}
	s := settings()
	s.Balancers, s.Tenants = 3, NewTenants(list)
	b, _ := start(t, s, nil)
	all := &countsForEver{s, map[string]*tenantLevel{}}
	now, overs, most := time.Hour, 0, 0
	for i := range 100000 {
		now += time.Duration(rng.ExpFloat64() * float64(5*ms))
		if rng.IntN(5000) == 0 {
			now += time.Duration(rng.IntN(30)) * time.Second
		}
		if rng.IntN(500) == 0 {
			s = otherQuotas(s, rng)
			if err := b.Configure(now, s); err != nil {
				t.Fatal(err)
			}
			all.configure(s, now)
		}
		name := fmt.Sprintf("t%d", int(math.Pow(rng.Float64(), 4)*320)) // some send much, some are not known
		got, want := b.overQuota(name, now), all.over(name, now)
		if got != want {
			t.Fatalf("request %d of %s: over its quota: %v, keeping all says %v", i, name, got, want)
		}
		if got {
			overs++
		}
		most = max(most, len(b.quota.sweepOrder))
		if len(b.quota.sweepOrder) != len(b.quota.levels) {
			t.Fatal("the ring and the map differ")
		}
	}
	if overs < 1000 || overs > 99000 {
		t.Errorf("%d of 100000 over: the comparison shows nothing", overs)
	}
	t.Logf("%d over; at most %d of %d kept", overs, most, len(all.levels))
}

// otherQuotas changes a tenant's quota, and now and then drops a tenant or changes the number of balancers.
func otherQuotas(s Settings, rng *rand.Rand) Settings {
	x := Tenant{fmt.Sprintf("t%d", rng.IntN(310)), 20 * rng.Float64()}
	var gone []string
	if rng.IntN(3) == 0 {
		gone = []string{fmt.Sprintf("t%d", rng.IntN(310))}
	}
	s.Tenants = s.Tenants.With([]Tenant{x}, gone)
	if rng.IntN(10) == 0 {
		s.Balancers = 1 + rng.IntN(5)
	}
	return s
}

// TestNoSecondQuota: a tenant has spent its quota and falls silent while others send, so that the sweep comes by often.
// Back before its level has run dry it is over at once; back later it has what a new one has, and no more.
func TestNoSecondQuota(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 1, NewTenants([]Tenant{{"a", 10}, {"b", 1000}, {"c", 1000}, {"d", 1000}})
	b, _ := start(t, s, nil)
	now := time.Hour
	allowed := func() (n int) {
		for range 100 {
			if !b.overQuota("a", now) {
				n++
			}
		}
		return n
	}
	pass := func(d time.Duration) {
		for end := now + d; now < end; now += ms {
			b.overQuota([]string{"b", "c", "d"}[now/ms%3], now)
		}
	}
	if n := allowed(); n != 10 {
		t.Fatalf("a new tenant has %d of 10", n)
	}
	pass(9 * time.Second) // 100 sent, 10 a second: dry after 10 s
	if n := allowed(); n != 0 {
		t.Errorf("%d more 1 s before its level is dry: a second quota", n)
	}
	if !b.quota.hasNonEmptyLevels(now) || b.quota.levels["a"] == nil {
		t.Error("a tenant whose level is not dry was let go")
	}
	pass(12 * time.Second)
	if b.quota.levels["a"] != nil {
		t.Error("a tenant whose level is dry is kept")
	}
	if n := allowed(); n != 10 {
		t.Errorf("back later it has %d of 10", n)
	}
	now += time.Minute
	if b.quota.hasNonEmptyLevels(now) || len(b.quota.sweepOrder) != 0 {
		t.Errorf("%d tenants owe something a minute later", len(b.quota.sweepOrder))
	}
}

// TestQuotaChanges: the level of a tenant that has sent stays, and the new rate counts from then on.
func TestQuotaChanges(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 1, NewTenants([]Tenant{{"a", 10}})
	b, _ := start(t, s, nil)
	for range 20 {
		b.overQuota("a", time.Hour)
	}
	now := time.Hour + time.Second // 10 of the 20 are worked off
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
		t.Errorf("after it has gone: %v, %d kept", err, len(b.quota.sweepOrder))
	}
}

// TestTenantsTable compares tables with a map over random changes: what is made stays as it is, and one change copies
// little.
func TestTenantsTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(36, 2))
	table, want := NewTenants(nil), map[string]float64{}
	var versions []tableVersion
	for range 300 {
		var changed []Tenant
		var gone []string
		for range rng.IntN(20) {
			gone = append(gone, fmt.Sprint(rng.IntN(3000)))
		}
		for range rng.IntN(60) {
			changed = append(changed, Tenant{fmt.Sprint(rng.IntN(3000)), rng.Float64()})
		}
		before := table
		table, want = table.With(changed, gone), changedMap(want, changed, gone)
		versions = append(versions, tableVersion{table, want})
		if table.Equal(before) && !sameMap(want, versions[max(0, len(versions)-2)].want) {
			t.Fatal("a changed table is equal to the one before")
		}
	}
	for _, x := range versions {
		x.check(t)
	}
	var list []Tenant
	for name, quota := range want {
		list = append(list, Tenant{name, quota})
	}
	fresh, empty := NewTenants(list), (*Tenants)(nil)
	if !fresh.Equal(table) || !table.Equal(fresh) || fresh.Equal(nil) || !empty.Equal(NewTenants(nil)) {
		t.Error("Equal is wrong")
	}
}

// tableVersion is a table and what it is to hold.
type tableVersion struct {
	table *Tenants
	want  map[string]float64
}

func (x tableVersion) check(t *testing.T) {
	t.Helper()
	sum, n := 0.0, 0
	for e := range x.table.All() {
		if quota, known := x.want[e.Name]; !known || quota != e.Quota {
			t.Fatalf("%q has %v, want %v", e.Name, e.Quota, quota)
		}
		n++
	}
	for name, quota := range x.want {
		if got, known := x.table.Quota(name); !known || got != quota {
			t.Fatalf("%q has %v (%v), want %v", name, got, known, quota)
		}
		sum += quota / 4
	}
	if n != len(x.want) || x.table.Len() != n || math.Abs(x.table.ratePerBalancer(4)-sum) > 1e-6 {
		t.Fatalf("%d tenants with %v in all, want %d with %v", n, x.table.ratePerBalancer(4), len(x.want), sum)
	}
}

// changedMap is what a table of these quotas is to hold after a change.
func changedMap(quotas map[string]float64, changed []Tenant, gone []string) map[string]float64 {
	next := map[string]float64{}
	for name, quota := range quotas {
		if !slices.Contains(gone, name) {
			next[name] = quota
		}
	}
	for _, x := range changed {
		next[x.Name] = x.Quota
	}
	return next
}

func sameMap(x, y map[string]float64) bool {
	for name, quota := range x {
		if q, known := y[name]; !known || q != quota {
			return false
		}
	}
	return len(x) == len(y)
}

// TestBadTenantsStayBad: a table made from a bad one is not mended by chance, and names the tenant.
func TestBadTenantsStayBad(t *testing.T) {
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
		t.Error("a quota that is no number is taken")
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
