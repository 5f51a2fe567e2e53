package server

import (
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// entriesOfTerm returns entries with these indexes, all of the same term.
func entriesOfTerm(term uint64, indexes ...uint64) []*raftpb.Entry {
	var entries []*raftpb.Entry
	for _, index := range indexes {
		entries = append(entries, &raftpb.Entry{Index: new(index), Term: new(term)})
	}
	return entries
}

func TestOverwriteFrom(t *testing.T) {
	cases := []struct {
		name          string
		existing, add []*raftpb.Entry
		want          [][2]uint64 // index and term
	}{
		{"nothing pending", nil, entriesOfTerm(2, 5, 6), [][2]uint64{{5, 2}, {6, 2}}},
		{"after the last", entriesOfTerm(1, 5, 6), entriesOfTerm(2, 7), [][2]uint64{{5, 1}, {6, 1}, {7, 2}}},
		{"replaces the last", entriesOfTerm(1, 5, 6), entriesOfTerm(2, 6, 7), [][2]uint64{{5, 1}, {6, 2}, {7, 2}}},
		{"fewer than it replaces", entriesOfTerm(1, 5, 6, 7), entriesOfTerm(2, 6), [][2]uint64{{5, 1}, {6, 2}}},
		{"replaces all", entriesOfTerm(1, 5, 6), entriesOfTerm(2, 5), [][2]uint64{{5, 2}}},
		{"starts before the first", entriesOfTerm(1, 5, 6), entriesOfTerm(2, 4), [][2]uint64{{4, 2}}},
	}
	for _, c := range cases {
		before := slices.Clone(c.existing)
		var got [][2]uint64
		for _, entry := range overwriteFrom(c.existing, c.add) {
			got = append(got, [2]uint64{entry.GetIndex(), entry.GetTerm()})
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if !slices.Equal(before, c.existing) {
			t.Errorf("%s: the existing entries, which Raft still uses, were changed", c.name)
		}
	}
}
