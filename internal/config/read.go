package config

import (
	"bytes"
	"path/filepath"
	"runtime"
	"sync"

	"olivearch/balancer"
	"olivearch/internal/strictyaml"
)

// batchSize is how many entries of a long section are read at once, in about a millisecond: on a machine with one processor decisions wait for
// no more than one. What the parser makes of them takes about 2 KB each.
const batchSize = 128

// maxBatchReaders is how many batches are read side by side: half the processors stay for what is served meanwhile.
func maxBatchReaders() int { return max(1, min(4, runtime.GOMAXPROCS(0)/2)) }

// sourceText is the text that a configuration was read from in parts. It is what the next text is compared with.
type sourceText struct {
	text   []byte
	sections  []strictyaml.Section
	valueCount int // that it stands for, within a few
}

// batchedSections are the sections that are read in batches.
var batchedSections = map[string]bool{"tenants": true, "routes": true, "pools": true}

// parseInSections reads and checks a text part by part. It returns nil for one that can't be read so and for one with a mistake: reading the
// whole tells. maybe is what can be said of the mistake at less cost, if anything.
func parseInSections(path string, text []byte, already int64) (c *Loaded, maybe error) {
	h := &sourceText{text: text, sections: strictyaml.Outline(text)}
	if h.sections == nil {
		return nil, nil
	}
	c = &Loaded{targets: map[targetKey]int{}, bytesRead: len(text), fileSize: len(text), poolSettings: new(settingsIdentity), buffers: newTextBuffers(), bufferIndex: notBuffered}
	memory, at := memoryLimit(path, text, h.sections)
	c.memoryLimitError = strictyaml.Error{File: path, Position: at}
	if err := checkReadingMemory(path, at, memory, already, len(text), true, "the file"); err != nil {
		return nil, err
	}
	defer func() {
		if c == nil { // at once it takes more
			if err := checkReadingMemory(path, at, memory, already, len(text), false, "the file at once, as one with a mistake or with anchors has to be,"); err != nil && maybe == nil {
				maybe = err
			} else if err != nil {
				maybe = partialDiagnosis{maybe}
			}
		}
	}()
	var tenants []balancer.Tenant
	for _, p := range h.sections {
		if !batchedSections[p.Key] || !p.Block {
			d, whole := strictyaml.ReadSection(path, text, p, &c.File)
			if h.valueCount += d.Values(); !whole {
				return nil, d.Err()
			}
			continue
		}
		before := bytes.Count(text[:p.Body], []byte("\n"))
		e := strictyaml.SplitEntries(text[p.Body:p.End])
		if e == nil || e.List != (p.Key == "routes") {
			return nil, nil
		}
		e.Section = p.Key
		var whole bool
		var values int
		switch p.Key {
		case "tenants":
			tenants = make([]balancer.Tenant, len(e.Starts))
			values, whole, maybe = readInBatches(path, before, e, func(from int, read map[string]Tenant) {
				for name, t := range read {
					tenants[from] = balancer.Tenant{Name: name, Quota: t.Quota}
					from++
				}
			})
			for _, t := range tenants {
				whole = whole && isValidQuota(t.Quota)
			}
		case "pools":
			var mu sync.Mutex
			c.Pools = make(map[string]Pool, len(e.Starts))
			values, whole, maybe = readInBatches(path, before, e, func(_ int, read map[string]Pool) {
				mu.Lock()
				defer mu.Unlock()
				for name, x := range read {
					c.Pools[name] = x
				}
			})
			whole = whole && len(c.Pools) == len(e.Starts)
		case "routes":
			c.Routes = make([]Route, len(e.Starts))
			values, whole, maybe = readInBatches(path, before, e, func(from int, read []Route) { copy(c.Routes[from:], read) })
		}
		if h.valueCount += values; !whole {
			return nil, maybe
		}
	}
	for name, t := range c.File.Tenants { // in one line
		tenants = append(tenants, balancer.Tenant{Name: name, Quota: t.Quota})
	}
	if c.Tenants = balancer.NewTenants(tenants); c.Tenants.Err() != nil || h.valueCount > strictyaml.MaxValues/2 {
		return nil, nil
	}
	k := checker{Doc: &strictyaml.Doc{File: path}, Loaded: c}
	if k.all(filepath.Dir(path)); k.Failed() {
		return nil, nil
	}
	c.File.Tenants, c.source = nil, h
	return c, nil
}

// memoryLimit is the memory that a text gives, and where it says so.
func memoryLimit(path string, text []byte, parts []strictyaml.Section) (Size, strictyaml.Position) {
	var f File
	at := strictyaml.Position{Line: 1, Column: 1}
	for _, p := range parts {
		if p.Key == "limits" {
			d, _ := strictyaml.ReadSection(path, text, p, &f)
			at = d.At("limits.memory")
		}
	}
	strictyaml.Fill(&f.Limits.Memory, defaultMemory)
	return f.Limits.Memory, at
}

// readInBatches reads the entries of a section into values of type T, a few batches side by side, and hands each over with the number of its first
// entry.
func readInBatches[T any](path string, line int, e *strictyaml.Entries, take func(from int, read T)) (values int, whole bool, maybe error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole = true
	slots := make(chan struct{}, maxBatchReaders())
	for from := 0; from < len(e.Starts); from += batchSize {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var read T
			d, ok := e.Read(path, line, from, min(from+batchSize, len(e.Starts)), &read)
			if ok {
				take(from, read)
			}
			mu.Lock()
			defer mu.Unlock()
			if values += d.Values(); !ok {
				whole = false
				if maybe == nil {
					maybe = d.Err()
				}
			}
		})
	}
	wg.Wait()
	return values, whole, maybe
}
