package membership

import (
	"slices"
	"strings"
	"testing"

	"olivearch/internal/coordination/state"
)

var testAddresses = map[string]string{"a": "1", "b": "2", "c": "3"}

var (
	reportA = VoterReport{Name: "a", ID: 1, Level: 1}
	reportB = VoterReport{Name: "b", ID: 2, Level: 1}
	reportC = VoterReport{Name: "c", ID: 3, Level: 1}
)

var bootstrapCases = []struct {
	name        string
	self        string
	reports     map[string]VoterReport
	wantMembers []state.Member
	wantReason  string // substring of the reason; empty: no reason
}{
	{
		name:    "first by name, and all have reported",
		self:    "a",
		reports: map[string]VoterReport{"a": reportA, "b": reportB, "c": reportC},
		wantMembers: []state.Member{
			{ID: 1, Name: "a", Address: "1"},
			{ID: 2, Name: "b", Address: "2"},
			{ID: 3, Name: "c", Address: "3"},
		},
	},
	{
		name:       "not the first by name",
		self:       "b",
		reports:    map[string]VoterReport{"a": reportA, "b": reportB, "c": reportC},
		wantReason: "another voter comes first",
	},
	{
		name:       "one has not reported",
		self:       "a",
		reports:    map[string]VoterReport{"a": reportA, "b": reportB},
		wantReason: "c is not there",
	},
	{
		name: "one belongs to a cluster",
		self: "a",
		reports: map[string]VoterReport{
			"a": reportA, "b": reportB, "c": {Name: "c", ID: 3, Cluster: 77, Level: 1},
		},
		wantReason: "c belongs to cluster",
	},
	{
		name:       "another name at an address",
		self:       "a",
		reports:    map[string]VoterReport{"a": reportA, "b": reportB, "c": {Name: "d", ID: 3, Level: 1}},
		wantReason: "there is d",
	},
	{
		name:       "two voters with the same id",
		self:       "a",
		reports:    map[string]VoterReport{"a": reportA, "b": reportB, "c": {Name: "c", ID: 2, Level: 1}},
		wantReason: "one member: a folder was copied",
	},
}

func TestBootstrap(t *testing.T) {
	for _, test := range bootstrapCases {
		t.Run(test.name, func(t *testing.T) {
			members, reason := Bootstrap(test.self, testAddresses, test.reports)
			if !slices.Equal(members, test.wantMembers) || (members == nil) != (test.wantMembers == nil) {
				t.Errorf("got members %v, want %v", members, test.wantMembers)
			}
			if !strings.Contains(reason, test.wantReason) || (reason == "") != (test.wantReason == "") {
				t.Errorf("got reason %q, want %q", reason, test.wantReason)
			}
		})
	}
}
