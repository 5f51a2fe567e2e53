package http1

import (
	"io"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// TestDeliveryWatchTellsSlowFromStopped guards against a reader that is taken for one that has stopped because it takes
// longer for a part than the time of the watch, and the other way round.
func TestDeliveryWatchTellsSlowFromStopped(t *testing.T) {
	const limit, receiveBuffer, steps = 400 * time.Millisecond, 4 << 10, 12
	for name, step := range map[string]int64{"slow": 8 << 10, "stopped": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			writer, reader := scripted.Connect(t, scripted.ListenWithSmallBuffer(t, receiveBuffer))
			stalled := make(chan struct{}, 2*steps)
			watch := WatchDelivery(writer, limit, func() { stalled <- struct{}{} })
			defer watch.Stop()
			go func() { _, _ = writer.Write(make([]byte, 16<<20)) }() // ends with the connection
			for range steps {                                         // three times the limit
				if _, err := io.CopyN(io.Discard, reader, step); err != nil {
					t.Fatal(err)
				}
				<-time.After(limit / 4)
			}
			if got, want := watch.Stalled(), step == 0; got != want {
				t.Errorf("stalled: got %v, want %v", got, want)
			}
		})
	}
}
