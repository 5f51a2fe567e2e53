package config

import (
	"fmt"
	"time"

	"olivearch/internal/strictyaml"
)

const (
	// reservedDescriptors are for listening sockets, logs, endpoint lists and connections that are being closed.
	reservedDescriptors = 48
	// memoryPerRequest is what a queued or running request may take, in bytes: a body in each direction, and both heads.
	memoryPerRequest = 160 << 10
	// memoryWithoutRequests is what the process takes without any request, in bytes.
	memoryWithoutRequests = 24 << 20
	// defaultMemory is limits.memory if it is left out, in bytes.
	defaultMemory = 192 << 20

	minMemory          = 32 << 20 // bytes
	minDescriptors     = 64
	defaultDescriptors = 1024
	// minHead and maxHead bound Listener.Head, in bytes. memoryPerRequest includes two heads.
	minHead = 1 << 10
	maxHead = 64 << 10
)

// listenerPath returns the path of a listener in the file.
func listenerPath(index int) string { return fmt.Sprintf("listeners[%d]", index) }

// listeners checks the names and addresses of the listeners, and the listener for operators.
func (k *checker) listeners() {
	if len(k.Listeners) == 0 {
		k.Fail("listeners", "at least one listener is wanted")
	}
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i := range k.Listeners {
		path := listenerPath(i)
		listener := &k.Listeners[i]
		address, ok := k.address(path+".address", listener.Address)
		strictyaml.SetDefault(&listener.Name, listener.Address)
		if ok && addresses[address.String()] {
			k.Fail(path+".address", "two listeners have the address %s", address)
		}
		if names[listener.Name] {
			k.Fail(path, "two listeners have the name %q", listener.Name)
		}
		names[listener.Name] = true
		addresses[address.String()] = true
		if listener.Connections < 0 {
			k.Fail(path+".connections", "connections must be over 0")
		}
	}
	if k.Admin != nil {
		k.admin()
	}
}

// admin checks the listener for operators.
func (k *checker) admin() {
	address, ok := k.address("admin.address", k.Admin.Address)
	if ok && !address.Addr().IsLoopback() && !k.Admin.Open {
		k.Fail("admin.address", "%s can be reached by others, and the live view asks for no password: "+
			"if that is meant, add \"open: true\"", address)
	}
}

// limits checks the limits of the process, its rank among the instances, and the limits of each listener.
func (k *checker) limits() {
	limits := &k.Limits
	strictyaml.SetDefault(&limits.Memory, defaultMemory)
	strictyaml.SetDefault(&limits.Descriptors, defaultDescriptors)
	strictyaml.SetDefault(&limits.NodeConnections, 64)
	if limits.Memory < minMemory {
		k.Fail("limits.memory", "at least 32MiB are needed")
	}
	if limits.Descriptors < minDescriptors {
		k.Fail("limits.descriptors", "at least 64 are needed")
	}
	if limits.NodeConnections < 1 {
		k.Fail("limits.node_connections", "node_connections must be over 0")
	}
	strictyaml.SetDefault(&k.Instances.Count, 1)
	rank := k.Instances.Rank
	if k.Instances.Count < 1 || rank < 0 || rank >= k.Instances.Count {
		k.Fail("instances", "rank must be from 0 to count - 1")
	}
	strictyaml.SetDefault(&limits.Bodies, limits.Memory/8)
	if limits.Bodies < 0 || limits.Bodies >= limits.Memory {
		k.Fail("limits.bodies", "bodies must not be negative, and must be less than limits.memory")
	}
	for i := range k.Listeners {
		k.listenerLimits(listenerPath(i), &k.Listeners[i])
	}
}

// listenerLimits checks the limits of one listener.
func (k *checker) listenerLimits(path string, listener *Listener) {
	strictyaml.SetDefault(&listener.Connections, max(1, k.Limits.Descriptors/2/len(k.Listeners)))
	strictyaml.SetDefault(&listener.Head, 16<<10)
	strictyaml.SetDefault(&listener.Within, Duration(10*time.Second))
	strictyaml.SetDefault(&listener.Rate, 8<<10)
	if listener.Head < minHead || listener.Head > maxHead {
		k.Fail(path+".head", "head must be from 1KiB to 64KiB")
	}
	if listener.Within < Duration(time.Second) {
		k.Fail(path+".within", "within must be at least 1s")
	}
}

// combinedLimits checks that the limits of all listeners and pools together fit in the limits of the process, so that
// no pool can use up the resources of another.
func (k *checker) combinedLimits() {
	connections := reservedDescriptors
	for _, listener := range k.Listeners {
		connections += listener.Connections
	}
	queued := 0
	for _, pool := range k.Pools {
		connections += pool.Connections
		queued += pool.Queue
	}
	if connections > k.Limits.Descriptors {
		k.Fail("limits.descriptors", "listeners and pools may take %d with a reserve of %d, more than the %d there are: "+
			"lower their connections or raise the limit", connections, reservedDescriptors, k.Limits.Descriptors)
	}
	for i, listener := range k.Listeners {
		if queued > listener.Connections {
			k.Fail(listenerPath(i)+".connections", "pools may hold %d requests, more than the %d connections: "+
				"a pool that stalls could use up the connections of others", queued, listener.Connections)
		}
	}
	memory := int64(memoryWithoutRequests+queued*memoryPerRequest) + int64(k.Limits.Bodies)
	if memory > int64(k.Limits.Memory) {
		k.Fail("limits.memory", "pools may hold %d requests, which can take %d MiB with the %d MiB of limits.bodies; "+
			"lower their queues or raise the limit", queued, roundedUpMiB(memory), k.Limits.Bodies>>20)
	}
}

// roundedUpMiB returns an amount of memory in MiB, rounded up.
func roundedUpMiB(bytes int64) int64 { return (bytes + 1<<20 - 1) >> 20 }
