package faulttest

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the programs under test from the source that stands here, with the tag "faultinject" and further ones.
func Build(ctx context.Context, folder string, tags ...string) (program, ledger string, err error) {
	tags = append([]string{"faultinject"}, tags...)
	text, err := exec.CommandContext(ctx, "go", "build", "-tags", strings.Join(tags, ","), "-o", folder+string(filepath.Separator),
		"olivearch/cmd/olivearch", "olivearch/cmd/olivearch-coordinator").CombinedOutput()
	if err != nil {
		return "", "", fmt.Errorf("%w\n%s", err, text)
	}
	return filepath.Join(folder, "olivearch"), filepath.Join(folder, "olivearch-coordinator"), nil
}
