package body

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"olivearch/internal/http1"
)

// The end of an answer is told after its beginning, however late that is: an answer that had just begun to go on was once told
// as whole and empty, and served so.
func TestEndIsToldAfterTheBeginning(t *testing.T) {
	for _, text := range []string{"3\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n", "noise"} {
		here, there := net.Pipe()
		d := NewDownload(http1.NewStream(here, 2<<10), http1.Framing{Chunked: true}, &Usual)
		begins, goOn := make(chan struct{}), make(chan struct{})
		ended := make(chan error, 1)
		go func() {
			_, err := d.Receive(func() { close(begins); <-goOn })
			ended <- err
		}()
		<-begins // the timer has gone off, and what it tells has not come yet
		io.WriteString(there, text)
		there.Close()
		p := <-d.parts
		for p.err == nil {
			p = <-d.parts
		}
		select {
		case <-ended:
			t.Fatal("the end is told before the beginning")
		case <-time.After(Promptly): // it has had time to
		}
		close(goOn)
		if err := <-ended; (err == nil) != strings.HasSuffix(text, http1.LastChunk) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
