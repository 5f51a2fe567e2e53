package proxy

import (
	"reflect"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys pins the keys of the file that RELAY_CONFIG names.
func TestGoldenKeys(t *testing.T) {
	golden.Compare(t, "config-keys.txt", golden.Keys(reflect.TypeFor[configFile](), "json"))
}
