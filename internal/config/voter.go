package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"olivearch/internal/strictyaml"
)

// Voter is the configuration file of one coordination server, for "olivearch-coordinator".
type Voter struct {
	// Name of this voter, which is a key of voters.
	Name string `yaml:"name"`
	// IP address and port at which it listens; its address in voters if left out. Only loopback addresses are accepted
	// unless open is set.
	Listen string `yaml:"listen,omitempty"`
	// Allows an address that is not loopback. Voters have no authentication.
	Open bool `yaml:"open,omitempty"`
	// The folder for its log and snapshots, on a disk of its own. It must exist, and no other voter may use it.
	Folder string `yaml:"folder"`
	// All voters, including this one: IP addresses with ports, by name. 3, 5 or 7 voters; a single voter is for tests,
	// since nothing survives its loss.
	Voters map[string]string `yaml:"voters"`
	// Number of voters that must have a grant on disk before it is confirmed; a majority if left out, and never fewer.
	Copies int `yaml:"copies,omitempty" jsonschema:"minimum=1"`
	// Time of silence after which a voter may be replaced by a voter of the same name with an empty folder; 10s if left
	// out.
	ReplaceAfter Duration `yaml:"replace_after,omitempty"`
}

// minReplaceAfter is the minimum of Voter.ReplaceAfter: shorter silences are normal for a newly elected voter.
const minReplaceAfter = Duration(2 * time.Second)

// IsVoterFile reports whether a file is that of a coordination server: only these have the key folder.
func IsVoterFile(path string) bool {
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

// LoadVoter reads and checks the file of a coordination server. Errors are as for ParseVoter.
func LoadVoter(path string) (*Voter, error) {
	text, err := strictyaml.ReadFile(path, maxCoordinationFileSize)
	if err != nil {
		return nil, err
	}
	return ParseVoter(path, text)
}

// ParseVoter parses and checks the text of a coordination server's file. The error joins one strictyaml.Error for each
// error found.
func ParseVoter(path string, text []byte) (*Voter, error) {
	voter := &Voter{}
	doc := strictyaml.Decode(path, text, voter)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	if !strictyaml.IsPlainName(voter.Name) {
		doc.Fail("name", "a name of letters, digits and hyphens is wanted, at most 64 characters")
	}
	checkVoters(doc, "voters", voter.Voters)
	checkVoterCount(doc, len(voter.Voters))
	voter.checkListen(doc)
	if voter.Folder == "" {
		doc.Fail("folder", "a folder is wanted")
	} else {
		voter.Folder = absolute(voter.Folder, filepath.Dir(path))
	}
	strictyaml.SetDefault(&voter.ReplaceAfter, Duration(10*time.Second))
	if voter.ReplaceAfter < minReplaceAfter {
		doc.Fail("replace_after", "replace_after must be at least 2s: shorter silences are normal for a newly elected voter")
	}
	if voter.Copies > len(voter.Voters) || voter.Copies < 0 {
		doc.Fail("copies", "copies must be from 1 to the number of voters")
	}
	return voter, doc.Err()
}

// checkVoterCount checks the number of voters.
func checkVoterCount(doc *strictyaml.Doc, count int) {
	switch count {
	case 1, 3, 5, 7:
	case 2:
		doc.Fail("voters", "two voters tolerate no more failures than one: if either is lost, "+
			"no grant can be given. 3, 5 or 7 are wanted")
	default:
		doc.Fail("voters", "%d voters: 3, 5 or 7 are wanted", count)
	}
}

// checkListen checks that a voter is in the list of voters, and checks the address at which it listens.
func (v *Voter) checkListen(doc *strictyaml.Doc) {
	own, ok := v.Voters[v.Name]
	if !ok {
		doc.Fail("name", "%s", unknownName("voter", v.Name, slices.Collect(maps.Keys(v.Voters))))
	}
	strictyaml.SetDefault(&v.Listen, own)
	address, err := netip.ParseAddrPort(v.Listen)
	switch {
	case err != nil:
		doc.Fail("listen", "%q is not an IP address and a port, such as 127.0.0.1:7101", v.Listen)
	case !address.Addr().IsLoopback() && !v.Open:
		doc.Fail("listen", "%s can be reached by others, and voters ask for no password: if that is meant, "+
			"add \"open: true\"", address)
	}
}

// checkVoters checks a list of voters: addresses by name.
func checkVoters(doc *strictyaml.Doc, path string, voters map[string]string) {
	if len(voters) == 0 {
		doc.Fail(path, "names and addresses of voters are wanted")
	}
	names := map[netip.AddrPort]string{}
	for _, name := range slices.Sorted(maps.Keys(voters)) {
		voterPath := path + "." + name
		if !strictyaml.IsPlainName(name) {
			doc.Fail(voterPath, "a name of letters, digits and hyphens is wanted, at most 64 characters")
		}
		address, err := netip.ParseAddrPort(voters[name])
		if err != nil {
			doc.Fail(voterPath, "%q is not an IP address and a port, such as 127.0.0.1:7101", voters[name])
			continue
		}
		if other := names[address]; other != "" {
			doc.Fail(voterPath, "%s and %s have the same address %s", other, name, address)
		}
		names[address] = name
	}
}

// CheckVotersAgree checks the files of several voters, by path, against each other. Two voters must not have the same
// folder or name, and all must have the same names in their lists of voters.
func CheckVotersAgree(files map[string]*Voter) error {
	var errs []error
	pathByFolder := map[string]string{}
	pathByName := map[string]string{}
	paths := slices.Sorted(maps.Keys(files))
	for _, path := range paths {
		voter := files[path]
		folder := resolvedFolder(voter.Folder)
		if other := pathByFolder[folder]; other != "" {
			errs = append(errs, fmt.Errorf("%s and %s: both have the folder %s", other, path, folder))
		}
		if other := pathByName[voter.Name]; other != "" {
			errs = append(errs, fmt.Errorf("%s and %s: both have the name %s", other, path, voter.Name))
		}
		pathByFolder[folder] = path
		pathByName[voter.Name] = path
		first := paths[0]
		names := joinedNames(voter.Voters)
		if firstNames := joinedNames(files[first].Voters); names != firstNames {
			errs = append(errs, fmt.Errorf("%s and %s: one has the voters %s, the other %s", first, path, firstNames, names))
		}
	}
	return errors.Join(errs...)
}

// resolvedFolder returns the path of a folder with symbolic links resolved, or unchanged if that fails.
func resolvedFolder(folder string) string {
	if resolved, err := filepath.EvalSymlinks(folder); err == nil {
		return resolved
	}
	return folder
}

// joinedNames returns the sorted names of voters, separated by commas.
func joinedNames(voters map[string]string) string {
	return strings.Join(slices.Sorted(maps.Keys(voters)), ", ")
}
