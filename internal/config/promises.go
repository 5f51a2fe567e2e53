package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"olivearch/internal/strictyaml"
)

// Voter is the configuration of one voter of the ledger of promises: a file for "olivearch-coordinator".
type Voter struct {
	// This voter's name: a key of voters.
	Name string `yaml:"name"`
	// IP address and port at which it listens; that of voters if left out. Only loopback addresses are taken unless open is set.
	Listen string `yaml:"listen,omitempty"`
	// Whether an address that others can reach is meant: voters ask for no password.
	Open bool `yaml:"open,omitempty"`
	// The folder with its log and snapshots, on a disk of its own. It must exist; no two voters may have the same.
	Folder string `yaml:"folder"`
	// All voters, this one among them: names with IP addresses and ports. 3, 5 or 7; 1 keeps nothing when it is lost, and is for trials.
	Voters map[string]string `yaml:"voters"`
	// How many voters must have a promise on their disks before it is answered; a majority if left out, and never less.
	Copies int `yaml:"copies,omitempty" jsonschema:"minimum=1"`
	// A voter that has not been heard for so long may be replaced by one with its name and an empty folder; 10s if left out.
	ReplaceAfter Duration `yaml:"replace_after,omitempty"`
}

// Promises says where a balancer takes part in the ledger of promises: a part of the configuration of "olivearch serve", and a file of its
// own for a platform's balancer (RELAY_PROMISES).
type Promises struct {
	// The voters: names with IP addresses and ports.
	Voters map[string]string `yaml:"voters"`
	// A file in which what is held is kept, so that a process that starts while no voter can be reached begins with it; left out: none. A
	// relative path starts at the configuration's folder.
	Copy string `yaml:"copy,omitempty"`
	// Within what time a call of staff's is answered, held or not; 1s if left out.
	Within Duration `yaml:"within,omitempty"`
}

const maxCoordinationFileSize = 1 << 20

// OfVoter tells whether a file is that of a voter: it has the key folder, which nobody else's has.
func OfVoter(path string) bool {
	text, err := strictyaml.ReadFile(path, maxCoordinationFileSize)
	if err != nil {
		return false
	}
	var keys map[string]yaml.Node
	if yaml.Unmarshal(text, &keys) != nil {
		return false
	}
	_, ok := keys["folder"]
	return ok
}

// LoadVoter reads and checks a voter's file.
func LoadVoter(path string) (*Voter, error) {
	text, err := strictyaml.ReadFile(path, maxCoordinationFileSize)
	if err != nil {
		return nil, err
	}
	return ParseVoter(path, text)
}

// ParseVoter checks the text of a voter's file. The error joins one strictyaml.Error for each thing wrong.
func ParseVoter(path string, text []byte) (*Voter, error) {
	v := &Voter{}
	d := strictyaml.Decode(path, text, v)
	if err := d.Err(); err != nil {
		return nil, err
	}
	if !strictyaml.Plain(v.Name) {
		d.Fail("name", "a name of letters, digits and hyphens is wanted, at most 64 characters")
	}
	checkVoters(d, "voters", v.Voters)
	switch n := len(v.Voters); {
	case n == 1, n == 3, n == 5, n == 7:
	case n == 2:
		d.Fail("voters", "two voters hold nothing that one of them would not: if either is lost, no promise can be given. 3, 5 or 7 are wanted")
	default:
		d.Fail("voters", "%d voters: 3, 5 or 7 are wanted", n)
	}
	own, ok := v.Voters[v.Name]
	if !ok {
		d.Fail("name", "%s", unknownName("voter", v.Name, slices.Collect(maps.Keys(v.Voters))))
	}
	strictyaml.Fill(&v.Listen, own)
	if a, err := netip.ParseAddrPort(v.Listen); err != nil {
		d.Fail("listen", "%q is not an IP address and a port, such as 127.0.0.1:7101", v.Listen)
	} else if !a.Addr().IsLoopback() && !v.Open {
		d.Fail("listen", "%s can be reached by others, and voters ask for no password: if that is meant, add \"open: true\"", a)
	}
	if v.Folder == "" {
		d.Fail("folder", "a folder is wanted")
	} else if !filepath.IsAbs(v.Folder) {
		v.Folder = filepath.Join(filepath.Dir(path), v.Folder)
	}
	strictyaml.Fill(&v.ReplaceAfter, Duration(10*time.Second))
	if v.ReplaceAfter < Duration(2*time.Second) {
		d.Fail("replace_after", "at least 2s: a voter that is elected anew is silent for longer than less")
	}
	if v.Copies > len(v.Voters) || v.Copies < 0 {
		d.Fail("copies", "from 1 to the number of voters")
	}
	return v, d.Err()
}

