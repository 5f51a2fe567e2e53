// Package protomsg reads and writes messages in the wire format of Protocol Buffers (protobuf.dev, "Encoding") field by
// field, without generated code. It builds on the protowire package alone, as the reflection of the full protobuf
// library costs a process megabytes of memory. The coordination protocol and its stored data use it.
//
// The package writes two wire types: varints, and length-delimited bytes. A field with the zero value is not written.
// A reader should skip fields with unknown numbers, so that it can read messages of newer versions.
package protomsg

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is wrapped by every error about a message that is not well-formed.
var ErrMalformed = errors.New("malformed message")

// Number is the number of a field within its message.
type Number = protowire.Number
