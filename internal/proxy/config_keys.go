package proxy

// keySet is a set of paths of keys in a JSON value, such as settings.limits.cancel. A list's entries have the path
// element "each".
type keySet map[string]bool

// optionalClassKeys are keys that only some kinds of class have: another class without them lacks nothing.
var optionalClassKeys = keySet{"group": true, "memory_span_us": true, "late_worth": true, "stream": true}

// keysOf returns the keys of a decoded JSON value.
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

// keysOfList returns the keys that all entries have.
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
