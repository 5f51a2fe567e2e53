// Package protomsg reads and writes messages in the wire format of Protocol Buffers (protobuf.dev, "Encoding") by hand.
// It builds on the protowire package and leaves out the library's reflection, which costs a process megabytes.
//
// A field with the zero value is not written. A reader skips fields whose number it does not know, so that it can read
// a message of a newer version. The package writes two wire types: varints, and length-delimited bytes.
package protomsg

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is wrapped by every error about bytes that are not a well-formed message.
var ErrMalformed = errors.New("malformed message")

// Number is the number of a field within its message.
type Number = protowire.Number
