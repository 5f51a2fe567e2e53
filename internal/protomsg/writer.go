package protomsg

import "google.golang.org/protobuf/encoding/protowire"

// Writer builds a message by appending its fields. The zero value is an empty message.
type Writer struct{ encoded []byte }

// Bytes returns the message written so far. The Writer may append later fields to the same memory.
func (w *Writer) Bytes() []byte { return w.encoded }

// Uint appends an unsigned integer as a varint, unless it is zero.
func (w *Writer) Uint(field protowire.Number, value uint64) {
	if value != 0 {
		w.appendTag(field, protowire.VarintType)
		w.encoded = protowire.AppendVarint(w.encoded, value)
	}
}

// Int appends a signed integer as a zigzag varint (sint64), unless it is zero.
func (w *Writer) Int(field protowire.Number, value int64) {
	w.Uint(field, protowire.EncodeZigZag(value))
}

// Bool appends a boolean, unless it is false.
func (w *Writer) Bool(field protowire.Number, value bool) { w.Uint(field, protowire.EncodeBool(value)) }

// String appends a string, unless it is empty.
func (w *Writer) String(field protowire.Number, value string) {
	if value != "" {
		w.appendTag(field, protowire.BytesType)
		w.encoded = protowire.AppendString(w.encoded, value)
	}
}

// Raw appends bytes, unless there are none.
func (w *Writer) Raw(field protowire.Number, value []byte) {
	if len(value) > 0 {
		w.appendBytes(field, value)
	}
}

// Message appends a nested message, whose fields fill writes. An empty message is written too, as it may be an element
// of a repeated field.
func (w *Writer) Message(field protowire.Number, fill func(*Writer)) {
	var nested Writer
	fill(&nested)
	w.appendBytes(field, nested.encoded)
}

func (w *Writer) appendBytes(field protowire.Number, value []byte) {
	w.appendTag(field, protowire.BytesType)
	w.encoded = protowire.AppendBytes(w.encoded, value)
}

func (w *Writer) appendTag(field protowire.Number, wireType protowire.Type) {
	w.encoded = protowire.AppendTag(w.encoded, field, wireType)
}
