package main

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// readBodySlowly reads the body of a request in steps, with a pause after each, until stop is closed. It returns the
// bytes read.
func readBodySlowly(r *http.Request, step int64, pause time.Duration, stop <-chan struct{}) (received int64) {
	for {
		read, err := io.CopyN(io.Discard, r.Body, step)
		received += read
		if err != nil {
			return received
		}
		select {
		case <-time.After(pause):
		case <-stop:
			return received
		}
	}
}

// TestLongRequestTakenSlowlyIsAnsweredInTime guards against a final response that comes long after its time because an
// upstream reads a long request slowly.
func TestLongRequestTakenSlowlyIsAnsweredInTime(t *testing.T) {
	const size, late, slack = 4 << 20, 500 * time.Millisecond, 250 * time.Millisecond
	stop := make(chan struct{})
	process := startPlatform(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if isReadyCheck(r) {
			return
		}
		received := readBodySlowly(r, 32<<10, 100*time.Millisecond, stop)
		respondText(t, w, strconv.FormatInt(received, 10))
	})
	t.Cleanup(func() { close(stop) })
	for id, name := range map[string]string{"1": "known length", "2": "chunked"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := process.dial(t)
			text := strings.Repeat("x", size)
			head := platformHead(id, "", size)
			if name == "chunked" {
				head = strings.Replace(head, "Content-Length: "+strconv.Itoa(size), "Transfer-Encoding: chunked", 1)
				text = strconv.FormatInt(size, 16) + "\r\n" + text + "\r\n0\r\n\r\n"
			}
			_, writeErr := io.WriteString(conn, head+text)
			written := time.Now()
			got, err := readAnswer(bufio.NewReader(conn))
			after := time.Since(written)
			t.Logf("status %d %v after the last byte, %v, write %v", got.status, after, err, writeErr)
			if after > requestTime+late+slack {
				t.Errorf("the final response came %v after the last byte", after)
			}
		})
	}
}

// TestLongRequestOfSlowClientReachesSlowUpstream guards against a request that is given up although its client and its
// upstream both make progress, each for longer than the request's time.
func TestLongRequestOfSlowClientReachesSlowUpstream(t *testing.T) {
	const pieces, piece, pause = 24, 64 << 10, 100 * time.Millisecond
	stop := make(chan struct{})
	process := startPlatform(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if isReadyCheck(r) {
			return
		}
		received := readBodySlowly(r, 200<<10, pause, stop)
		respondText(t, w, strconv.FormatInt(received, 10))
	})
	t.Cleanup(func() { close(stop) })
	conn := process.dial(t)
	if _, err := io.WriteString(conn, platformHead("1", "", pieces*piece)); err != nil {
		t.Fatal(err)
	}
	for range pieces {
		if _, err := io.WriteString(conn, strings.Repeat("x", piece)); err != nil {
			t.Fatal(err)
		}
		<-time.After(pause)
	}
	got, err := readAnswer(bufio.NewReader(conn))
	if err != nil || got.status != http.StatusOK || got.body != strconv.Itoa(pieces*piece) {
		t.Errorf("got %d %q, %v", got.status, got.body, err)
	}
}
