package metrics

import (
	"strconv"
	"strings"
)

// The kinds of families.
const (
	counter = "counter"
	gauge   = "gauge"
)

// writer writes families, one after the other.
type writer struct {
	text []byte
	name string // of the family
}

// family begins one of ours.
func (w *writer) family(kind, name, help string) { w.of("olivearch_"+name, kind, help) }

// of begins a family by its whole name.
func (w *writer) of(name, kind, help string) {
	w.name = name
	w.add("# HELP ", name, " ", help, "\n# TYPE ", name, " ", kind, "\n")
}

// line tells a value with its labels: names and values in turn.
func (w *writer) line(x float64, labels ...string) {
	w.add(w.name)
	for i := 0; i+1 < len(labels); i += 2 {
		before := ","
		if i == 0 {
			before = "{"
		}
		w.add(before, labels[i], `="`, escaped(labels[i+1]), `"`)
	}
	if len(labels) > 0 {
		w.add("}")
	}
	w.add(" ")
	w.text = append(strconv.AppendFloat(w.text, x, 'g', -1, 64), '\n')
}

func (w *writer) add(parts ...string) {
	for _, x := range parts {
		w.text = append(w.text, x...)
	}
}

var escapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// escaped is a label's value as it stands between quotes.
func escaped(value string) string {
	if !strings.ContainsAny(value, "\\\"\n") {
		return value
	}
	return escapes.Replace(value)
}
