//go:build !faultinject

package disk

// injectFault does nothing in builds without fault injection.
func injectFault(string, []byte) (handled bool, err error) { return false, nil }
