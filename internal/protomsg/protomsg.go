// Package protomsg writes and reads messages in the wire format of Protocol Buffers (protobuf.dev, "Encoding") by hand, on the
// library's protowire and without its reflection, which costs a process megabytes. Fields that are zero are left out; a reader
// passes over fields that it does not know, so that a message of a newer version can be read.
package protomsg

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is wrapped by all errors about bytes that are no message.
var ErrMalformed = errors.New("malformed message")

// Writer builds a message.
type Writer struct{ b []byte }

// Bytes is the message so far.
func (w *Writer) Bytes() []byte { return w.b }

// Uint adds an unsigned number (a varint).
func (w *Writer) Uint(field protowire.Number, v uint64) {
	if v != 0 {
		w.b = protowire.AppendVarint(protowire.AppendTag(w.b, field, protowire.VarintType), v)
	}
}

// Int adds a signed number (zigzag).
func (w *Writer) Int(field protowire.Number, v int64) { w.Uint(field, protowire.EncodeZigZag(v)) }

// Bool adds a truth value.
func (w *Writer) Bool(field protowire.Number, v bool) { w.Uint(field, protowire.EncodeBool(v)) }

// String adds a text.
func (w *Writer) String(field protowire.Number, v string) {
	if v != "" {
		w.b = protowire.AppendString(protowire.AppendTag(w.b, field, protowire.BytesType), v)
	}
}

// Raw adds bytes.
func (w *Writer) Raw(field protowire.Number, v []byte) {
	if len(v) > 0 {
		w.b = protowire.AppendBytes(protowire.AppendTag(w.b, field, protowire.BytesType), v)
	}
}

// Message adds a message within the message, also an empty one: in a list it counts.
func (w *Writer) Message(field protowire.Number, fill func(*Writer)) {
	var in Writer
	fill(&in)
	w.b = protowire.AppendBytes(protowire.AppendTag(w.b, field, protowire.BytesType), in.b)
}

// Field is one field of a message.
type Field struct {
	Number protowire.Number
	Uint   uint64 // of a number
	Raw    []byte // of bytes, a text or a message; a part of what is read
	bytes  bool
}

// Int is a signed number.
func (f Field) Int() int64 { return protowire.DecodeZigZag(f.Uint) }

// Bool is a truth value.
func (f Field) Bool() bool { return f.Uint != 0 }

// Text puts a text into a string. It has to be UTF-8 and no longer than most, in bytes.
func (f Field) Text(into *string, most int) error {
	if !f.bytes || len(f.Raw) > most || !utf8.Valid(f.Raw) {
		return fmt.Errorf("%w: field %d is no text of at most %d bytes", ErrMalformed, f.Number, most)
	}
	*into = string(f.Raw)
	return nil
}

// Each calls f for each field of a message, in order, until it returns an error.
func Each(b []byte, f func(Field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return fmt.Errorf("%w: %w", ErrMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		x := Field{Number: number}
		switch kind {
		case protowire.VarintType:
			x.Uint, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			x.Raw, n = protowire.ConsumeBytes(b)
			x.bytes = true
		default: // of a newer version: the fields here are of the two kinds above
			n = protowire.ConsumeFieldValue(number, kind, b)
		}
		if n < 0 {
			return fmt.Errorf("%w: field %d: %w", ErrMalformed, number, protowire.ParseError(n))
		}
		b = b[n:]
		if kind != protowire.VarintType && kind != protowire.BytesType {
			continue
		}
		if err := f(x); err != nil {
			return err
		}
	}
	return nil
}

// Number of a field.
type Number = protowire.Number
