package protomsg

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

// TestWriter compares the bytes of each kind of field with those that protobuf.dev's page on encoding gives.
func TestWriter(t *testing.T) {
	cases := []struct {
		name  string
		write func(*Writer)
		want  []byte
	}{
		{name: "unsigned integer", write: func(w *Writer) { w.Uint(1, 150) }, want: []byte{0x08, 0x96, 0x01}},
		{name: "signed integer", write: func(w *Writer) { w.Int(1, -2) }, want: []byte{0x08, 0x03}},
		{name: "boolean", write: func(w *Writer) { w.Bool(3, true) }, want: []byte{0x18, 0x01}},
		{name: "string", write: func(w *Writer) { w.String(2, "hi") }, want: []byte{0x12, 0x02, 'h', 'i'}},
		{name: "bytes", write: func(w *Writer) { w.Raw(2, []byte{7}) }, want: []byte{0x12, 0x01, 0x07}},
		{
			name:  "nested message",
			write: func(w *Writer) { w.Message(3, func(nested *Writer) { nested.Uint(1, 5) }) },
			want:  []byte{0x1a, 0x02, 0x08, 0x05},
		},
		{
			name:  "empty nested message",
			write: func(w *Writer) { w.Message(3, func(*Writer) {}) },
			want:  []byte{0x1a, 0x00},
		},
		{
			name: "zero values are left out",
			write: func(w *Writer) {
				w.Uint(1, 0)
				w.Int(2, 0)
				w.Bool(3, false)
				w.String(4, "")
				w.Raw(5, nil)
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var w Writer
			test.write(&w)
			if !bytes.Equal(w.Bytes(), test.want) {
				t.Errorf("got % x, want % x", w.Bytes(), test.want)
			}
		})
	}
}

// TestEachField checks which fields are read from a message. Fields of wire types that Writer does not write are
// skipped.
func TestEachField(t *testing.T) {
	cases := []struct {
		name    string
		message []byte
		want    []Field
	}{
		{name: "empty"},
		{name: "varint", message: []byte{0x08, 0x96, 0x01}, want: []Field{{Number: 1, Uint: 150}}},
		{
			name:    "string",
			message: []byte{0x12, 0x01, 'a'},
			want:    []Field{{Number: 2, Raw: []byte("a"), isBytes: true}},
		},
		{
			name:    "a 32-bit field between two varints",
			message: []byte{0x08, 0x01, 0x15, 1, 2, 3, 4, 0x18, 0x02},
			want:    []Field{{Number: 1, Uint: 1}, {Number: 3, Uint: 2}},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []Field
			err := EachField(test.message, func(field Field) error {
				got = append(got, field)
				return nil
			})
			if err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, %v; want %+v", got, err, test.want)
			}
		})
	}
}

// TestMalformed checks that malformed messages are reported as ErrMalformed, and that an error of visit is returned.
func TestMalformed(t *testing.T) {
	ignore := func(Field) error { return nil }
	var text string
	asText := func(field Field) error { return field.Text(&text, 2) }
	cases := []struct {
		name    string
		message []byte
		visit   func(Field) error
	}{
		{name: "tag cut off", message: []byte{0x80}, visit: ignore},
		{name: "field number zero", message: []byte{0x00, 0x01}, visit: ignore},
		{name: "varint cut off", message: []byte{0x08, 0x80}, visit: ignore},
		{name: "bytes cut off", message: []byte{0x12, 0x05, 'a'}, visit: ignore},
		{name: "32-bit field cut off", message: []byte{0x15, 1, 2}, visit: ignore},
		{name: "text that is a varint", message: []byte{0x08, 0x01}, visit: asText},
		{name: "text that is too long", message: []byte{0x12, 0x03, 'a', 'b', 'c'}, visit: asText},
		{name: "text that is not UTF-8", message: []byte{0x12, 0x01, 0xff}, visit: asText},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if err := EachField(test.message, test.visit); !errors.Is(err, ErrMalformed) {
				t.Errorf("got %v, want an error that wraps ErrMalformed", err)
			}
		})
	}

	errVisit := errors.New("stop")
	if err := EachField([]byte{0x08, 0x01}, func(Field) error { return errVisit }); !errors.Is(err, errVisit) {
		t.Errorf("got %v, want the error of visit", err)
	}
}
