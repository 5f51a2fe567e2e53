package live

import (
	"reflect"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys pins the keys of the live view.
func TestGoldenKeys(t *testing.T) {
	golden.Compare(t, "keys.txt", golden.Keys(reflect.TypeFor[View](), "json"))
}
