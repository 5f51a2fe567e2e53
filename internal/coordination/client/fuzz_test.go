package client

import (
	"bytes"
	"fmt"
	"testing"

	"olivearch/internal/coordination/state"
)

// Any bytes are read or rejected without a panic, and what is read comes back the same after it was written again.
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
		if x, err := DecodeResponse(encoded); err == nil {
			if again, err := DecodeResponse(x.Encode()); err != nil || fmt.Sprint(again) != fmt.Sprint(x) {
				t.Fatalf("%+v came back as %+v: %v", x, again, err)
			}
		}
		if x, err := DecodeRequest(encoded); err == nil {
			if again, err := DecodeRequest(x.Encode()); err != nil || fmt.Sprint(again) != fmt.Sprint(x) {
				t.Fatalf("%+v came back as %+v: %v", x, again, err)
			}
		}
		_, _ = DecodeHello(encoded)
		_, _ = DecodeWelcome(encoded)
		_, _ = DecodeUpdate(encoded)
		_, _ = DecodePing(encoded)
		if body, err := ReadFrame(bytes.NewReader(encoded), 1<<20); err == nil {
			var out bytes.Buffer
			if WriteFrame(&out, body) != nil || !bytes.HasPrefix(encoded, out.Bytes()) {
				t.Fatal("a frame does not come back")
			}
		}
	})
}
