package config

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// randomText returns a random valid configuration, whose entries are written in various styles.
func randomText(rng *rand.Rand) string {
	entry := func(forms ...string) string { return forms[rng.IntN(len(forms))] }
	var b strings.Builder
	b.WriteString(entry("", "# head\n", "\n"))
	b.WriteString("listeners: [{address: '127.0.0.1:0', connections: 500}]\nlimits: {memory: 512MiB}\n")
	sections := []func(){
		func() {
			b.WriteString("classes:\n  c: {aim: 100ms, deadline: 1s}\n  r: {repeat: safe, aim: 100ms, deadline: 2s}\n")
		},
		func() {
			b.WriteString("pools:\n")
			for i := range 5 {
				form := entry(
					"  p%d: {nodes: {file: p%[1]d.yaml}, queue: 20}\n",
					"  p%d:\n    # its list\n    nodes:\n      file: p%[1]d.yaml\n    queue: 20\n",
					"  \"p%d\": {nodes: {static: [\n    {address: '127.0.0.1:90%[1]d'}]}, queue: 9}\n",
				)
				fmt.Fprintf(&b, form, i)
			}
		},
		func() {
			indent := entry("", "  ")
			b.WriteString("routes:\n")
			for i := range 5 + rng.IntN(20) {
				form := entry(
					"- {name: r%d, path: {prefix: /r%[1]d}, class: c, pool: p%[2]d}\n",
					"- name: r%d\n  path:\n    exact: /r%[1]d\n  # of its own\n  class: r\n\n  pool: p%[2]d\n",
					"- {name: 'r%d', hosts: [a.org,\n  '*.b.org'], class: c, "+
						"pools: [{pool: p%[2]d, weight: 1}, {pool: p0, weight: 3}],\n  path: {pattern: '/r%[1]d/{x}'}}\n",
					"-\n  name: r%d\n  key_cookie: >-\n    one\n    line\n  path: {prefix: /r%[1]d}\n  class: c\n  pool: p%[2]d\n",
				)
				text := fmt.Sprintf(form, i, rng.IntN(5))
				for _, line := range strings.SplitAfter(strings.TrimSuffix(text, "\n"), "\n") {
					b.WriteString(indent + line)
				}
				b.WriteString("\n")
			}
		},
		func() {
			if rng.IntN(4) == 0 {
				b.WriteString("tenants: {t1: {quota: 5}, t2: {quota: 7}}\n")
				return
			}
			b.WriteString("tenants:\n")
			for i := range 5 + rng.IntN(40) {
				form := entry(
					"  t%d: {quota: 5}\n",
					"  t%d: {quota: 1.5} # small\n",
					"  't%d':\n    quota: 7\n",
					"  # next\n  t%d: {quota: 2}\n\n",
				)
				fmt.Fprintf(&b, form, i)
			}
		},
	}
	rng.Shuffle(len(sections), func(i, j int) { sections[i], sections[j] = sections[j], sections[i] })
	for _, f := range sections {
		f()
	}
	return b.String()
}

// Replacements that random edits make in a line, as pairs of old and new text.
var (
	// valueReplacements change the values of entries.
	valueReplacements = []string{
		"quota: 5", "quota: 6", "quota: 7", "quota: 0.5", "/r", "/s", "class: c", "class: r",
		"p1", "p2", "queue: 20", "queue: 21", "weight: 3", "weight: 4", "9", "8",
	}
	// lineEndReplacements insert YAML indicators at the ends of lines.
	lineEndReplacements = []string{
		"\n", " '\n", "\n", " \"\n", "\n", " |\n", "\n", " {\n", "\n", " [\n", "\n", "\r\n",
		"\n", " >+\n", "\n", "\n---\n", "\n", "\n...\n", "\n", " &a\n", "\n", " x\n",
	}
	// tokenReplacements insert tags, anchors, aliases and unusual characters into lines.
	tokenReplacements = []string{
		"c", "&x c", "5", "!!str 5", "c", "*x", "name", "? name",
		"t", "<<", "r", "ü", "p", "\u0085p", "2", "\u20282",
	}
)

// withRandomEdits returns a text with a few random edits, most of which leave it valid.
func withRandomEdits(rng *rand.Rand, text string) string {
	for range 1 + rng.IntN(3) {
		lines := strings.SplitAfter(text, "\n")
		at := rng.IntN(len(lines))
		other := rng.IntN(len(lines))
		replace := func(pairs ...string) {
			i := 2 * rng.IntN(len(pairs)/2)
			lines[at] = strings.Replace(lines[at], pairs[i], pairs[i+1], 1)
		}
		switch rng.IntN(22) {
		case 0, 1, 2:
			replace(valueReplacements...)
		case 3, 4:
			lines = slices.Delete(lines, at, at+1)
		case 5, 6:
			lines = slices.Insert(lines, at, lines[other])
		case 7:
			lines[at], lines[other] = lines[other], lines[at]
		case 8:
			lines[at] = " " + lines[at]
		case 9:
			lines[at] = strings.TrimPrefix(lines[at], " ")
		case 10:
			lines[at] = strings.Replace(lines[at], " ", "\t", 1)
		case 11:
			lines = slices.Insert(lines, at, "# a comment\n")
		case 12:
			lines = slices.Insert(lines, at, "    # deeper: {comment}\n")
		case 13:
			lines = slices.Insert(lines, at, "\n")
		case 14:
			lines = slices.Insert(lines, at, fmt.Sprintf("  new%d: {quota: 3}\n", rng.IntN(5)))
		case 15:
			form := "  - {name: new%d, path: {prefix: /n%[1]d}, class: c, pool: p%d}\n"
			lines = slices.Insert(lines, at, fmt.Sprintf(form, rng.IntN(5), rng.IntN(6)))
		case 16:
			replace("}", "", "{", "", "'", "", "'", "\"", ": ", ":", "]", "", "\"", "")
		case 17:
			replace(lineEndReplacements...)
		case 18:
			replace(tokenReplacements...)
		case 19:
			i := rng.IntN(len(text) + 1)
			text = text[:i] + string(rune("'\"{}[]:,#&*!|>%@`- \n\t\r\x00"[rng.IntN(23)])) + text[i:]
			continue
		case 20:
			i := rng.IntN(len(text) + 1)
			text = text[:i] + text[min(len(text), i+1+rng.IntN(3)):]
			continue
		case 21: // move a few lines
			n := min(len(lines)-at, 1+rng.IntN(6))
			moved := slices.Clone(lines[at : at+n])
			lines = slices.Delete(lines, at, at+n)
			lines = slices.Insert(lines, rng.IntN(len(lines)+1), moved...)
		}
		text = strings.Join(lines, "")
	}
	return text
}
