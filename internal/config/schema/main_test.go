package main

import (
	"bytes"
	"os"
	"testing"
)

// TestPublished: the schemas in docs are up to date with the Go types.
func TestPublished(t *testing.T) {
	t.Chdir("../../..")
	for file, source := range published {
		want, err := schema(".", source)
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(file)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s is not up to date (%v): go run ./internal/config/schema", file, err)
		}
	}
}
