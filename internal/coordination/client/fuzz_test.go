package client

import (
	"bytes"
	"fmt"
	"testing"

	"olivearch/internal/coordination/state"
)

// FuzzMessages decodes arbitrary bytes. No decoder may panic, and a decoded Request, Response or frame must be the same
// after it is encoded and decoded again.
func FuzzMessages(f *testing.F) {
	response := Response{
		Number:  1,
		Outcome: OutcomeDone,
		Result:  state.Result{FencingToken: 3, Reserved: []state.ReservedSlot{{Second: 1, Count: 2}}},
		Members: []state.Member{{ID: 1, Name: "a"}},
	}
	f.Add(response.Encode())
	update := stateUpdate(f, 1, 2, "a")
	f.Add(update.Encode())
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if decoded, err := DecodeResponse(encoded); err == nil {
			if again, err := DecodeResponse(decoded.Encode()); err != nil ||
				fmt.Sprint(again) != fmt.Sprint(decoded) {
				t.Fatalf("%+v, encoded and decoded again: %+v, %v", decoded, again, err)
			}
		}
		if decoded, err := DecodeRequest(encoded); err == nil {
			if again, err := DecodeRequest(decoded.Encode()); err != nil ||
				fmt.Sprint(again) != fmt.Sprint(decoded) {
				t.Fatalf("%+v, encoded and decoded again: %+v, %v", decoded, again, err)
			}
		}
		_, _ = DecodeHello(encoded)
		_, _ = DecodeWelcome(encoded)
		_, _ = DecodeUpdate(encoded)
		_, _ = DecodePing(encoded)
		if body, err := ReadFrame(bytes.NewReader(encoded), 1<<20); err == nil {
			var out bytes.Buffer
			if WriteFrame(&out, body) != nil || !bytes.HasPrefix(encoded, out.Bytes()) {
				t.Fatal("an encoded frame differs from the frame that was read")
			}
		}
	})
}
