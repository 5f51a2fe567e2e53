package conventions

import (
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const module = "olivearch/"

// listedPackage has the fields of the output of go list that these tests read.
type listedPackage struct {
	ImportPath string
	Imports    []string
}

// listPackages runs go list with additional arguments in the root folder of the module.
func listPackages(t *testing.T, arguments ...string) []listedPackage {
	t.Helper()
	command := exec.Command("go", append([]string{"list", "-json=ImportPath,Imports"}, arguments...)...)
	command.Dir = "../.."
	output, err := command.Output()
	if err != nil {
		t.Fatalf("%v: %v", command.Args, err)
	}
	var packages []listedPackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var next listedPackage
		if err := decoder.Decode(&next); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal(err)
		}
		packages = append(packages, next)
	}
}

// layers are the packages that run in a balancer or a coordination server. A package imports only packages of later
// layers, so those of the last layer import none of the others. docs/ARCHITECTURE.md has the same table.
var layers = [][]string{
	{"cmd/olivearch", "cmd/olivearch-coordinator", "cmd/simadapter"},
	{"internal/service"},
	{"internal/proxy"},
	{"internal/frontend", "internal/metrics"},
	{"internal/pool", "internal/hotrestart"},
	{"internal/coordination/server"},
	{
		"internal/coordination/membership", "internal/coordination/client", "internal/override", "internal/config",
		"internal/upstream", "internal/endpointcache",
	},
	{"internal/body", "internal/discovery", "internal/endpointlist", "internal/wire", "internal/coordination/state"},
	{
		"balancer", "internal/route", "internal/sharedlimit", "internal/http1", "internal/admincmd", "internal/live",
		"internal/disk", "internal/clock", "internal/strictyaml", "internal/protomsg", "internal/procstat",
		"internal/acceptqueue", "internal/loglimit", "internal/budget", "internal/cpushare",
	},
}

func TestImportsPointToLaterLayers(t *testing.T) {
	layerOf := map[string]int{}
	for layer, names := range layers {
		for _, name := range names {
			layerOf[module+name] = layer
		}
	}
	for _, importer := range listPackages(t, "./...") {
		importerLayer, known := layerOf[importer.ImportPath]
		if !known {
			continue
		}
		for _, imported := range importer.Imports {
			importedLayer, layered := layerOf[imported]
			if layered && importedLayer <= importerLayer {
				t.Errorf("%s imports %s, which is not in a later layer", importer.ImportPath, imported)
			}
		}
	}
}

// TestBalancerLinksNoConsensusOrExperiments: the balancer's program links no package that only coordination servers,
// fault tests or experiments need.
func TestBalancerLinksNoConsensusOrExperiments(t *testing.T) {
	unwanted := []string{
		"go.etcd.io/", "gonum.org/", "github.com/prometheus/", "github.com/anishathalye/porcupine",
		module + "internal/coordination/server", module + "internal/coordination/membership",
		module + "internal/faulttest", module + "internal/experiment", module + "internal/emulator",
		module + "internal/golden", module + "internal/capacity",
	}
	for _, linked := range listPackages(t, "-deps", "./cmd/olivearch") {
		for _, prefix := range unwanted {
			if strings.HasPrefix(linked.ImportPath, prefix) {
				t.Errorf("cmd/olivearch links %s", linked.ImportPath)
			}
		}
	}
}

// TestDecisionsHaveNoInputOrOutput: packages that make decisions get events and the time from their caller. They import
// no package with which they could do input or output, block or log.
func TestDecisionsHaveNoInputOrOutput(t *testing.T) {
	decisionPackages := []string{
		"./balancer", "./internal/coordination/state", "./internal/coordination/membership", "./internal/override",
		"./internal/sharedlimit", "./internal/route",
	}
	forbidden := []string{"os", "net", "net/http", "log", "log/slog", "context", "sync", "os/exec", "syscall"}
	for _, importer := range listPackages(t, decisionPackages...) {
		for _, imported := range importer.Imports {
			if slices.Contains(forbidden, imported) {
				t.Errorf("%s imports %s", importer.ImportPath, imported)
			}
		}
	}
}

// TestGoldenIsForTestsOnly: no program links the comparison of golden files.
func TestGoldenIsForTestsOnly(t *testing.T) {
	for _, importer := range listPackages(t, "./...") {
		if slices.Contains(importer.Imports, module+"internal/golden") {
			t.Errorf("%s imports internal/golden outside its tests", importer.ImportPath)
		}
	}
}
