package balancer

import (
	"iter"
	"math/bits"
	"slices"
	"strings"
	"sync/atomic"
)

// Tenants is a table of tenants' quotas. It is immutable, so any number of Balancers may share it: With returns another
// table, which shares the unchanged shards. An entry takes 24 bytes and those of its name. A nil table is empty.
type Tenants struct {
	shards      [][]Tenant // by the high bits of the name's hash; each sorted by name
	shift       int        // right shift from a hash to the index of its shard
	count       int
	err         error                           // the first invalid tenant found
	perBalancer atomic.Pointer[perBalancerRate] // for the number of balancers last asked for
}

// perBalancerRate is one balancer's equal part of the sum of all quotas, in requests a second.
type perBalancerRate struct {
	balancers int
	rate      float64
}

// tenantsPerShard is the highest mean size of a shard in a new table. A change copies one shard, and a look-up searches
// one.
const tenantsPerShard = 32

// NewTenants returns a table of the tenants in a list. If a name occurs twice, or a quota is negative or not finite,
// Err and Settings.Validate return an error.
func NewTenants(list []Tenant) *Tenants {
	table := newTenants(len(list))
	table.count = len(list)
	sizes := make([]int32, len(table.shards))
	for i := range list {
		sizes[table.shardIndex(list[i].Name)]++
	}
	for i, size := range sizes {
		table.shards[i] = make([]Tenant, 0, size)
	}
	for _, tenant := range list {
		table.checkQuota(tenant)
		at := table.shardIndex(tenant.Name)
		table.shards[at] = append(table.shards[at], tenant)
	}
	for _, shard := range table.shards {
		slices.SortFunc(shard, byName)
		table.checkNames(shard)
		packNames(shard)
	}
	return table
}

// newTenants returns an empty table with enough shards for a number of tenants.
func newTenants(count int) *Tenants {
	high := bits.Len(uint(count / tenantsPerShard))
	return &Tenants{shards: make([][]Tenant, 1<<high), shift: 64 - high}
}

// packNames copies a shard's names into one string, so that the garbage collector has one object to scan instead of one
// per name.
func packNames(shard []Tenant) {
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

func invalidTenant(name string) error {
	return invalidSetting("tenant %q is set twice or has a Quota that is negative or not finite", name)
}

// checkQuota sets t.err if a quota is out of range and no error is set yet.
func (t *Tenants) checkQuota(tenant Tenant) {
	if t.err == nil && !isFiniteNonNegative(tenant.Quota) {
		t.err = invalidTenant(tenant.Name)
	}
}

// checkNames sets t.err if a name occurs twice in a sorted shard and no error is set yet.
func (t *Tenants) checkNames(shard []Tenant) {
	for i := 1; i < len(shard) && t.err == nil; i++ {
		if shard[i].Name == shard[i-1].Name {
			t.err = invalidTenant(shard[i].Name)
		}
	}
}

// shardIndex returns the index of a name's shard: the high bits of its FNV-1a hash, after a mixing step that makes them
// depend on all bits of the hash.
func (t *Tenants) shardIndex(name string) int {
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

// find returns the position of a name in the table, or the position at which to insert it.
func (t *Tenants) find(name string) (shard, at int, found bool) {
	shard = t.shardIndex(name)
	at, found = slices.BinarySearchFunc(t.shards[shard], name, func(x Tenant, name string) int {
		return strings.Compare(x.Name, name)
	})
	return shard, at, found
}

// Err returns an error that names an invalid tenant of the list, or nil. It wraps ErrSettings.
func (t *Tenants) Err() error {
	if t == nil {
		return nil
	}
	return t.err
}

// Len returns the number of tenants.
func (t *Tenants) Len() int {
	if t == nil {
		return 0
	}
	return t.count
}

// Quota returns a tenant's quota, in requests a second over all balancers.
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

// All returns an iterator over the tenants. Their order depends only on their names and the number of shards.
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

// With returns a copy of t with some tenants added or changed and others removed. Tenants in both lists are added or
// changed.
func (t *Tenants) With(changed []Tenant, removed []string) *Tenants {
	if t == nil {
		t = NewTenants(nil)
	}
	outgrown := t.count+len(changed) > 2*tenantsPerShard*len(t.shards)
	if t.err != nil || outgrown {
		return t.rebuilt(changed, removed)
	}
	next := &Tenants{shards: slices.Clone(t.shards), shift: t.shift, count: t.count}
	for _, name := range removed {
		next.remove(name)
	}
	for _, tenant := range changed {
		next.checkQuota(tenant)
		next.set(tenant)
	}
	return next
}

// rebuilt does the same as With, but builds all shards anew.
func (t *Tenants) rebuilt(changed []Tenant, removed []string) *Tenants {
	excluded := make(map[string]bool, len(changed)+len(removed))
	for _, name := range removed {
		excluded[name] = true
	}
	for _, tenant := range changed {
		excluded[tenant.Name] = true
	}
	list := make([]Tenant, 0, t.count+len(changed))
	for tenant := range t.All() {
		if !excluded[tenant.Name] {
			list = append(list, tenant)
		}
	}
	return NewTenants(append(list, changed...))
}

// remove deletes a tenant from a table that is not shared yet. It copies the shard, which other tables may share.
func (t *Tenants) remove(name string) {
	shard, at, found := t.find(name)
	if !found {
		return
	}
	t.shards[shard] = slices.Delete(slices.Clone(t.shards[shard]), at, at+1)
	t.count--
}

// set adds or changes a tenant in a table that is not shared yet. It copies the shard, which other tables may share.
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

// Equal reports whether two tables have the same tenants with the same quotas. It skips shards that they share.
func (t *Tenants) Equal(other *Tenants) bool {
	if t == other || t.Len() == 0 && other.Len() == 0 {
		return true
	}
	if t.Len() != other.Len() {
		return false
	}
	if len(t.shards) != len(other.shards) {
		return t.containedIn(other)
	}
	for i := range t.shards {
		if !equalShards(t.shards[i], other.shards[i]) {
			return false
		}
	}
	return true
}

// containedIn reports whether another table has all tenants of t, with the same quotas.
func (t *Tenants) containedIn(other *Tenants) bool {
	for tenant := range t.All() {
		if quota, known := other.Quota(tenant.Name); !known || quota != tenant.Quota {
			return false
		}
	}
	return true
}

// equalShards reports whether two shards are equal. It returns at once if they are the same slice.
func equalShards(x, y []Tenant) bool {
	if len(x) != len(y) {
		return false
	}
	shared := len(x) > 0 && &x[0] == &y[0]
	return shared || slices.Equal(x, y)
}

// ratePerBalancer returns one balancer's equal part of the sum of all quotas, in requests a second.
func (t *Tenants) ratePerBalancer(balancers int) float64 {
	if t == nil {
		return 0
	}
	if known := t.perBalancer.Load(); known != nil && known.balancers == balancers {
		return known.rate
	}
	part := &perBalancerRate{balancers: balancers}
	for tenant := range t.All() {
		part.rate += tenant.Quota / float64(balancers)
	}
	t.perBalancer.Store(part)
	return part.rate
}
