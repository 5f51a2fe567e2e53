package body

import (
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// account is a Reserve of a size.
type account struct{ size, used, peak atomic.Int64 }

func newAccount(size int64) *account {
	a := new(account)
	a.size.Store(size)
	return a
}

func (a *account) TryReserve(amount int64) bool {
	used := a.used.Add(amount)
	if used > a.size.Load() {
		a.used.Add(-amount)
		return false
	}
	a.peak.Store(max(a.peak.Load(), used))
	return true
}

func (a *account) Release(amount int64) { a.used.Add(-amount) }

// TestResponsesTakeMemoryFromTheAccount guards against responses that are held without being counted, against memory
// that is not given back, and against a response that is lost because there is no memory for it.
func TestResponsesTakeMemoryFromTheAccount(t *testing.T) {
	scripted.AtRest(t)
	text := strings.Repeat("0123456789abcdef", 2*MaxBuffered/16)
	for _, c := range []struct {
		name string
		size int64 // of the account
		text string
	}{
		{"whole, memory enough", 1 << 20, text[:MaxBuffered/2]},
		{"streamed, memory enough", 1 << 20, text},
		{"no memory", 0, text},
		{"memory for the buffer alone", MaxBuffered, text},
	} {
		t.Run(c.name, func(t *testing.T) {
			memory := newAccount(c.size)
			got := passOn(t, memory, c.text)
			if got != c.text {
				t.Errorf("got %d of %d bytes", len(got), len(c.text))
			}
			if used := memory.used.Load(); used != 0 {
				t.Errorf("%d bytes are not given back", used)
			}
			if c.size > 0 && memory.peak.Load() == 0 {
				t.Error("nothing was counted")
			}
		})
	}
}

// passOn receives a chunked response and returns what its client gets.
func passOn(t *testing.T, memory Reserve, text string) string {
	t.Helper()
	balancerSide, upstreamSide := net.Pipe()
	defer upstreamSide.Close()
	download := NewDownload(http1.NewStream(balancerSide, 2<<10), http1.Framing{Chunked: true}, &DefaultLimits)
	download.Within(memory)
	go func() {
		_, _ = io.WriteString(upstreamSide, strconv.FormatInt(int64(len(text)), 16)+"\r\n"+text+"\r\n"+http1.LastChunk)
	}()
	client, readSide := net.Pipe()
	received := make(chan string, 1)
	go func() {
		content, _ := io.ReadAll(readSide)
		received <- string(content)
	}()
	whole, err := download.Receive(func() {
		go func() {
			defer client.Close()
			if err := download.Copy(client, false); err != nil {
				t.Error(err)
			}
		}()
	})
	if err != nil {
		t.Fatal(err)
	}
	if whole != nil {
		client.Close()
		<-received
		return string(whole)
	}
	return <-received
}
