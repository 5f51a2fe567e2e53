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
	send(t, c, text)
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

// TestHeldResponseIsNotStreamed guards against a second response to an earlier request that is passed on because it
// comes in pieces, so that its streaming is due before it can be recognised.
func TestHeldResponseIsNotStreamed(t *testing.T) {
	for _, c := range []struct {
		name     string
		rest     string
		streamed bool
	}{
		{"the rest is that of the other response", "def", false},
		{"the rest differs", "xyz", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			here, there := net.Pipe()
			download := NewDownload(http1.NewStream(here, 2<<10), http1.Framing{Chunked: true}, &DefaultLimits)
			asked := make(chan struct{}, 10)
			download.HoldWhile(func(received []byte) bool {
				asked <- struct{}{}
				return "abcdef"[:len(received)] == string(received)
			})
			began := make(chan struct{})
			received := make(chan string, 1)
			go func() {
				whole, err := download.Receive(func() { close(began) })
				if err != nil {
					t.Error(err)
				}
				received <- string(whole)
			}()
			send(t, there, "3\r\nabc\r\n")
			<-asked // the streaming is due
			send(t, there, "3\r\n"+c.rest+"\r\n")
			if c.streamed {
				<-began
				go takeAllParts(download)
				send(t, there, http1.LastChunk)
				<-received
				return
			}
			send(t, there, http1.LastChunk)
			if whole := <-received; whole != "abcdef" {
				t.Errorf("got %q", whole)
			}
		})
	}
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}
