package config

import (
	"fmt"

	"olivearch/internal/strictyaml"
)

// What things take in memory, in bytes, by docs/design/configuration.md, where the runs are named that gave the figures. Pools and nodes count
// as in use, with what the collector leaves lying.
const (
	processBytes = 12 << 20 // a process with the smallest configuration
	poolBytes    = 36 << 10
	nodeBytes    = 1600
	routeBytes   = 500
	tenantBytes  = 48
	textCopies   = 2  // of the file: the text that holds, and the buffer for the next
	partsFactor  = 12 // a file that is read in parts takes so many times its size meanwhile, with what comes of it
	wholeFactor  = 56 // and one that is read at once
)

// Cost is what a configuration takes.
type Cost struct {
	Pools, Nodes, Routes, Tenants int
	Resident                      int64 // memory with all pools in use and without requests, bytes
	Reading                       int64 // memory at most while the file is read by a new process, bytes
	AtRest, AtMost                int   // descriptors without clients, and with all that listeners and pools may take
}

// Cost estimates what the configuration takes with so many nodes over all its lists.
func (c *Loaded) Cost(nodes int) Cost {
	x := Cost{Pools: len(c.Pools), Nodes: nodes, Routes: c.Table.Len(), Tenants: c.Tenants.Len(), AtMost: reservedDescriptors}
	text := c.fileSize
	x.Resident = residentBytes(x.Pools, nodes, x.Routes, x.Tenants, text)
	x.Reading = processBytes + readingBytes(c.source != nil, text)
	x.AtRest = descriptorsAtRest + len(c.Listeners)
	if c.Admin != nil {
		x.AtRest++
	}
	for _, l := range c.Listeners {
		x.AtMost += l.Connections
	}
	for _, p := range c.Pools {
		x.AtMost += p.Connections
		if p.Nodes.Discovery != "" {
			x.AtRest++
		}
	}
	return x
}

// Bears fails, with the place in the file, if the memory does not bear the configuration with so many nodes.
func (c *Loaded) Bears(nodes int) error {
	x := c.Cost(nodes)
	if x.Resident <= int64(c.Limits.Memory) {
		return nil
	}
	wrong := c.memoryLimitError
	wrong.Text = fmt.Sprintf("%d pools, %d nodes, %d routes and %d tenants take about %d MiB without any request, more than the %d MiB of limits.memory",
		x.Pools, x.Nodes, x.Routes, x.Tenants, (x.Resident+1<<20-1)>>20, c.Limits.Memory>>20)
	return wrong
}

// descriptorsAtRest is how many descriptors a process has open beside its listeners and connections to discovery: the standard ones, the system's
// poller with its event, the watch of the lists.
const descriptorsAtRest = 6

func residentBytes(pools, nodes, routes, tenants, text int) int64 {
	return processBytes + int64(pools)*poolBytes + int64(nodes)*nodeBytes + int64(routes)*routeBytes + int64(tenants)*tenantBytes + int64(text)*textCopies
}

func readingBytes(parts bool, text int) int64 {
	if parts {
		return partsFactor * int64(text)
	}
	return wholeFactor * int64(text)
}

// memoryExceeded is a configuration that the memory can't bear.
type memoryExceeded struct{ error }

func (t memoryExceeded) Unwrap() error { return t.error }

// partialDiagnosis is what a reading in parts has found wrong, where reading the whole is more than the memory bears: there may be more.
type partialDiagnosis struct{ error }

func (k partialDiagnosis) Unwrap() error { return k.error }

// checkReadingMemory fails if the memory that a text gives does not bear reading it, and holding it, beside what the process holds already.
func checkReadingMemory(path string, at strictyaml.Position, memory Size, already int64, text int, parts bool, what string) error {
	need := max(processBytes, already) + readingBytes(parts, text)
	if need <= int64(memory) {
		return nil
	}
	beside := ""
	if already > 0 {
		beside = fmt.Sprintf(", %d MiB of it for the configuration that holds", already>>20)
	}
	return memoryExceeded{strictyaml.Error{File: path, Position: at, Text: fmt.Sprintf("reading %s takes about %d MiB%s, more than the %d MiB of limits.memory",
		what, (need+1<<20-1)>>20, beside, memory>>20)}}
}
