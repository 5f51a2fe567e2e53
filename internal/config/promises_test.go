package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestVoterFiles(t *testing.T) {
	const good = "name: a\nfolder: x\nvoters: {a: 127.0.0.1:1, b: 127.0.0.1:2, c: 127.0.0.1:3}\n"
	voter, err := ParseVoter("dir/v.yaml", []byte(good))
	if err != nil || voter.Listen != "127.0.0.1:1" || voter.Folder != filepath.Join("dir", "x") {
		t.Fatalf("%+v %v", voter, err)
	}
	for _, c := range []struct{ from, to, want string }{
		{", c: 127.0.0.1:3", "", "v.yaml:3:9: two voters tolerate no more failures than one"},
		{"c: 127.0.0.1:3", "c: 127.0.0.1:2", "v.yaml:3:45: b and c have the same address"},
		{"c: 127.0.0.1:3", "c: 127.0.0.1:3, d: 127.0.0.1:4", "4 voters: 3, 5 or 7 are wanted"},
		{"c: 127.0.0.1:3", "c: here", `"here" is not an IP address and a port`},
		{"name: a", "name: aa", `v.yaml:1:7: there is no voter "aa"`},
		{"folder: x\n", "", "a folder is wanted"},
		{"folder: x", "folder: x\nlisten: 0.0.0.0:1", "can be reached by others"},
		{"folder: x", "folder: x\ncopies: 4", "copies must be from 1 to the number of voters"},
		{"folder: x", "folder: x\nreplace_after: 1s", "replace_after must be at least 2s"},
		{"folder: x", "foldr: x", `unknown key "foldr"; did you mean "folder"?`},
	} {
		_, err := ParseVoter("v.yaml", []byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s -> %s: %v, want %q", c.from, c.to, err, c.want)
		}
	}
	parsed := func(from, to string) *Voter {
		v, err := ParseVoter("v.yaml", []byte(strings.Replace(good, from, to, 1)))
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	a := parsed("", "")
	for _, c := range []struct {
		other *Voter
		want  string
	}{
		{parsed("name: a\nfolder: x", "name: b\nfolder: y"), ""},
		{parsed("name: a", "name: b"), "both have the folder"},
		{parsed("folder: x", "folder: y"), "both have the name a"},
		{
			parsed("name: a\nfolder: x\nvoters: {a: 127.0.0.1:1, b", "name: d\nfolder: y\nvoters: {d: 127.0.0.1:1, b"),
			"one has the voters",
		},
	} {
		err := CheckVotersAgree(map[string]*Voter{"1.yaml": a, "2.yaml": c.other})
		if (err == nil) != (c.want == "") || (err != nil && !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
}

func TestPromisesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "promises.yaml")
	for text, want := range map[string]string{
		"voters: {a: 127.0.0.1:1}\n":                     "",
		"voters: {}\n":                                   "names and addresses of voters are wanted",
		"voters: {a: 127.0.0.1:1}\ncopy: none/here\n":    "there is no folder",
		"voters: {a: 127.0.0.1:1}\nwithin: 1ms\n":        "within must be from 50ms to 30s",
		"voters: {a: 127.0.0.1:1, 'b c': 127.0.0.1:2}\n": "a name of letters",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadPromises(path)
		if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	for _, file := range []string{"k1.yaml", "k2.yaml", "k3.yaml"} { // in deploy
		if _, err := LoadVoter(filepath.Join("../../deploy/ledger", file)); err != nil {
			t.Error(err)
		}
	}
	if _, err := LoadPromises("../../deploy/promises.yaml"); err != nil {
		t.Error(err)
	}
}
