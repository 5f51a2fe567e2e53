package config

import (
	"runtime"
	"testing"
)

// heapBytes returns a new value and the heap memory that it takes, in bytes.
func heapBytes[T any](create func() T) (value T, bytes int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value = create()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(create) // the closure refers to the text
	return value, int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// TestBytesPerEntry: routes and tenants take no more memory, apart from their text, than the estimates.
func TestBytesPerEntry(t *testing.T) {
	parse := func(routes, tenants int) func() *Loaded {
		text := generatedText(490, routes, tenants)
		return func() *Loaded {
			c, err := Parse("c.yaml", text)
			if err != nil {
				t.Fatal(err)
			}
			c.source = nil
			return c
		}
	}
	parse(10, 1)() // allocates what is allocated only once
	few, base := heapBytes(parse(500, 1))
	routes, withRoutes := heapBytes(parse(15500, 1))
	tenants, withTenants := heapBytes(parse(500, 140001))
	perRoute, perTenant := (withRoutes-base)/15000, (withTenants-base)/140000
	t.Logf("%d bytes a route, %d a tenant", perRoute, perTenant)
	if perRoute > routeBytes || perTenant > tenantBytes {
		t.Errorf("%d bytes a route, %d a tenant; the estimates are %d and %d", perRoute, perTenant, routeBytes, tenantBytes)
	}
	runtime.KeepAlive([]*Loaded{few, routes, tenants})
}
