package config

import (
	"maps"
	"path/filepath"
	"reflect"

	"olivearch/balancer"
	"olivearch/internal/route"
	"olivearch/internal/strictyaml"
)

// maxChangedEntries is the maximum number of differing entries of a section: more are parsed faster in batches.
const maxChangedEntries = 4096

// applySection applies a section that differs between the texts. Its result is that of apply. common describes what the
// old text as a whole has in common with the new one.
func (r *reloader) applySection(before, after strictyaml.Section, common commonText) bool {
	if before.Block != after.Block {
		return false
	}
	if !batchedSections[after.Key] || !after.Block {
		return r.isEquivalent(before, after)
	}
	oldBody := r.old.text[before.Body:before.End]
	newBody := r.source.text[after.Body:after.End]
	change, isComparable := changedEntries(oldBody, newBody, commonText{
		prefix: max(0, common.prefix-before.Body),
		suffix: max(0, before.End-(len(r.old.text)-common.suffix)),
	})
	if !isComparable {
		return false
	}
	r.diagnose = func(into any) *strictyaml.Doc {
		from := after.Body + change.start
		return strictyaml.DiagnoseEntries(r.path, r.source.text, after, from, from+len(change.after.Text), into)
	}
	applied := false
	switch after.Key {
	case "tenants":
		applied = r.applyTenants(change)
	case "routes":
		applied = r.applyRoutes(change)
	case "pools":
		applied = r.applyPools(change)
	}
	return applied && !r.Failed()
}

// isEquivalent reports whether a section has the same values in both texts, so that only comments or style differ.
func (r *reloader) isEquivalent(before, after strictyaml.Section) bool {
	var oldFile, newFile File
	_, oldExact := strictyaml.ReadSection(r.path, r.old.text, before, &oldFile)
	_, newExact := strictyaml.ReadSection(r.path, r.source.text, after, &newFile)
	return oldExact && newExact && reflect.DeepEqual(oldFile, newFile)
}

// readChanged reads the entries that differ, from the old text and from the new one. ok is false if there are too many,
// if there is an error or if the entries might not be those that parseWhole reads. reusesName reports whether one of
// the new entries has the name of an entry that does not differ.
func readChanged[T any](
	reload *reloader, change sectionChange, reusesName func(before, after T) bool,
) (before, after T, ok bool) {
	oldCount := len(change.before.Starts)
	newCount := len(change.after.Starts)
	if oldCount > maxChangedEntries || newCount > maxChangedEntries {
		return before, after, false
	}
	doc, ok := change.before.Read(reload.path, 0, 0, oldCount, &before)
	if !ok {
		return before, after, false
	}
	reload.source.valueCount -= doc.Values()
	doc, ok = change.after.Read(reload.path, 0, 0, newCount, &after)
	reload.source.valueCount += doc.Values()
	reload.bytesRead += len(change.after.Text)
	if doc.Failed() {
		reload.Fail("", "invalid entries")
		var diagnosed T
		if found := reload.diagnose(&diagnosed); found != nil && !reusesName(before, diagnosed) {
			reload.diagnosis = found.Err()
		}
	}
	return before, after, ok
}

// hasTakenName reports whether an added or renamed entry has the name of an unchanged entry.
func hasTakenName[T any](before, after map[string]T, isTaken func(name string) bool) bool {
	for name := range after {
		if _, known := before[name]; !known && isTaken(name) {
			return true
		}
	}
	return false
}

// applyTenants applies the tenants that differ to the table of tenants.
func (r *reloader) applyTenants(change sectionChange) bool {
	reusesName := func(before, after map[string]Tenant) bool {
		return hasTakenName(before, after, func(name string) bool {
			_, taken := r.Tenants.Quota(name)
			return taken
		})
	}
	before, after, ok := readChanged(r, change, reusesName)
	if !ok {
		return false
	}
	if reusesName(before, after) {
		r.Fail("", "duplicate name")
		return false
	}
	if !r.quotas(after) {
		return false
	}
	var changed []balancer.Tenant
	for name, tenant := range after {
		if old, known := before[name]; !known || old != tenant {
			changed = append(changed, balancer.Tenant{Name: name, Quota: tenant.Quota})
		}
	}
	var removed []string
	for name := range before {
		if _, stays := after[name]; !stays {
			removed = append(removed, name)
		}
	}
	if len(changed)+len(removed) > 0 {
		r.Tenants = r.Tenants.With(changed, removed)
	}
	return true
}

