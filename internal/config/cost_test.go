package config

import (
	"runtime"
	"testing"
)

// heapBytes returns a value and how much of the heap it takes, in bytes.
func heapBytes[T any](create func() T) (value T, bytes int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value = create()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(create) // it holds the text
	return value, int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// TestBytesPerEntry: what a route and a tenant take while they are held, beside their text.
func TestBytesPerEntry(t *testing.T) {
	parse := func(routes, tenants int) func() *Loaded {
		text := generated(490, routes, tenants)
		return func() *Loaded {
			c, err := Parse("c.yaml", text)
			if err != nil {
				t.Fatal(err)
			}
			c.source = nil
			return c
		}
	}
	parse(10, 1)() // what is made once
	few, base := heapBytes(parse(500, 1))
	routes, withRoutes := heapBytes(parse(15500, 1))
	tenants, withTenants := heapBytes(parse(500, 140001))
	perRoute, perTenant := (withRoutes-base)/15000, (withTenants-base)/140000
	t.Logf("%d bytes a route, %d a tenant", perRoute, perTenant)
	if perRoute > routeBytes || perTenant > tenantBytes {
		t.Errorf("%d bytes a route, %d a tenant; estimates go by %d and %d", perRoute, perTenant, routeBytes, tenantBytes)
	}
	runtime.KeepAlive([]*Loaded{few, routes, tenants})
}
