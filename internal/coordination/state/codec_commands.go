package state

import (
	"errors"
	"fmt"
	"math"
	"time"

	"olivearch/internal/protomsg"
)

// The codec_*.go files hold the wire format of commands and snapshots, which is that of Protocol Buffers. The numbers
// of fields stand beside the encoder and decoder of their message; they are on disks and in messages between
// versions, and are never used again for anything else. A reader skips fields that it does not know; a command of a
// kind that it does not know is an error.

// ErrUnknownKind is wrapped by an error about a command of a kind that this version does not know.
var ErrUnknownKind = errors.New("a kind of promise that this version does not know")

// commandCodec writes and reads the fields of a command.
type commandCodec interface {
	encode(w *protomsg.Writer)
	// decode reads one field. Fields that it does not know are skipped.
	decode(field protomsg.Field) error
}

// Fields of a command.
const (
	fieldCommandNumber = 1
	fieldCommandBody   = 2
)

// Encode writes a command, without an envelope.
func Encode(command Command) []byte {
	var w protomsg.Writer
	w.Uint(fieldCommandNumber, uint64(command.number()))
	w.Message(fieldCommandBody, command.encode)
	return w.Bytes()
}

// Decode reads a command. The error wraps protomsg.ErrMalformed or ErrUnknownKind.
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

// Envelope is a command as it stands in the Raft log.
type Envelope struct {
	ID      uint64 // of the proposal, a random number that the proposer drew
	Clock   uint64 // of the cluster as the leader has counted it, in ms
	Command Command
}

// Fields of an envelope.
const (
	fieldEnvelopeID      = 1
	fieldEnvelopeClock   = 2
	fieldEnvelopeCommand = 3
)

// Encode writes an envelope.
func (e Envelope) Encode() []byte {
	var w protomsg.Writer
	w.Uint(fieldEnvelopeID, e.ID)
	w.Uint(fieldEnvelopeClock, e.Clock)
	w.Raw(fieldEnvelopeCommand, Encode(e.Command))
	return w.Bytes()
}

// DecodeEnvelope reads an envelope. If the error wraps ErrUnknownKind, all but the command was read.
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
		c.To = decodeLevel(field)
	}
	return nil
}

func (*AdvanceClock) encode(*protomsg.Writer)     {}
func (*AdvanceClock) decode(protomsg.Field) error { return nil }

// decodeLevel reads a feature level. What is above any level that there will be is limited to one.
func decodeLevel(field protomsg.Field) uint32 {
	const maxLevel = 1 << 31
	return uint32(min(field.Uint, maxLevel))
}

// encodeMillis writes a duration in ms. A part of a millisecond is cut off.
func encodeMillis(w *protomsg.Writer, field protomsg.Number, duration time.Duration) {
	w.Int(field, duration.Milliseconds())
}

// decodeMillis reads a duration in ms. What no command may have is limited to a duration that Check rejects.
func decodeMillis(field protomsg.Field) time.Duration {
	const tooLong = int64(MaxOverrideDuration/time.Millisecond) + 1
	millis := min(max(field.Int(), -1), tooLong)
	return time.Duration(millis) * time.Millisecond
}
