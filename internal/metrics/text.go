package metrics

import (
	"strconv"
	"strings"
)

// namePrefix is the prefix of the names of this program's own metrics.
const namePrefix = "olivearch_"

// Types of metric families.
const (
	counter = "counter"
	gauge   = "gauge"
)

// familyWriter appends metric families to a text. The methods startFamily and startUnprefixedFamily begin a family, and
// sample adds a value to it.
type familyWriter struct {
	text []byte
	name string // of the current family
}

// startFamily begins a family of this program's own metrics. It puts namePrefix before the name.
func (w *familyWriter) startFamily(kind, name, help string) {
	w.startUnprefixedFamily(namePrefix+name, kind, help)
}

// startUnprefixedFamily begins a family whose name is used as given.
func (w *familyWriter) startUnprefixedFamily(name, kind, help string) {
	w.name = name
	w.write("# HELP ", name, " ", help, "\n# TYPE ", name, " ", kind, "\n")
}

// sample appends a value of the current family with its labels, given as alternating names and values.
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

// escapeLabel escapes a label's value for use between double quotes.
func escapeLabel(value string) string {
	if !strings.ContainsAny(value, "\\\"\n") {
		return value
	}
	return labelEscapes.Replace(value)
}
