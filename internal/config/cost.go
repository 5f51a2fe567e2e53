package config

import "fmt"

// Memory estimates in bytes, from the measurements in docs/design/configuration.md. Those of pools and nodes are for
// pools in use, and include garbage that is not collected yet.
const (
	processBytes = 12 << 20 // a process with the smallest configuration
	poolBytes    = 36 << 10
	nodeBytes    = 1600
	routeBytes   = 500
	tenantBytes  = 48
	textCopies   = 2 // of the file: the text of the configuration in force, and the buffer for the next text
)

// descriptorsAtRest is the number of descriptors that a process without clients has open beside its listeners and its
// connections to discovery: three standard streams, the runtime's poller and its event descriptor, and the inotify
// instance that watches endpoint lists.
const descriptorsAtRest = 6

// Cost is the estimated resource use of a configuration.
type Cost struct {
	Pools, Nodes, Routes, Tenants   int
	ResidentBytes                   int64 // bytes of memory with all pools in use and without requests
	ReadingBytes                    int64 // maximum bytes of memory while a new process reads the file
	IdleDescriptors, MaxDescriptors int   // descriptors without clients, and with all connections of listeners and pools
}

// Cost estimates the resource use of the configuration with a number of nodes in all its endpoint lists together.
func (c *Loaded) Cost(nodes int) Cost {
	cost := Cost{
		Pools: len(c.Pools), Nodes: nodes, Routes: c.Table.Len(), Tenants: c.Tenants.Len(),
		ReadingBytes:    processBytes + readingBytes(c.source != nil, c.fileSize),
		IdleDescriptors: descriptorsAtRest + len(c.Listeners),
		MaxDescriptors:  reservedDescriptors,
	}
	cost.ResidentBytes = cost.residentBytes(c.fileSize)
	if c.Admin != nil {
		cost.IdleDescriptors++
	}
	for _, listener := range c.Listeners {
		cost.MaxDescriptors += listener.Connections
	}
	for _, pool := range c.Pools {
		cost.MaxDescriptors += pool.Connections
		if pool.Nodes.Discovery != "" {
			cost.IdleDescriptors++
		}
	}
	return cost
}

// residentBytes returns the memory of a configuration with these numbers of entries and a text of textSize bytes.
func (c Cost) residentBytes(textSize int) int64 {
	total := int64(processBytes)
	total += int64(c.Pools) * poolBytes
	total += int64(c.Nodes) * nodeBytes
	total += int64(c.Routes) * routeBytes
	total += int64(c.Tenants) * tenantBytes
	total += int64(textSize) * textCopies
	return total
}

// CheckMemory returns a strictyaml.Error at limits.memory if that is less than the memory that the configuration
// needs with a number of nodes in all its endpoint lists together.
func (c *Loaded) CheckMemory(nodes int) error {
	cost := c.Cost(nodes)
	if cost.ResidentBytes <= int64(c.Limits.Memory) {
		return nil
	}
	err := c.memoryLimitError
	err.Text = fmt.Sprintf("%d pools, %d nodes, %d routes and %d tenants take about %d MiB without any request, "+
		"more than the %d MiB of limits.memory", cost.Pools, cost.Nodes, cost.Routes, cost.Tenants,
		roundedUpMiB(cost.ResidentBytes), c.Limits.Memory>>20)
	return err
}
