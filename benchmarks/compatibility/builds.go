package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

const (
	baseName        = "base"
	workingTreeName = "working tree"
	// changedSuffix marks the commit of a working tree with changes that are not committed.
	changedSuffix = "+changes"
)

// coordinatorFolders are the names that the coordination server's program has had, the present one first.
var coordinatorFolders = []string{"cmd/olivearch-coordinator", "cmd/oliveledger"}

// version is the built programs of one commit or of the working tree.
type version struct {
	name        string
	commit      string
	balancer    string // path of the program
	coordinator string
}

// versions are the two that have to work together.
type versions struct{ base, workingTree version }

// direction is a change from one version to another.
type direction struct{ old, next version }

// buildVersions builds the programs of a commit and of the working tree into a folder.
func buildVersions(ctx context.Context, folder, commit string) (versions, error) {
	ctx, cancel := context.WithTimeout(ctx, buildTimeout)
	defer cancel()
	root, err := command(ctx, "", "git", "rev-parse", "--show-toplevel")
	if err != nil {
		return versions{}, fmt.Errorf("finding the repository: %w", err)
	}
	source := filepath.Join(folder, "base-source")
	baseCommit, err := checkOut(ctx, root, commit, source)
	if err != nil {
		return versions{}, err
	}
	treeCommit, err := describeWorkingTree(ctx, root)
	if err != nil {
		return versions{}, err
	}
	base, err := build(ctx, source, filepath.Join(folder, "base-programs"))
	if err != nil {
		return versions{}, fmt.Errorf("building %s: %w", commit, err)
	}
	workingTree, err := build(ctx, root, filepath.Join(folder, "tree-programs"))
	if err != nil {
		return versions{}, fmt.Errorf("building the working tree: %w", err)
	}
	base.name, base.commit = baseName, baseCommit
	workingTree.name, workingTree.commit = workingTreeName, treeCommit
	return versions{base, workingTree}, nil
}

// checkOut puts the files of a commit into a folder and returns the commit's whole name. The repository itself is
// only read: the folder is a clone that shares its objects.
func checkOut(ctx context.Context, root, commit, folder string) (string, error) {
	whole, err := command(ctx, root, "git", "rev-parse", "--verify", "--quiet", commit+"^{commit}")
	if err != nil {
		return "", fmt.Errorf("commit %s is not in this repository's history (a shallow clone?): %w", commit, err)
	}
	if _, err := command(ctx, root, "git", "clone", "--quiet", "--shared", "--no-checkout", root, folder); err != nil {
		return "", fmt.Errorf("cloning the repository: %w", err)
	}
	if _, err := command(ctx, folder, "git", "checkout", "--quiet", "--detach", whole); err != nil {
		return "", fmt.Errorf("checking out %s: %w", commit, err)
	}
	return whole, nil
}

// describeWorkingTree returns the commit of the working tree, and whether its files differ from that.
func describeWorkingTree(ctx context.Context, root string) (string, error) {
	commit, err := command(ctx, root, "git", "rev-parse", "HEAD")
	if err != nil {
		return "", fmt.Errorf("reading the working tree's commit: %w", err)
	}
	changes, err := command(ctx, root, "git", "status", "--porcelain")
	if err != nil {
		return "", fmt.Errorf("reading the working tree's changes: %w", err)
	}
	if changes != "" {
		commit += changedSuffix
	}
	return commit, nil
}

// build builds the balancer and the coordination server from the source in a folder.
func build(ctx context.Context, source, to string) (version, error) {
	coordinator, err := coordinatorFolder(source)
	if err != nil {
		return version{}, err
	}
	built := version{balancer: filepath.Join(to, "olivearch"), coordinator: filepath.Join(to, "coordinator")}
	for path, program := range map[string]string{built.balancer: "cmd/olivearch", built.coordinator: coordinator} {
		if _, err := command(ctx, source, "go", "build", "-buildvcs=false", "-o", path, "./"+program); err != nil {
			return version{}, err
		}
	}
	return built, nil
}

// coordinatorFolder finds the coordination server's program in a source folder.
func coordinatorFolder(source string) (string, error) {
	for _, name := range coordinatorFolders {
		if _, err := os.Stat(filepath.Join(source, name)); err == nil {
			return name, nil
		}
	}
	return "", fmt.Errorf("there is none of %s", strings.Join(coordinatorFolders, ", "))
}

// command runs a program in a folder and returns what it prints, without the white space around it.
func command(ctx context.Context, folder, name string, arguments ...string) (string, error) {
	started := exec.CommandContext(ctx, name, arguments...)
	started.Dir = folder
	var output, problem bytes.Buffer
	started.Stdout, started.Stderr = &output, &problem
	if err := started.Run(); err != nil {
		if text := strings.TrimSpace(problem.String()); text != "" {
			err = errors.New(text)
		}
		return "", fmt.Errorf("%s: %w", name, err)
	}
	return strings.TrimSpace(output.String()), nil
}
