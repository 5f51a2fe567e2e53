package protomsg

import (
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
)

// Field is one field of a message that was read.
type Field struct {
	Number  protowire.Number
	Uint    uint64 // value of a varint; 0 for other wire types
	Raw     []byte // value of a string, bytes or nested message; shares memory with the message
	isBytes bool   // the wire type is length-delimited bytes
}

// Int returns the value of a signed integer that Writer.Int has written.
func (f Field) Int() int64 { return protowire.DecodeZigZag(f.Uint) }

// Bool returns the value of a boolean.
func (f Field) Bool() bool { return f.Uint != 0 }

// Text stores the value of a string in *target. If the field is not a string, is not valid UTF-8 or is longer than
// maxLength bytes, it returns an error that wraps ErrMalformed and leaves *target unchanged.
func (f Field) Text(target *string, maxLength int) error {
	if !f.isBytes || len(f.Raw) > maxLength || !utf8.Valid(f.Raw) {
		return fmt.Errorf("%w: field %d is not UTF-8 text of at most %d bytes",
			ErrMalformed, f.Number, maxLength)
	}
	*target = string(f.Raw)
	return nil
}

// EachField calls visit for each field of a message, in order, and stops at the first error. It returns errors of visit
// unchanged; errors about the message itself wrap ErrMalformed. EachField skips fields of wire types that this package
// does not write: a newer version may use them.
func EachField(message []byte, visit func(Field) error) error {
	for len(message) > 0 {
		field, known, length, err := consumeField(message)
		if err != nil {
			return err
		}
		message = message[length:]
		if !known {
			continue
		}
		if err := visit(field); err != nil {
			return err
		}
	}
	return nil
}

// consumeField reads the first field of a message and returns its length in bytes, including the tag. known reports
// whether this package writes the field's wire type; only then is the field's value set.
func consumeField(message []byte) (field Field, known bool, length int, err error) {
	number, wireType, tagLength := protowire.ConsumeTag(message)
	if tagLength < 0 {
		return Field{}, false, 0, fmt.Errorf("%w: %w", ErrMalformed, protowire.ParseError(tagLength))
	}
	field.Number = number
	known = true
	encoded := message[tagLength:]
	valueLength := 0
	switch wireType {
	case protowire.VarintType:
		field.Uint, valueLength = protowire.ConsumeVarint(encoded)
	case protowire.BytesType:
		field.Raw, valueLength = protowire.ConsumeBytes(encoded)
		field.isBytes = true
	default:
		known = false
		valueLength = protowire.ConsumeFieldValue(number, wireType, encoded)
	}
	if valueLength < 0 {
		cause := protowire.ParseError(valueLength)
		return Field{}, false, 0, fmt.Errorf("%w: field %d: %w", ErrMalformed, number, cause)
	}
	return field, known, tagLength + valueLength, nil
}
