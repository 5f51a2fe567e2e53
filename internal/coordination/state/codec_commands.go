package state

import (
	"errors"
	"fmt"
	"math"
	"time"

	"olivearch/internal/protomsg"
)

// The codec_*.go files encode and decode commands and snapshots in the wire format of Protocol Buffers. Field numbers
// are declared beside the encoder and decoder of their message. They are stored on disks and sent between versions, so
// a number is never reused for another field. A decoder skips unknown fields; an unknown kind of command is an error.

// ErrUnknownKind reports a command of a kind that this version does not know. Its text is sent to clients and keeps
// its terms, see reject.
var ErrUnknownKind = errors.New("a kind of promise that this version does not know")

// commandCodec encodes and decodes the fields of a command.
type commandCodec interface {
	encode(w *protomsg.Writer)
	// decode reads one field and skips an unknown one.
	decode(field protomsg.Field) error
}

// Fields of a command.
const (
	fieldCommandNumber = 1
	fieldCommandBody   = 2
)

// Encode returns the encoding of a command, without an envelope.
func Encode(command Command) []byte {
	var w protomsg.Writer
	w.Uint(fieldCommandNumber, uint64(command.number()))
	w.Message(fieldCommandBody, command.encode)
	return w.Bytes()
}

// Decode decodes the encoding that Encode returns. The error wraps protomsg.ErrMalformed or ErrUnknownKind.
func Decode(encoded []byte) (Command, error) {
	var number uint64
	var body []byte
	err := protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case fieldCommandNumber:
			number = field.Uint
		case fieldCommandBody:
			body = field.Raw
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if number > math.MaxUint32 || commandKinds[uint32(number)] == nil {
		return nil, fmt.Errorf("%w: number %d", ErrUnknownKind, number)
	}
	command := commandKinds[uint32(number)]()
	if err := protomsg.EachField(body, command.decode); err != nil {
		return nil, fmt.Errorf("command %d: %w", number, err)
	}
	return command, nil
}

// Envelope is the content of a Raft log entry.
type Envelope struct {
	ID      uint64 // of the proposal; the proposer chooses it at random
	Clock   uint64 // cluster clock at the leader, in ms
	Command Command
}

// Fields of an envelope.
const (
	fieldEnvelopeID      = 1
	fieldEnvelopeClock   = 2
	fieldEnvelopeCommand = 3
)

// Encode returns the encoding of an envelope.
func (e Envelope) Encode() []byte {
	var w protomsg.Writer
	w.Uint(fieldEnvelopeID, e.ID)
	w.Uint(fieldEnvelopeClock, e.Clock)
	w.Raw(fieldEnvelopeCommand, Encode(e.Command))
	return w.Bytes()
}

// DecodeEnvelope decodes an envelope. The error wraps protomsg.ErrMalformed or ErrUnknownKind. With ErrUnknownKind, the
// returned envelope is complete except for its command.
func DecodeEnvelope(encoded []byte) (Envelope, error) {
	var envelope Envelope
	var command []byte
	err := protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case fieldEnvelopeID:
			envelope.ID = field.Uint
		case fieldEnvelopeClock:
			envelope.Clock = field.Uint
		case fieldEnvelopeCommand:
			command = field.Raw
		}
		return nil
	})
	if err == nil {
		envelope.Command, err = Decode(command)
	}
	return envelope, err
}

const fieldRaiseFeatureLevelTo = 1

func (c *RaiseFeatureLevel) encode(w *protomsg.Writer) {
	w.Uint(fieldRaiseFeatureLevelTo, uint64(c.To))
}

func (c *RaiseFeatureLevel) decode(field protomsg.Field) error {
	if field.Number == fieldRaiseFeatureLevelTo {
		c.To = decodeFeatureLevel(field)
	}
	return nil
}

func (*AdvanceClock) encode(*protomsg.Writer)     {}
func (*AdvanceClock) decode(protomsg.Field) error { return nil }

// decodeFeatureLevel decodes a feature level and limits it to a value that is above all real levels and fits uint32.
func decodeFeatureLevel(field protomsg.Field) uint32 {
	const maxLevel = 1 << 31
	return uint32(min(field.Uint, maxLevel))
}

// encodeMillis writes a duration in ms, rounded down.
func encodeMillis(w *protomsg.Writer, field protomsg.Number, duration time.Duration) {
	w.Int(field, duration.Milliseconds())
}

// decodeMillis decodes a duration in ms. It limits durations outside the range of all commands to ones that Check
// rejects, so that the conversion does not overflow.
func decodeMillis(field protomsg.Field) time.Duration {
	const tooLong = int64(MaxOverrideDuration/time.Millisecond) + 1
	millis := min(max(field.Int(), -1), tooLong)
	return time.Duration(millis) * time.Millisecond
}
