package live

import (
	"reflect"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys compares the JSON keys of the live view with the golden file.
func TestGoldenKeys(t *testing.T) {
	golden.Compare(t, "keys.txt", golden.Keys(reflect.TypeFor[View](), "json"))
}
