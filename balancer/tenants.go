package balancer

import (
	"iter"
	"math/bits"
	"slices"
	"strings"
	"sync/atomic"
)

// Tenants is a table of tenants' quotas. It never changes once it is made, so any number of Balancers may share it:
// With makes another that has all but the shards concerned in common with it. An entry takes 24 bytes and those of its
// name; the nil table is empty.
type Tenants struct {
	shards [][]Tenant // by the high bits of the name's hash, each in order of names
	shift  int        // of the hash, down to the index of a shard
	count  int
	err    error                    // what is wrong with the list
	even   atomic.Pointer[evenPart] // for the number of balancers that was last asked for
}

// evenPart is the sum of all quotas' parts for one of so many balancers, in requests a second.
type evenPart struct {
	balancers int
	rate      float64
}

// shardTenants is how many tenants a shard has on average, at most: a change copies one shard, a look-up halves it.
const shardTenants = 32

// NewTenants returns a table of the tenants in a list. What is wrong with the list (a name that stands twice, a quota
// that is negative or not finite) is told by Settings.Validate.
func NewTenants(list []Tenant) *Tenants {
	table := newTenants(len(list))
	table.count = len(list)
	sizes := make([]int32, len(table.shards))
	for i := range list {
		sizes[table.shard(list[i].Name)]++
	}
	for i, size := range sizes {
		table.shards[i] = make([]Tenant, 0, size)
	}
	for _, tenant := range list {
		table.check(tenant)
		at := table.shard(tenant.Name)
		table.shards[at] = append(table.shards[at], tenant)
	}
	for _, shard := range table.shards {
		slices.SortFunc(shard, byName)
		table.checkNames(shard)
		pack(shard)
	}
	return table
}

// newTenants returns a table with room for so many tenants.
func newTenants(count int) *Tenants {
	high := bits.Len(uint(count / shardTenants))
	return &Tenants{shards: make([][]Tenant, 1<<high), shift: 64 - high}
}

// pack puts a shard's names into one string, so that the collector has one thing to look at and not one for each.
func pack(shard []Tenant) {
	size := 0
	for i := range shard {
		size += len(shard[i].Name)
	}
	var names strings.Builder
	names.Grow(size)
	for i := range shard {
		names.WriteString(shard[i].Name)
	}
	rest := names.String()
	for i := range shard {
		length := len(shard[i].Name)
		shard[i].Name, rest = rest[:length], rest[length:]
	}
}

func byName(x, y Tenant) int { return strings.Compare(x.Name, y.Name) }

func badTenant(name string) error {
	return bad("tenant %q is set twice or has a Quota that is negative or not finite", name)
}

// check notes a quota that is out of range, if nothing was wrong before.
func (t *Tenants) check(tenant Tenant) {
	if t.err == nil && !amount(tenant.Quota) {
		t.err = badTenant(tenant.Name)
	}
}

// checkNames notes a name that stands twice in a shard in order, if nothing was wrong before.
func (t *Tenants) checkNames(shard []Tenant) {
	for i := 1; i < len(shard) && t.err == nil; i++ {
		if shard[i].Name == shard[i-1].Name {
			t.err = badTenant(shard[i].Name)
		}
	}
}

// shard is where a name stands: FNV-1a, spread over the high bits.
func (t *Tenants) shard(name string) int {
	if len(t.shards) == 1 {
		return 0
	}
	const offsetBasis, prime = 14695981039346656037, 1099511628211
	hash := uint64(offsetBasis)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return int((hash ^ hash>>29) * 0x9e3779b97f4a7c15 >> t.shift)
}

// find returns where a name stands, or would stand.
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
	return t.count
}

// Quota returns what a tenant has bought, in requests a second over all balancers.
func (t *Tenants) Quota(name string) (quota float64, known bool) {
	if t == nil || t.count == 0 {
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
			for _, tenant := range shard {
				if !yield(tenant) {
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
	outgrown := t.count+len(changed) > 2*shardTenants*len(t.shards)
	if t.err != nil || outgrown {
		return t.rebuilt(changed, gone)
	}
	next := &Tenants{shards: slices.Clone(t.shards), shift: t.shift, count: t.count}
	for _, name := range gone {
		next.remove(name)
	}
	for _, tenant := range changed {
		next.check(tenant)
		next.set(tenant)
	}
	return next
}

// rebuilt is With by a new table.
func (t *Tenants) rebuilt(changed []Tenant, gone []string) *Tenants {
	dropped := make(map[string]bool, len(changed)+len(gone))
	for _, name := range gone {
		dropped[name] = true
	}
	for _, tenant := range changed {
		dropped[tenant.Name] = true
	}
	list := make([]Tenant, 0, t.count+len(changed))
	for tenant := range t.All() {
		if !dropped[tenant.Name] {
			list = append(list, tenant)
		}
	}
	return NewTenants(append(list, changed...))
}

// remove takes a tenant out of a table that no one else has yet; its shard is copied.
func (t *Tenants) remove(name string) {
	shard, at, found := t.find(name)
	if !found {
		return
	}
	t.shards[shard] = slices.Delete(slices.Clone(t.shards[shard]), at, at+1)
	t.count--
}

// set puts a tenant into a table that no one else has yet; its shard is copied.
func (t *Tenants) set(tenant Tenant) {
	shard, at, found := t.find(tenant.Name)
	own := slices.Clone(t.shards[shard])
	if found {
		own[at] = tenant
	} else {
		own = slices.Insert(own, at, tenant)
		t.count++
	}
	t.shards[shard] = own
}

// Equal reports whether two tables have the same tenants with the same quotas. What they share is not looked at.
func (t *Tenants) Equal(other *Tenants) bool {
	if t == other || t.Len() == 0 && other.Len() == 0 {
		return true
	}
	if t.Len() != other.Len() {
		return false
	}
	if len(t.shards) != len(other.shards) {
		return t.within(other)
	}
	for i := range t.shards {
		if !equalShards(t.shards[i], other.shards[i]) {
			return false
		}
	}
	return true
}

// within reports whether another table has all tenants of t with the same quotas.
func (t *Tenants) within(other *Tenants) bool {
	for tenant := range t.All() {
		if quota, known := other.Quota(tenant.Name); !known || quota != tenant.Quota {
			return false
		}
	}
	return true
}

// equalShards compares two shards; one that is shared is not looked at.
func equalShards(x, y []Tenant) bool {
	if len(x) != len(y) {
		return false
	}
	shared := len(x) > 0 && &x[0] == &y[0]
	return shared || slices.Equal(x, y)
}

// evenPart is the sum of all quotas' parts for one of so many balancers, in requests a second.
func (t *Tenants) evenPart(balancers int) float64 {
	if t == nil {
		return 0
	}
	if known := t.even.Load(); known != nil && known.balancers == balancers {
		return known.rate
	}
	part := &evenPart{balancers: balancers}
	for tenant := range t.All() {
		part.rate += tenant.Quota / float64(balancers)
	}
	t.even.Store(part)
	return part.rate
}
