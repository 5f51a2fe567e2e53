package hotrestart

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/golden"
	"olivearch/internal/override"
)

// TestGoldenMessages compares the messages between an old and a new process with the golden file, and decodes them:
// this version must write what an earlier one reads, and read what an earlier one wrote.
func TestGoldenMessages(t *testing.T) {
	snapshot := balancer.Snapshot{
		Figures: map[string]float64{"lat": 2.5},
		Classes: map[string]float64{"read": 7},
		Upstreams: []balancer.UpstreamSnapshot{{
			ID: 3, StartedAt: time.Second, Unresponsive: true, TrialAt: 2 * time.Second,
			Backoff: time.Millisecond, Readings: 4, Answers: 5, UnreportedAnswers: 6,
			Window: []float64{0.5, 0.25}, Figures: map[string]float64{"bound": 3},
		}},
	}
	overrides := map[string]override.Entry{"s-1": {Out: true, At: 17}, "s-2": {At: 18}}
	var text strings.Builder
	for _, message := range []Message{
		{Kind: KindTakeOver, Listen: "127.0.0.1:8080"},
		{Kind: KindState, Serial: 3, Listen: "127.0.0.1:8080", Standby: true, Overrides: overrides},
		{Kind: KindAck, Serial: 3},
		{Kind: KindReady},
		{Kind: KindSnapshotRequest},
		{Kind: KindSnapshot, Snapshot: &snapshot},
		{Kind: KindClientConnection},
		{Kind: KindTakeOver, Listen: "127.0.0.1:8080", SharesIDs: true},
		{Kind: KindRequestIDs, RequestIDs: &RequestIDs{
			Begun: []uint64{1}, BegunOnce: []uint64{2}, Unanswered: []uint64{3}, Ended: []uint64{1<<64 - 1},
		}},
	} {
		encoded, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(decoded, message) {
			t.Errorf("%s: decoded as %+v, %v", encoded, decoded, err)
		}
		text.Write(append(encoded, '\n'))
	}
	golden.Compare(t, "messages.txt", text.String())
}
