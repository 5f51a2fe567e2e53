package body

import (
	"io"
	"net"
	"testing"
	"time"

	"olivearch/internal/http1"
)

// Receive returns only after its callback has. When it returned before, a response whose streaming had just started was
// served as complete and empty.
func TestEndIsReportedAfterBeginning(t *testing.T) {
	for _, c := range []struct {
		name     string
		text     string
		complete bool
	}{
		{"complete", "3\r\nabc\r\n0\r\n\r\n", true},
		{"cut", "3\r\nabc\r\n", false},
		{"malformed", "noise", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			here, there := net.Pipe()
			d := NewDownload(http1.NewStream(here, 2<<10), http1.Framing{Chunked: true}, &DefaultLimits)
			beginCalled, letBeginReturn := make(chan struct{}), make(chan struct{})
			received := make(chan error, 1)
			go func() {
				_, err := d.Receive(func() {
					close(beginCalled)
					<-letBeginReturn
				})
				received <- err
			}()
			<-beginCalled // by the timer; it has not returned yet
			sendAndClose(t, there, c.text)
			takeAllParts(d)
			select {
			case err := <-received:
				t.Fatalf("Receive has returned before begin: %v", err)
			case <-time.After(bufferingTime): // Receive had time to return
			}
			close(letBeginReturn)
			if err := <-received; (err == nil) != c.complete {
				t.Errorf("%q: %v", c.text, err)
			}
		})
	}
}

func sendAndClose(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

// takeAllParts receives the parts of a download up to the last one.
func takeAllParts(d *Download) {
	for next := <-d.parts; next.err == nil; {
		next = <-d.parts
	}
}
