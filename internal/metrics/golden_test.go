package metrics

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"olivearch/internal/golden"
)

// TestGoldenNames compares the name, type and labels of each metric with the golden file.
func TestGoldenNames(t *testing.T) {
	_, text, _ := scrape(t, Handler(sample))
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var lines strings.Builder
	for _, name := range slices.Sorted(maps.Keys(families)) {
		labels := map[string]bool{}
		for _, metric := range families[name].GetMetric() {
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = true
				if label.GetName() != "pool" && label.GetName() != "version" {
					labels[label.GetName()+"="+label.GetValue()] = true
				}
			}
		}
		fmt.Fprintln(&lines, name, families[name].GetType(), slices.Sorted(maps.Keys(labels)))
	}
	golden.Compare(t, "names.txt", lines.String())
}
