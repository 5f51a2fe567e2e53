package config

import (
	"bytes"
	"path/filepath"
	"sync"

	"olivearch/balancer"
	"olivearch/internal/strictyaml"
)

// sourceText is the text of a configuration that was parsed in sections. A reload compares the new text with it.
type sourceText struct {
	text       []byte
	sections   []strictyaml.Section
	valueCount int // approximate number of values in the text
}

// batchedSections are the keys of the sections that are read in batches of entries.
var batchedSections = map[string]bool{"tenants": true, "routes": true, "pools": true}

// parseInSections parses and checks a text section by section. It returns no configuration for a text that has an
// error, and for one that can't be parsed in sections; only parseWhole tells these apart. The error is nil, or one that
// was found without parsing the whole text. If isFinal is true for it, limits.memory is too small for parseWhole.
func parseInSections(path string, text []byte, memoryInUse int64) (*Loaded, error) {
	sections := strictyaml.Outline(text)
	if sections == nil {
		return nil, nil
	}
	memory, memoryLimitAt := memoryLimit(path, text, sections)
	need := memoryNeed{
		path: path, limitAt: memoryLimitAt, limit: memory, inUse: memoryInUse,
		textSize: len(text), inSections: true, subject: "the file",
	}
	if err := need.check(); err != nil {
		return nil, err
	}
	reader := sectionReader{
		path:   path,
		loaded: newLoaded(path, text, memoryLimitAt),
		source: &sourceText{text: text, sections: sections},
	}
	ok, contentErr := reader.read()
	if ok {
		return reader.loaded, nil
	}
	need.inSections = false
	need.subject = "the file as a whole, which an error or anchors in it require,"
	err := need.check()
	switch {
	case err == nil:
		return nil, contentErr
	case contentErr == nil:
		return nil, err
	}
	return nil, partialDiagnosis{contentErr}
}

// memoryLimit returns limits.memory of a text, or its default, and its position.
func memoryLimit(path string, text []byte, sections []strictyaml.Section) (Size, strictyaml.Position) {
	var file File
	position := strictyaml.Position{Line: 1, Column: 1}
	for _, section := range sections {
		if section.Key == "limits" {
			doc, _ := strictyaml.ReadSection(path, text, section, &file)
			position = doc.At("limits.memory")
		}
	}
	strictyaml.SetDefault(&file.Limits.Memory, defaultMemory)
	return file.Limits.Memory, position
}

// sectionReader reads a text section by section into a configuration.
type sectionReader struct {
	path    string
	loaded  *Loaded
	source  *sourceText
	tenants []balancer.Tenant
}

// read reads and checks all sections. If ok is false, the text has an error or can't be read in sections; contentErr is
// the error that was found in a section, if any.
func (r *sectionReader) read() (ok bool, contentErr error) {
	for _, section := range r.source.sections {
		ok, contentErr = r.readSection(section)
		if !ok {
			return false, contentErr
		}
	}
	c := r.loaded
	c.Tenants = balancer.NewTenants(c.listedTenants(r.tenants)) // File.Tenants has those in flow style
	if c.Tenants.Err() != nil || r.source.valueCount > maxSectionedValues {
		return false, nil
	}
	k := checker{Doc: &strictyaml.Doc{File: r.path}, Loaded: c}
	k.checkAll(filepath.Dir(r.path))
	if k.Failed() {
		return false, nil
	}
	c.File.Tenants = nil
	c.source = r.source
	return true, nil
}

// maxSectionedValues is the maximum number of values of a text that is read in sections. A text with more values is
// read as a whole, which counts them exactly.
const maxSectionedValues = strictyaml.MaxValues / 2

// readSection reads one section. Its results are those of read.
func (r *sectionReader) readSection(section strictyaml.Section) (ok bool, contentErr error) {
	text := r.source.text
	if !batchedSections[section.Key] || !section.Block {
		doc, exact := strictyaml.ReadSection(r.path, text, section, &r.loaded.File)
		r.source.valueCount += doc.Values()
		return exact, doc.Err()
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
	return result.exact, result.err
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
		result.exact = result.exact && isValidQuota(tenant.Quota)
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
		result.exact = false
	}
	r.loaded.Pools = pools
	return result
}
