package scenario

import (
	"fmt"
	"strings"
	"time"
)

// Pool is the name of the one pool of Config.
const Pool = "pool"

// Config is olivearch's configuration for a scenario: the sample's defaults, with the caps that all contenders have. Nodes
// is what stands in the pool's "nodes".
func (f *File) Config(listen, admin, nodes string) string {
	var t strings.Builder
	total, cold, ramp, tip, tipAfter := 0, 1.0, time.Duration(0), 0.0, time.Duration(0)
	for _, g := range f.Fleet {
		total += g.Count
		cold, ramp = min(cold, g.ColdFrom), max(ramp, time.Duration(g.RampTime))
		if g.TipMultiple > 0 && (tip == 0 || g.TipMultiple < tip) {
			tip, tipAfter = g.TipMultiple, time.Duration(g.TipAfter)
		}
	}
	links := min(total*f.Connections, 4000)
	fmt.Fprintf(&t, "listeners: [{address: %q, connections: %d}]\nadmin: {address: %q}\n", listen, f.Queue+64, admin)
	fmt.Fprintf(&t, "limits: {memory: %dMiB, descriptors: %d, node_connections: %d}\n", 256+f.Queue/4, f.Queue+64+links+64, f.Connections)
	if f.Balancers > 1 {
		fmt.Fprintf(&t, "instances: {count: %d}\n", f.Balancers)
	}
	fmt.Fprintf(&t, "rules: {cold_from: %g", cold)
	if ramp > 0 {
		fmt.Fprintf(&t, ", ramp_time: %v", ramp)
	}
	if tip > 0 {
		fmt.Fprintf(&t, ", tip_multiple: %g, tip_after: %v", tip, tipAfter)
	}
	t.WriteString("}\nclasses:\n")
	for _, l := range f.Load {
		fmt.Fprintf(&t, "  %s: {repeat: %s, aim: %v, deadline: %v, worth: %g}\n", l.Name, l.Repeat, time.Duration(l.Aim), time.Duration(l.Deadline), l.Worth)
	}
	tenants := map[string]bool{}
	for _, l := range f.Load {
		if l.Quota > 0 && !tenants[l.Tenant] {
			if len(tenants) == 0 {
				t.WriteString("tenants:\n")
			}
			tenants[l.Tenant] = true
			fmt.Fprintf(&t, "  %s: {quota: %g}\n", l.Tenant, l.Quota)
		}
	}
	fmt.Fprintf(&t, "pools:\n  %s: {connections: %d, queue: %d, nodes: %s}\nroutes:\n", Pool, links, f.Queue, nodes)
	for _, l := range f.Load {
		fmt.Fprintf(&t, "  - {name: %s, path: {prefix: /%s}, class: %s, pool: %s}\n", l.Name, l.Name, l.Name, Pool)
	}
	return t.String()
}