// checkVoters checks a list of voters.
func checkVoters(d *strictyaml.Doc, at string, voters map[string]string) {
	if len(voters) == 0 {
		d.Fail(at, "names and addresses of voters are wanted")
	}
	taken := map[netip.AddrPort]string{}
	for _, name := range slices.Sorted(maps.Keys(voters)) {
		if !strictyaml.Plain(name) {
			d.Fail(at+"."+name, "a name of letters, digits and hyphens is wanted, at most 64 characters")
		}
		a, err := netip.ParseAddrPort(voters[name])
		if err != nil {
			d.Fail(at+"."+name, "%q is not an IP address and a port, such as 127.0.0.1:7101", voters[name])
			continue
		}
		if other := taken[a]; other != "" {
			d.Fail(at+"."+name, "%s and %s have the same address %s", other, name, a)
		}
		taken[a] = name
	}
}

// LoadPromises reads and checks the file of a platform's balancer.
func LoadPromises(path string) (*Promises, error) {
	text, err := strictyaml.ReadFile(path, maxCoordinationFileSize)
	if err != nil {
		return nil, err
	}
	p := &Promises{}
	d := strictyaml.Decode(path, text, p)
	if err := d.Err(); err != nil {
		return nil, err
	}
	p.check(d, "", filepath.Dir(path))
	return p, d.Err()
}

// check checks the keys under a path.
func (p *Promises) check(d *strictyaml.Doc, at, folder string) {
	if at != "" {
		at += "."
	}
	checkVoters(d, at+"voters", p.Voters)
	strictyaml.Fill(&p.Within, Duration(time.Second))
	if p.Within < Duration(50*time.Millisecond) || p.Within > Duration(30*time.Second) {
		d.Fail(at+"within", "from 50ms to 30s")
	}
	if p.Copy == "" {
		return
	}
	if !filepath.IsAbs(p.Copy) {
		p.Copy = filepath.Join(folder, p.Copy)
	}
	if info, err := os.Stat(filepath.Dir(p.Copy)); err != nil || !info.IsDir() {
		d.Fail(at+"copy", "there is no folder %s", filepath.Dir(p.Copy))
	}
}

// AgreeVoters tells what is wrong between the files of several voters, by their paths: what each of them alone can't show.
func AgreeVoters(files map[string]*Voter) error {
	var errs []error
	folders, names, first := map[string]string{}, map[string]string{}, ""
	for _, path := range slices.Sorted(maps.Keys(files)) {
		v := files[path]
		folder := v.Folder
		if real, err := filepath.EvalSymlinks(folder); err == nil {
			folder = real
		}
		if other := folders[folder]; other != "" {
			errs = append(errs, fmt.Errorf("%s and %s: both have the folder %s", other, path, folder))
		}
		if other := names[v.Name]; other != "" {
			errs = append(errs, fmt.Errorf("%s and %s: both are %s", other, path, v.Name))
		}
		folders[folder], names[v.Name] = path, path
		if first == "" {
			first = path
		}
		if mine, theirs := joinedNames(v.Voters), joinedNames(files[first].Voters); mine != theirs {
			errs = append(errs, fmt.Errorf("%s and %s: one has the voters %s, the other %s", first, path, theirs, mine))
		}
	}
	return errors.Join(errs...)
}

func joinedNames(voters map[string]string) string {
	return strings.Join(slices.Sorted(maps.Keys(voters)), ", ")
}
