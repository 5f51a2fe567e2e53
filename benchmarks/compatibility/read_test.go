package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// listed is what "olivearch promises list" prints.
const listed = `held by the ledger, revision 21; 412 of 4194304 bytes
what    target               value  by            when                 until        why
out     zone/z1                     working-tree  2026-12-02 18:03:21  in 1h59m57s  power test
cap     upstream/s-000000a0  7      base          2026-12-02 18:03:20  cleared      
leases  budget-pool-0        12                                                    
`

func TestParseOverrides(t *testing.T) {
	want := []override{
		{kind: "cap", target: "upstream/s-000000a0", value: "7", by: "base"},
		{kind: "leases", target: "budget-pool-0", value: "12"},
		{kind: "out", target: "zone/z1", by: "working-tree", expires: true, reason: "power test"},
	}
	for name, text := range map[string]string{
		"as printed": listed, "without white space at the end": strings.TrimSpace(listed),
	} {
		found, err := parseOverrides(text)
		if err != nil || !slices.Equal(found, want) {
			t.Errorf("%s: %v, %v", name, found, err)
		}
	}
	for _, text := range []string{"", "held by the ledger", "held by the ledger\nwhat target"} {
		if _, err := parseOverrides(text); !errors.Is(err, errNoTable) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestCompareOverrides(t *testing.T) {
	first, second := override{kind: "out", target: "zone/a"}, override{kind: "cap", target: "upstream/s-1", value: "3"}
	sorted := []override{second, first}
	if err := compareOverrides([]override{first, second}, sorted); err != nil {
		t.Error(err)
	}
	changed := second
	changed.reason = "another"
	for _, found := range [][]override{nil, {second}, {changed, first}, {second, first, first}} {
		if compareOverrides([]override{first, second}, found) == nil {
			t.Errorf("%v passed for %v", found, sorted)
		}
	}
}

func TestScoped(t *testing.T) {
	for target, want := range map[string]string{
		"s-000000a0": "upstream/s-000000a0", "zone/z1": "zone/z1", "pool/p": "pool/p",
	} {
		if got := scoped(target); got != want {
			t.Errorf("%s: %s", target, got)
		}
	}
}

func TestFindListeners(t *testing.T) {
	const table = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1F90 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 628905 2 0 100 0 0 10 0
   1: 0100007F:1F90 0100007F:C001 01 00000000:00000000 00:00000000 00000000     0        0 628906 1 0 20 4 0 10 -1
   2: 0100007F:1F91 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 628907 2 0 100 0 0 10 0
`
	one := findListeners(table, 8080)
	if !slices.Equal(one, []string{"628905"}) {
		t.Errorf("%v", one)
	}
	if err := compareListeners(one, one); err != nil {
		t.Error(err)
	}
	for _, after := range [][]string{nil, {"628907"}, {"628905", "628907"}} {
		if err := compareListeners(one, after); !errors.Is(err, errListenerChanged) {
			t.Errorf("%v: %v", after, err)
		}
	}
}

func TestCompareSnapshots(t *testing.T) {
	learnt := func(change func(*learntUpstream)) *snapshot {
		all := &snapshot{Classes: map[string]float64{"c": 1e6}}
		for index := range upstreamCount {
			all.Upstreams = append(all.Upstreams, learntUpstream{
				ID: uint32(index), Readings: 4, Answers: 5, Window: []float64{0.1, 0.2}, Figures: map[string]float64{"lat": 1},
			})
		}
		change(&all.Upstreams[1])
		return all
	}
	before := learnt(func(*learntUpstream) {})
	if err := compareSnapshots(before, learnt(func(u *learntUpstream) { u.Figures["lat"] = 2 })); err != nil {
		t.Error("a figure that changes with time:", err)
	}
	for name, change := range map[string]func(*learntUpstream){
		"another upstream": func(u *learntUpstream) { u.ID = 9 },
		"fewer answers":    func(u *learntUpstream) { u.Answers = 0 },
		"fewer readings":   func(u *learntUpstream) { u.Readings = 0 },
		"other readings":   func(u *learntUpstream) { u.Window = []float64{0.1} },
		"no figures":       func(u *learntUpstream) { u.Figures = nil },
		"a further key":    func(u *learntUpstream) { u.keys = []string{"id"} },
	} {
		if compareSnapshots(before, learnt(change)) == nil {
			t.Errorf("%s passed", name)
		}
	}
	other := learnt(func(*learntUpstream) {})
	other.Classes["c"] = 2e6
	for name, after := range map[string]*snapshot{"empty": {}, "another latency of a class": other} {
		if compareSnapshots(before, after) == nil {
			t.Errorf("%s passed", name)
		}
	}
	nothing := learnt(func(u *learntUpstream) { u.Answers = 0 })
	if compareSnapshots(nothing, nothing) == nil {
		t.Error("an old process that had learnt nothing passed")
	}
}

// TestRecordKeys: a record of a snapshot has all its keys, also those that the program does not read.
func TestRecordKeys(t *testing.T) {
	var read snapshot
	if err := json.Unmarshal([]byte(`{"upstreams":[{"id":3,"wait":1,"answers":5}]}`), &read); err != nil {
		t.Fatal(err)
	}
	record := read.Upstreams[0]
	if record.ID != 3 || record.Answers != 5 || !slices.Equal(record.keys, []string{"answers", "id", "wait"}) {
		t.Errorf("%+v", record)
	}
	if json.Unmarshal([]byte(`{"upstreams":[{"id":"three"}]}`), &read) == nil {
		t.Error("an id that is no number passed")
	}
}

func TestCheckFolder(t *testing.T) {
	const text = "voter k1, member 3a of cluster 7f\nthe log ends at 12 (term 2), and all up to 12 was known\n" +
		"14 words, 2 bounds, 730 bytes of 4194304"
	if err := checkFolder(text, 14, 2); err != nil {
		t.Error(err)
	}
	if checkFolder(text, 13, 2) == nil || checkFolder(text, 14, 1) == nil {
		t.Error("other sizes passed")
	}
	if err := checkFolder("nothing", 0, 0); !errors.Is(err, errNoSizes) {
		t.Error(err)
	}
}

func TestCoordinatorFolder(t *testing.T) {
	root := t.TempDir()
	if _, err := coordinatorFolder(root); err == nil {
		t.Error("found where there is none")
	}
	for _, name := range []string{"cmd/oliveledger", "cmd/olivearch-coordinator"} { // the later one goes before
		if err := os.MkdirAll(filepath.Join(root, name), 0o700); err != nil {
			t.Fatal(err)
		}
		if got, err := coordinatorFolder(root); err != nil || got != name {
			t.Errorf("%s: %s, %v", name, got, err)
		}
	}
}
