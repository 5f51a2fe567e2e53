package config

import (
	"bytes"
	"path/filepath"
	"sync"

	"olivearch/balancer"
	"olivearch/internal/strictyaml"
)

// sourceText is the text that a configuration was read from in sections. The next text is compared with it.
type sourceText struct {
	text       []byte
	sections   []strictyaml.Section
	valueCount int // number of values in the text, within a few
}

// batchedSections are the sections that are read in batches of entries.
var batchedSections = map[string]bool{"tenants": true, "routes": true, "pools": true}

// parseInSections reads and checks a text section by section. It returns nil for a text that can't be read so and for
// one with a mistake: reading the whole tells which. The error is what can be said of the mistake at less cost, if
// anything; isFinal reports whether reading the whole is out of the question.
func parseInSections(path string, text []byte, memoryInUse int64) (*Loaded, error) {
	sections := strictyaml.Outline(text)
	if sections == nil {
		return nil, nil
	}
	memory, memoryLimitAt := memoryLimit(path, text, sections)
	need := readingNeed{
		path: path, limitAt: memoryLimitAt, limit: memory, inUse: memoryInUse,
		textSize: len(text), inSections: true, what: "the file",
	}
	if err := need.check(); err != nil {
		return nil, err
	}
	reader := sectionReader{
		path:   path,
		loaded: newLoaded(path, text, memoryLimitAt),
		source: &sourceText{text: text, sections: sections},
	}
	ok, mistake := reader.read()
	if ok {
		return reader.loaded, nil
	}
	need.inSections = false
	need.what = "the file at once, as one with a mistake or with anchors has to be,"
	err := need.check()
	switch {
	case err == nil:
		return nil, mistake
	case mistake == nil:
		return nil, err
	}
	return nil, partialDiagnosis{mistake}
}

// memoryLimit returns the memory that a text gives the process, and where it says so.
func memoryLimit(path string, text []byte, sections []strictyaml.Section) (Size, strictyaml.Position) {
	var file File
	position := strictyaml.Position{Line: 1, Column: 1}
	for _, section := range sections {
		if section.Key == "limits" {
			doc, _ := strictyaml.ReadSection(path, text, section, &file)
			position = doc.At("limits.memory")
		}
	}
	strictyaml.Fill(&file.Limits.Memory, defaultMemory)
	return file.Limits.Memory, position
}

// sectionReader reads a text section by section into a configuration.
type sectionReader struct {
	path    string
	loaded  *Loaded
	source  *sourceText
	tenants []balancer.Tenant
}

// read reads and checks all sections. If ok is false, the text has a mistake or can't be read so; mistake is what was
// found wrong with a section, if anything.
func (r *sectionReader) read() (ok bool, mistake error) {
	for _, section := range r.source.sections {
		ok, mistake = r.readSection(section)
		if !ok {
			return false, mistake
		}
	}
	c := r.loaded
	c.Tenants = balancer.NewTenants(c.listedTenants(r.tenants)) // those of the struct stand in one line
	if c.Tenants.Err() != nil || r.source.valueCount > maxSectionedValues {
		return false, nil
	}
	k := checker{Doc: &strictyaml.Doc{File: r.path}, Loaded: c}
	k.all(filepath.Dir(r.path))
	if k.Failed() {
		return false, nil
	}
	c.File.Tenants = nil
	c.source = r.source
	return true, nil
}

// maxSectionedValues bounds the values of a text that is read in sections; a text with more is read as a whole, which
// counts them exactly.
const maxSectionedValues = strictyaml.MaxValues / 2

// readSection reads one section.
func (r *sectionReader) readSection(section strictyaml.Section) (ok bool, mistake error) {
	text := r.source.text
	if !batchedSections[section.Key] || !section.Block {
		doc, whole := strictyaml.ReadSection(r.path, text, section, &r.loaded.File)
		r.source.valueCount += doc.Values()
		return whole, doc.Err()
	}
	entries := strictyaml.SplitEntries(text[section.Body:section.End])
	if entries == nil || entries.List != (section.Key == "routes") {
		return false, nil
	}
	entries.Section = section.Key
	batches := entryBatches{
		path:        r.path,
		linesBefore: bytes.Count(text[:section.Body], []byte("\n")),
		entries:     entries,
	}
	var result batchResult
	switch section.Key {
	case "tenants":
		result = r.readTenants(batches)
	case "pools":
		result = r.readPools(batches)
	case "routes":
		routes := make([]Route, len(entries.Starts))
		result = readInBatches(batches, func(first int, read []Route) { copy(routes[first:], read) })
		r.loaded.Routes = routes
	}
	r.source.valueCount += result.valueCount
	return result.whole, result.mistake
}

// readTenants reads the section of tenants.
func (r *sectionReader) readTenants(batches entryBatches) batchResult {
	tenants := make([]balancer.Tenant, len(batches.entries.Starts))
	result := readInBatches(batches, func(first int, read map[string]Tenant) {
		for name, tenant := range read {
			tenants[first] = balancer.Tenant{Name: name, Quota: tenant.Quota}
			first++
		}
	})
	for _, tenant := range tenants {
		result.whole = result.whole && isValidQuota(tenant.Quota)
	}
	r.tenants = tenants
	return result
}

// readPools reads the section of pools.
func (r *sectionReader) readPools(batches entryBatches) batchResult {
	var mutex sync.Mutex
	pools := make(map[string]Pool, len(batches.entries.Starts))
	result := readInBatches(batches, func(_ int, read map[string]Pool) {
		mutex.Lock()
		defer mutex.Unlock()
		for name, pool := range read {
			pools[name] = pool
		}
	})
	hasRepeatedName := len(pools) != len(batches.entries.Starts)
	if hasRepeatedName {
		result.whole = false
	}
	r.loaded.Pools = pools
	return result
}
