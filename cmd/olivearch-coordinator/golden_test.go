package main

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"olivearch/internal/golden"
)

// flagLine matches a line of a command's help that names a flag.
var flagLine = regexp.MustCompile(`(?m)^  -[a-z].*$`)

// defaultValue matches the default of a flag in the help.
var defaultValue = regexp.MustCompile(`\(default [^)]*\)`)

// TestGoldenFlags pins the flags of each command, with the placeholders and defaults in its help, and its exit status.
func TestGoldenFlags(t *testing.T) {
	path := filepath.Join(t.TempDir(), "program")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var text strings.Builder
	for _, arguments := range goldenCommands {
		out, err := exec.Command(path, strings.Fields(arguments)...).CombinedOutput()
		text.WriteString("# " + arguments + "\n")
		if err != nil {
			text.WriteString(err.Error() + "\n")
		}
		for _, at := range flagLine.FindAllStringIndex(string(out), -1) {
			line := string(out[at[0]:at[1]])
			name, _, _ := strings.Cut(strings.TrimSpace(line), "\t")
			rest := string(out[at[1]:])
			if next := flagLine.FindStringIndex(rest); next != nil {
				rest = rest[:next[0]]
			}
			text.WriteString(strings.TrimSpace(name+" "+defaultValue.FindString(line+rest)) + "\n")
		}
	}
	golden.Compare(t, "flags.txt", text.String())
}

var goldenCommands = []string{"--help", "", "run", "check", "recover", "show", "run --help", "nothing"}
