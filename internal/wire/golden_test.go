package wire

import (
	"reflect"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys pins the keys of the settings object, which the simulator and platforms write.
func TestGoldenKeys(t *testing.T) {
	golden.Compare(t, "settings-keys.txt", golden.Keys(reflect.TypeFor[params](), "json"))
}
