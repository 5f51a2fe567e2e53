package balancer

import (
	"iter"
	"math/bits"
	"slices"
	"strings"
	"sync/atomic"
)

// Tenants is a table of tenants' quotas. It never changes once it is made, so any number of Balancers may
// share it: With
// makes another that has all but the shards concerned in common with it. An entry takes 24 bytes and those of
// its name; the
// nil table is empty.
type Tenants struct {
	shards [][]Tenant // by the high bits of the name's hash, each in order of names
	shift  int
	n      int
	err    error                    // what is wrong with the list
	part   atomic.Pointer[evenPart] // of the last that asked
}

// evenPart is the sum of the quotas' parts for one of so many balancers, in requests a second.
type evenPart struct {
	balancers int
	rate      float64
}

// shardTenants is how many tenants a shard has on average, at most: a change copies one shard, a look-up halves it.
const shardTenants = 32

// NewTenants returns a table of the tenants in a list. What is wrong with the list (a name that stands twice,
// a quota that is
// negative or not finite) is told by Settings.Validate.
func NewTenants(list []Tenant) *Tenants {
	t := newTenants(len(list))
	sizes := make([]int32, len(t.shards))
	for i := range list {
		sizes[t.shard(list[i].Name)]++
	}
	for i, n := range sizes {
		t.shards[i] = make([]Tenant, 0, n)
	}
	for _, x := range list {
		t.check(x)
		at := t.shard(x.Name)
		t.shards[at] = append(t.shards[at], x)
	}
	for _, shard := range t.shards {
		slices.SortFunc(shard, byName)
		for i := 1; i < len(shard) && t.err == nil; i++ {
			if shard[i].Name == shard[i-1].Name {
				t.err = badTenant(shard[i].Name)
			}
		}
		pack(shard)
	}
	t.n = len(list)
	return t
}

// pack puts a shard's names into one string, so that the collector has one thing to look at and not one for each.
func pack(shard []Tenant) {
	var names strings.Builder
	n := 0
	for i := range shard {
		n += len(shard[i].Name)
	}
	names.Grow(n)
	for i := range shard {
		names.WriteString(shard[i].Name)
	}
	rest := names.String()
	for i := range shard {
		n := len(shard[i].Name)
		shard[i].Name, rest = rest[:n], rest[n:]
	}
}

func newTenants(n int) *Tenants {
	high := bits.Len(uint(n / shardTenants))
	return &Tenants{shards: make([][]Tenant, 1<<high), shift: 64 - high}
}

func byName(x, y Tenant) int { return strings.Compare(x.Name, y.Name) }

func badTenant(name string) error {
	return bad("tenant %q is set twice or has a Quota that is negative or not finite", name)
}

func (t *Tenants) check(x Tenant) {
	if t.err == nil && !amount(x.Quota) {
		t.err = badTenant(x.Name)
	}
}

// shard is where a name stands: FNV-1a, spread over the high bits.
func (t *Tenants) shard(name string) int {
	if len(t.shards) == 1 {
		return 0
	}
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return int((h ^ h>>29) * 0x9e3779b97f4a7c15 >> t.shift)
}

func (t *Tenants) find(name string) (shard, at int, found bool) {
	shard = t.shard(name)
	at, found = slices.BinarySearchFunc(t.shards[shard], name, func(x Tenant, name string) int {
		return strings.Compare(x.Name, name)
	})
	return shard, at, found
}

// Err is what is wrong with the list; Settings.Validate tells the same.
func (t *Tenants) Err() error {
	if t == nil {
		return nil
	}
	return t.err
}

// Len is the number of tenants.
func (t *Tenants) Len() int {
	if t == nil {
		return 0
	}
	return t.n
}

// Quota returns what a tenant has bought, in requests a second over all balancers.
func (t *Tenants) Quota(name string) (quota float64, known bool) {
	if t == nil || t.n == 0 {
		return 0, false
	}
	shard, at, known := t.find(name)
	if known {
		quota = t.shards[shard][at].Quota
	}
	return quota, known
}

// All goes over the tenants, in an order that depends on their names alone.
func (t *Tenants) All() iter.Seq[Tenant] {
	return func(yield func(Tenant) bool) {
		if t == nil {
			return
		}
		for _, shard := range t.shards {
			for _, x := range shard {
				if !yield(x) {
					return
				}
			}
		}
	}
}

// With returns a table in which the tenants of a list have new quotas or are new, and those named are gone. t
// stays as it is.
func (t *Tenants) With(changed []Tenant, gone []string) *Tenants {
	if t == nil {
		t = NewTenants(nil)
	}
	if n := t.n + len(changed); t.err != nil || n > 2*shardTenants*len(t.shards) { // grown well beyond its shards
		drop := make(map[string]bool, len(changed)+len(gone))
		for _, name := range gone {
			drop[name] = true
		}
		for _, x := range changed {
			drop[x.Name] = true
		}
		list := make([]Tenant, 0, n)
		for x := range t.All() {
			if !drop[x.Name] {
				list = append(list, x)
			}
		}
		return NewTenants(append(list, changed...))
	}
	next := &Tenants{shards: slices.Clone(t.shards), shift: t.shift, n: t.n}
	for _, name := range gone {
		if shard, at, found := next.find(name); found {
			next.shards[shard] = slices.Delete(slices.Clone(next.shards[shard]), at, at+1)
			next.n--
		}
	}
	for _, x := range changed {
		next.check(x)
		shard, at, found := next.find(x.Name)
		own := slices.Clone(next.shards[shard])
		if found {
			own[at] = x
		} else {
			own = slices.Insert(own, at, x)
			next.n++
		}
		next.shards[shard] = own
	}
	return next
}

// Equal reports whether two tables have the same tenants with the same quotas. What they share is not looked at.
func (t *Tenants) Equal(o *Tenants) bool {
	if t == o || t.Len() == 0 && o.Len() == 0 {
		return true
	}
	if t.Len() != o.Len() {
		return false
	}
	if len(t.shards) != len(o.shards) {
		for x := range t.All() {
			if quota, known := o.Quota(x.Name); !known || quota != x.Quota {
				return false
			}
		}
		return true
	}
	for i, x := range t.shards {
		if y := o.shards[i]; len(x) != len(y) || len(x) > 0 && &x[0] != &y[0] && !slices.Equal(x, y) {
			return false
		}
	}
	return true
}

// evenPart is the sum of all quotas' parts for one of so many balancers.
func (t *Tenants) evenPart(balancers int) float64 {
	if t == nil {
		return 0
	}
	if p := t.part.Load(); p != nil && p.balancers == balancers {
		return p.rate
	}
	p := &evenPart{balancers: balancers}
	for x := range t.All() {
		p.rate += x.Quota / float64(balancers)
	}
	t.part.Store(p)
	return p.rate
}
