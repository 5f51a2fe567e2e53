// Command compatibility shows that processes of an older commit and of the working tree work together. It builds
// both, lets each take over from the other by a hot restart, and forms clusters of coordination servers of both
// versions, which are upgraded and rolled back one server after the other. It prints progress on standard error and
// one JSON object last on standard output, and exits with 1 if a check does not hold. docs/operate/compatibility.md
// goes through it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// defaultBase is the last commit before packages, programs and names got the field's terms.
	defaultBase = "79977fa"
	// buildTimeout bounds the builds of both versions together.
	buildTimeout = 5 * time.Minute
	// runTimeout bounds everything after the builds.
	runTimeout = 3 * time.Minute
)

// errBroken is returned if a check does not hold. The result says which.
var errBroken = errors.New("a check does not hold")

func main() {
	base := flag.String("base", defaultBase, "the older `COMMIT`, from this repository's history")
	flag.Parse()
	if err := run(*base); err != nil {
		fmt.Fprintln(os.Stderr, "compatibility:", err)
		os.Exit(1)
	}
}

// run builds both versions, runs all scenarios and prints the result.
func run(base string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	folder, err := os.MkdirTemp("", "compatibility-")
	if err != nil {
		return fmt.Errorf("making a temporary folder: %w", err)
	}
	defer os.RemoveAll(folder)
	versions, err := buildVersions(ctx, folder, base)
	if err != nil {
		return err
	}
	began := time.Now()
	outcome := runScenarios(ctx, folder, versions)
	outcome.Base, outcome.WorkingTree = versions.base.commit, versions.workingTree.commit
	outcome.Seconds = time.Since(began).Round(100 * time.Millisecond).Seconds()
	outcome.Holds = outcome.allHold()
	text, err := json.Marshal(outcome)
	if err != nil {
		return fmt.Errorf("writing the result: %w", err)
	}
	fmt.Println(string(text))
	if !outcome.Holds {
		return errBroken
	}
	return nil
}

// runScenarios runs one scenario after the other. A scenario that fails does not keep the next from running.
func runScenarios(ctx context.Context, folder string, versions versions) result {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	var outcome result
	base, workingTree := versions.base, versions.workingTree
	upgrade, rollback := direction{old: base, next: workingTree}, direction{old: workingTree, next: base}
	for _, versions := range []direction{upgrade, rollback} {
		restart := runHotRestart(ctx, folder, versions)
		report("hot restart "+restart.From+" -> "+restart.To, restart.Checks)
		outcome.HotRestarts = append(outcome.HotRestarts, restart)
	}
	for _, plan := range []clusterPlan{
		{start: mix{base, base, workingTree}, rolls: []version{workingTree, base}, copied: upgrade},
		{start: mix{base, workingTree, workingTree}, rolls: []version{base, workingTree}, copied: rollback},
	} {
		formed := runCluster(ctx, folder, plan, versions)
		report("cluster of "+formed.Start, formed.Checks)
		outcome.Clusters = append(outcome.Clusters, formed)
	}
	return outcome
}

// report prints the checks of a scenario on standard error.
func report(scenario string, checks checklist) {
	for _, item := range checks {
		verdict := "holds"
		if !item.Holds {
			verdict = "BROKEN: " + item.Problem
		}
		fmt.Fprintf(os.Stderr, "%s: %s: %s\n", scenario, item.Name, verdict)
	}
}