// quotas checks the quotas of the tenants that differ, and diagnoses those that are invalid.
func (r *reloader) quotas(tenants map[string]Tenant) bool {
	var invalid []string
	for name, tenant := range tenants {
		if !isValidQuota(tenant.Quota) {
			invalid = append(invalid, name)
		}
	}
	if len(invalid) == 0 {
		return true
	}
	r.Fail("", "invalid quota")
	if found := r.diagnose(new(map[string]Tenant)); found != nil {
		for _, name := range invalid {
			found.Fail(name+".quota", invalidQuota)
		}
		r.diagnosis = found.Err()
	}
	return false
}

// applyRoutes applies the routes that differ to the route table.
func (r *reloader) applyRoutes(change sectionChange) bool {
	reusesName := func(_, _ []Route) bool { return false } // changedRules checks names, once all entries are read
	before, after, ok := readChanged(r, change, reusesName)
	if !ok {
		return false
	}
	removed := make(map[string]*Route, len(before)) // routes that were removed or changed, by name
	for i := range before {
		removed[before[i].Name] = &before[i]
	}
	r.targets = maps.Clone(r.targets)
	r.Targets = r.Targets[:len(r.Targets):len(r.Targets)] // append copies: the previous Targets stay unchanged
	added, ok := r.changedRules(after, removed)
	if !ok {
		return false
	}
	if len(added)+len(removed) == 0 {
		return true
	}
	names := make([]string, 0, len(removed))
	for name := range removed {
		names = append(names, name)
	}
	table, errs := r.Table.With(names, added)
	if errs != nil || table.Len() == 0 {
		return false
	}
	r.recountClasses(removed, added)
	r.Table = table
	return true
}

// changedRules returns the rules of routes that are new or have changed, and deletes unchanged routes from removed. ok
// is false if a name is missing or taken, or if a route is invalid.
func (r *reloader) changedRules(routes []Route, removed map[string]*Route) (rules []route.Rule, ok bool) {
	seen := map[string]bool{}
	for i := range routes {
		next := &routes[i]
		old := removed[next.Name]
		isTaken := old == nil && r.Table.Rule(next.Name) != nil
		if next.Name == "" || seen[next.Name] || isTaken {
			r.Fail("", "missing or duplicate name")
			return nil, false
		}
		seen[next.Name] = true
		if old != nil && reflect.DeepEqual(old, next) {
			delete(removed, next.Name)
			continue
		}
		rule, ok := r.route("", next)
		if !ok {
			return nil, false
		}
		rules = append(rules, rule)
	}
	return rules, true
}

// recountClasses updates routesByClass. r.Table must still be the table before the change.
func (r *reloader) recountClasses(removed map[string]*Route, added []route.Rule) {
	before := r.routesByClass
	r.routesByClass = maps.Clone(before)
	changedPools := map[string]bool{}
	for name, old := range removed {
		r.addRoutes(old.Class, r.Table.Rule(name).Pools, -1, changedPools)
	}
	for _, rule := range added {
		r.addRoutes(r.Targets[rule.To].Class, rule.Pools, 1, changedPools)
	}
	ignoreCount := func(int, int) bool { return true } // pool settings hold the classes, not their counts
	for pool := range changedPools {
		if !maps.EqualFunc(before[pool], r.routesByClass[pool], ignoreCount) {
			r.poolSettings = new(settingsIdentity)
		}
	}
}

// applyPools applies the pools that differ, if their names are the same as before: default values of pools depend on
// the number of pools.
func (r *reloader) applyPools(change sectionChange) bool {
	reusesName := func(before, after map[string]Pool) bool {
		return hasTakenName(before, after, func(name string) bool {
			_, taken := r.Pools[name]
			return taken
		})
	}
	before, after, ok := readChanged(r, change, reusesName)
	if !ok || len(before) != len(after) {
		return false
	}
	r.Pools = maps.Clone(r.Pools)
	r.poolSettings = new(settingsIdentity)
	for name, pool := range after {
		old, known := r.Pools[name]
		if _, differs := before[name]; !differs || !known {
			return false
		}
		r.pool(filepath.Dir(r.path), name, &pool)
		if pool.Tunnels != old.Tunnels { // the targets of routes hold copies
			return false
		}
		r.Pools[name] = pool
	}
	if !r.Failed() {
		r.combinedLimits()
	}
	return true
}
