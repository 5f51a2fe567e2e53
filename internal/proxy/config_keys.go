package proxy

// keySet is a set of key paths in a JSON value, for example settings.limits.cancel. The path element "each" stands for
// the entries of a list.
type keySet map[string]bool

// optionalClassKeys are the keys that only some classes need. They are never reported as missing.
var optionalClassKeys = keySet{"group": true, "memory_span_us": true, "late_worth": true, "stream": true}

// keysOf returns the key paths of a decoded JSON value.
func keysOf(value any) keySet {
	switch value := value.(type) {
	case map[string]any:
		return keysOfObject(value)
	case []any:
		return keysOfList(value)
	}
	return keySet{}
}

func keysOfObject(object map[string]any) keySet {
	keys := keySet{}
	for name, value := range object {
		keys[name] = true
		for key := range keysOf(value) {
			keys[name+"."+key] = true
		}
	}
	return keys
}

// keysOfList returns the key paths that all entries have, without optionalClassKeys.
func keysOfList(entries []any) keySet {
	count := map[string]int{}
	for _, entry := range entries {
		for key := range keysOf(entry) {
			count[key]++
		}
	}
	keys := keySet{}
	for key, n := range count {
		if n == len(entries) && !optionalClassKeys[key] {
			keys["each."+key] = true
		}
	}
	return keys
}
