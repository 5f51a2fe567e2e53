package wire

import (
	"reflect"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys pins the keys of the settings, on the simulator's wire and in the file of a platform.
func TestGoldenKeys(t *testing.T) {
	golden.Compare(t, "settings-keys.txt", golden.Keys(reflect.TypeFor[params](), "json"))
}
