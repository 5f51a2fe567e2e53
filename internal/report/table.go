// Package report shows what experiments saw: as a table, and as a page with plots that needs nothing beside itself.
package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"olivearch/internal/stats"
)

// column is a figure of the table.
type column struct {
	name, title string
	form        string
	of          func(x float64) float64
}

func same(x float64) float64    { return x }
func percent(x float64) float64 { return 100 * x }

var columns = []column{
	{"per_second", "served/s", "%.0f", same},
	{"p50", "p50 ms", "%.2f", same},
	{"p90", "p90 ms", "%.2f", same},
	{"p99", "p99 ms", "%.2f", same},
	{"in_aim", "in time %", "%.2f", percent},
	{"refused", "refused %", "%.2f", percent},
	{"failed", "failed %", "%.2f", percent},
	{"executions", "executions", "%.3f", same},
	{"breaches", "breaches", "%.0f", same},
	{"cpu_us", "CPU us", "%.1f", same},
	{"resident_mb", "MB", "%.0f", same},
}

// rows are the table's, with its head.
func rows(r *stats.Result) (all [][]string) {
	head := []string{"contender"}
	for _, c := range columns {
		head = append(head, c.title)
	}
	all = append(all, head)
	for _, name := range r.Contenders {
		row := []string{name}
		for _, c := range columns {
			row = append(row, fmt.Sprintf(c.form, c.of(r.Figure(name, c.name))))
		}
		all = append(all, row)
	}
	return all
}

// Table writes a result as a table, with what came of its bounds.
func Table(out io.Writer, r *stats.Result, findings []stats.Finding) error {
	fmt.Fprintf(out, "\n%s (%s): %s\n", r.Scenario, r.Mode, r.About)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range rows(r) {
		for _, cell := range row {
			fmt.Fprint(t, cell, "\t")
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, f := range findings {
		fmt.Fprintf(out, "  %-7s %s\n", map[bool]string{true: "holds:", false: "BROKEN:"}[f.Holds], f.Text)
	}
	return nil
}
