package config

import "fmt"

// What things take in memory, in bytes, by docs/design/configuration.md, which names the runs that gave the figures.
// Pools and nodes count as in use, with the garbage that the collector has not freed yet.
const (
	processBytes = 12 << 20 // a process with the smallest configuration
	poolBytes    = 36 << 10
	nodeBytes    = 1600
	routeBytes   = 500
	tenantBytes  = 48
	textCopies   = 2 // of the file: the text of the configuration in force, and the buffer for the next
)

// descriptorsAtRest is how many descriptors a process has open beside its listeners and connections to discovery: the
// standard ones, the system's poller with its event, the watch of the lists.
const descriptorsAtRest = 6

// Cost is what a configuration takes.
type Cost struct {
	Pools, Nodes, Routes, Tenants int
	Resident                      int64 // memory with all pools in use and without requests, bytes
	Reading                       int64 // memory at most while the file is read by a new process, bytes
	AtRest, AtMost                int   // descriptors without clients, and with all that listeners and pools may take
}

// Cost estimates what the configuration takes with so many nodes over all its lists.
func (c *Loaded) Cost(nodes int) Cost {
	cost := Cost{
		Pools: len(c.Pools), Nodes: nodes, Routes: c.Table.Len(), Tenants: c.Tenants.Len(),
		Reading: processBytes + readingBytes(c.source != nil, c.fileSize),
		AtRest:  descriptorsAtRest + len(c.Listeners),
		AtMost:  reservedDescriptors,
	}
	cost.Resident = cost.residentBytes(c.fileSize)
	if c.Admin != nil {
		cost.AtRest++
	}
	for _, listener := range c.Listeners {
		cost.AtMost += listener.Connections
	}
	for _, pool := range c.Pools {
		cost.AtMost += pool.Connections
		if pool.Nodes.Discovery != "" {
			cost.AtRest++
		}
	}
	return cost
}

// residentBytes returns the memory that the numbers of entries and a text of so many bytes take.
func (c Cost) residentBytes(textSize int) int64 {
	total := int64(processBytes)
	total += int64(c.Pools) * poolBytes
	total += int64(c.Nodes) * nodeBytes
	total += int64(c.Routes) * routeBytes
	total += int64(c.Tenants) * tenantBytes
	total += int64(textSize) * textCopies
	return total
}

// CheckCapacity returns an error, a strictyaml.Error at limits.memory, if the memory is too little for the
// configuration with so many nodes.
func (c *Loaded) CheckCapacity(nodes int) error {
	cost := c.Cost(nodes)
	if cost.Resident <= int64(c.Limits.Memory) {
		return nil
	}
	err := c.memoryLimitError
	err.Text = fmt.Sprintf("%d pools, %d nodes, %d routes and %d tenants take about %d MiB without any request, "+
		"more than the %d MiB of limits.memory", cost.Pools, cost.Nodes, cost.Routes, cost.Tenants,
		roundedUpMiB(cost.Resident), c.Limits.Memory>>20)
	return err
}
