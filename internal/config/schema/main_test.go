package main

import (
	"bytes"
	"os"
	"testing"
)

// TestPublished: the schema in docs is the one that the types give.
func TestPublished(t *testing.T) {
	want, err := schema("../../..")
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("docs/olivearch.schema.json")
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("docs/olivearch.schema.json is not up to date (%v): go run ./internal/config/schema > docs/olivearch.schema.json", err)
	}
}
