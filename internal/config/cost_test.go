package config

import (
	"runtime"
	"testing"
)

// lives is how much heap a value takes, in bytes.
func lives[T any](make func() T) (value T, bytes int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value = make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(make) // it holds the text
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
	few, base := lives(parse(500, 1))
	routes, withRoutes := lives(parse(15500, 1))
	tenants, withTenants := lives(parse(500, 140001))
	perRoute, perTenant := (withRoutes-base)/15000, (withTenants-base)/140000
	t.Logf("%d bytes a route, %d a tenant", perRoute, perTenant)
	if perRoute > routeBytes || perTenant > tenantBytes {
		t.Errorf("%d bytes a route, %d a tenant; estimates go by %d and %d", perRoute, perTenant, routeBytes, tenantBytes)
	}
	runtime.KeepAlive([]*Loaded{few, routes, tenants})
}
