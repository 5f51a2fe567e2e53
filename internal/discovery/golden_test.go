package discovery

import (
	"reflect"
	"testing"

	"olivearch/internal/golden"
)

// TestGoldenKeys pins the keys of a discovery answer.
func TestGoldenKeys(t *testing.T) {
	golden.Compare(t, "listing-keys.txt", golden.Keys(reflect.TypeFor[Listing](), "json"))
}
