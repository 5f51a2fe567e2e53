package metrics

import (
	"strconv"
	"strings"
)

// namePrefix begins the names of this program's metrics.
const namePrefix = "olivearch_"

// Types of metric families.
const (
	counter = "counter"
	gauge   = "gauge"
)

// familyWriter appends metric families to a text, one after the other.
type familyWriter struct {
	text []byte
	name string // of the family that its samples belong to
}

// startFamily starts a family of this program, whose names all begin with namePrefix.
func (w *familyWriter) startFamily(kind, name, help string) {
	w.startProcessFamily(namePrefix+name, kind, help)
}

// startProcessFamily starts a family by its whole name.
func (w *familyWriter) startProcessFamily(name, kind, help string) {
	w.name = name
	w.write("# HELP ", name, " ", help, "\n# TYPE ", name, " ", kind, "\n")
}

// sample appends a value of the family with its labels: names and values in turn.
func (w *familyWriter) sample(value float64, labels ...string) {
	w.write(w.name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		w.write(separator, labels[i], `="`, escapeLabel(labels[i+1]), `"`)
	}
	if len(labels) > 0 {
		w.write("}")
	}
	w.write(" ")
	w.text = append(strconv.AppendFloat(w.text, value, 'g', -1, 64), '\n')
}

func (w *familyWriter) write(parts ...string) {
	for _, part := range parts {
		w.text = append(w.text, part...)
	}
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// escapeLabel returns a label's value as it stands between quotes.
func escapeLabel(value string) string {
	if !strings.ContainsAny(value, "\\\"\n") {
		return value
	}
	return labelEscapes.Replace(value)
}
