package strictyaml

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// parse parses a text that must be a single YAML document, and returns its root; nil if it recorded an error.
func (d *Doc) parse(text []byte) *yaml.Node {
	var document yaml.Node
	reader := yaml.NewDecoder(bytes.NewReader(text))
	err := reader.Decode(&document)
	switch {
	case errors.Is(err, io.EOF):
		d.Fail("", "the file is empty")
		return nil
	case err != nil:
		d.failSyntax(err)
		return nil
	}
	err = reader.Decode(new(yaml.Node))
	switch {
	case err == nil:
		d.Fail("", "one document is wanted, and another follows")
		return nil
	case !errors.Is(err, io.EOF):
		d.failSyntax(err)
		return nil
	}
	d.root = document.Content[0]
	return d.root
}

// failSyntax records an error of the parser, which has a line but no column.
func (d *Doc) failSyntax(err error) {
	line, text := splitParserError(err)
	d.failAt(Position{d.lineOffset + line, 1}, "", text)
}

// splitParserError splits an error of the parser, such as "yaml: line 3: did not find expected key", into the line and
// the reason. The line is 1 if the error has none. The text has to be split because the parser has no error type.
func splitParserError(err error) (line int, text string) {
	text = strings.TrimPrefix(err.Error(), "yaml: ")
	rest, hasLine := strings.CutPrefix(text, "line ")
	if !hasLine {
		return 1, text
	}
	number, reason, hasReason := strings.Cut(rest, ": ")
	line, err = strconv.Atoi(number)
	if !hasReason || err != nil {
		return 1, text
	}
	return line, reason
}
