package discovery

import (
	"reflect"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys pins the JSON keys of a discovery answer.
func TestGoldenKeys(t *testing.T) {
	golden.Compare(t, "listing-keys.txt", golden.Keys(reflect.TypeFor[Listing](), "json"))
}
