package ground

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the programs under test from the source that stands here, with the tag "ground" and further ones.
func Build(ctx context.Context, folder string, tags ...string) (program, ledger string, err error) {
	tags = append([]string{"ground"}, tags...)
	text, err := exec.CommandContext(ctx, "go", "build", "-tags", strings.Join(tags, ","), "-o", folder+string(filepath.Separator),
		"clayladder/cmd/olivearch", "clayladder/cmd/oliveledger").CombinedOutput()
	if err != nil {
		return "", "", fmt.Errorf("%w\n%s", err, text)
	}
	return filepath.Join(folder, "olivearch"), filepath.Join(folder, "oliveledger"), nil
}
