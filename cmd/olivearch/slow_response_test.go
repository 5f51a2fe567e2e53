package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pacedResponse is a response that an upstream writes in parts of equal size, with a pause before each but the first.
type pacedResponse struct {
	name   string
	field  string // of the head, which tells the framing
	pauses []time.Duration
}

const pacedPart = 16 << 10

func (p pacedResponse) size() int { return (len(p.pauses) + 1) * pacedPart }

// write writes the response and closes the connection.
func (p pacedResponse) write(conn net.Conn) {
	defer conn.Close()
	chunked := strings.Contains(p.field, "chunked")
	part := strings.Repeat("x", pacedPart)
	if chunked {
		part = strconv.FormatInt(pacedPart, 16) + "\r\n" + part + "\r\n"
	}
	field := strings.Replace(p.field, "SIZE", strconv.Itoa(p.size()), 1)
	text := "HTTP/1.1 200 OK\r\n" + field + "Connection: close\r\n\r\n" + part
	for _, pause := range p.pauses {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		<-time.After(pause)
		text = part
	}
	if chunked {
		text += "0\r\n\r\n"
	}
	_, _ = io.WriteString(conn, text) // the client's side is checked
}

// evenly returns pauses of equal length.
func evenly(parts int, pause time.Duration) []time.Duration {
	pauses := make([]time.Duration, parts)
	for i := range pauses {
		pauses[i] = pause
	}
	return pauses
}

// hijack takes over the connection of a request to an upstream.
func hijack(t *testing.T, w http.ResponseWriter) net.Conn {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
	}
	return conn
}

// TestSlowResponseIsPassedOnWhole guards against a response that is cut after its request's time although its upstream
// still writes it.
func TestSlowResponseIsPassedOnWhole(t *testing.T) {
	const known, chunked, untilClose = "Content-Length: SIZE\r\n", "Transfer-Encoding: chunked\r\n", ""
	steady := evenly(16, 120*time.Millisecond)
	lumps := []time.Duration{700 * time.Millisecond, 860 * time.Millisecond, 1530 * time.Millisecond}
	responses := []pacedResponse{
		{"steady, known length", known, steady},
		{"steady, chunked", chunked, steady},
		{"steady, until close", untilClose, steady},
		{"lumps, known length", known, append(evenly(2, time.Millisecond), lumps...)},
		{"lumps, chunked", chunked, lumps},
		{"lumps, until close", untilClose, lumps},
	}
	process := startPlatform(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if isReadyCheck(r) {
			return
		}
		index, err := strconv.Atoi(r.Header.Get("X-Request-Id"))
		if err != nil {
			t.Error(err)
			return
		}
		responses[index].write(hijack(t, w))
	})
	for i, response := range responses {
		t.Run(response.name, func(t *testing.T) {
			t.Parallel()
			got, err := process.send(t, strconv.Itoa(i), "")
			if err != nil || len(got.body) != response.size() {
				t.Errorf("got %d of %d bytes, %v", len(got.body), response.size(), err)
			}
		})
	}
}

// TestStalledResponseIsCut guards against a response that has no end because its upstream writes nothing more.
func TestStalledResponseIsCut(t *testing.T) {
	const late, timeSlack = 500 * time.Millisecond, 250 * time.Millisecond
	release := make(chan struct{})
	process := startPlatform(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if isReadyCheck(r) {
			return
		}
		conn := hijack(t, w)
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		<-release
	})
	defer close(release)
	conn := process.dial(t)
	if _, err := io.WriteString(conn, platformHead("1", "", 0)); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(requestTime + late + timeSlack)); err != nil {
		t.Fatal(err)
	}
	got, err := readAnswer(bufio.NewReader(conn))
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %q, %v; want a response that is visibly cut", got.body, err)
	}
}

// TestSlowClientGetsResponseWhole guards against a response that is cut after its request's time although its client
// still reads it.
func TestSlowClientGetsResponseWhole(t *testing.T) {
	const size, step, pause = 12 << 20, 256 << 10, 40 * time.Millisecond // of the reading; 1.9 s in all
	process := startPlatform(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if isReadyCheck(r) {
			return
		}
		if r.Header.Get("X-Request-Id") == "1" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = w.Write(make([]byte, size)) // the client's side is checked
	})
	for id, name := range map[string]string{"1": "known length", "2": "chunked"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := process.dial(t)
			if _, err := io.WriteString(conn, platformHead(id, "", 0)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			received := int64(0)
			for err == nil {
				var read int64
				read, err = io.CopyN(io.Discard, response.Body, step)
				received += read
				<-time.After(pause)
			}
			if !errors.Is(err, io.EOF) || received != size {
				t.Errorf("got %d of %d bytes, %v", received, size, err)
			}
		})
	}
}

// TestMovingResponseOutlastsSIGTERM guards against a response that is cut at SIGTERM although its upstream still writes
// it and the platform would wait.
func TestMovingResponseOutlastsSIGTERM(t *testing.T) {
	const known = "Content-Length: SIZE\r\n"
	response := pacedResponse{"steady", known, evenly(26, 100*time.Millisecond)} // 2.6 s of the platform's 3.7
	began := make(chan struct{})
	process := startPlatform(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if !isReadyCheck(r) {
			close(began)
			response.write(hijack(t, w))
		}
	})
	got := make(chan answer, 1)
	go func() {
		received, err := process.send(t, "1", "")
		if err != nil {
			t.Error(err)
		}
		got <- received
	}()
	<-began
	sendSignal(t, process.cmd, syscall.SIGTERM)
	if received := <-got; len(received.body) != response.size() {
		t.Errorf("got %d of %d bytes", len(received.body), response.size())
	}
	process.awaitEnd(t)
}
