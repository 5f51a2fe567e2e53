package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

const (
	// smallReceiveBuffer, in bytes, keeps the system from accepting a whole body at once where nothing is read.
	smallReceiveBuffer = 16 << 10

	longBodyBytes = 4 << 20
	// writeEnd is how long after its start a request must be written.
	writeEnd = 300 * time.Millisecond
	// readLate is how long after writeEnd the upstream reads on if the attempt has not ended by then.
	readLate = time.Second
)

// stalledUpstream reads the head of a request, and the rest only once it is told to.
type stalledUpstream struct {
	address  string
	early    string // sent once the head was read
	readOn   chan struct{}
	received chan error // why the request is not complete; nil: its last byte was read
}

func startStalledUpstream(t *testing.T) *stalledUpstream {
	t.Helper()
	listener := scripted.ListenWithSmallBuffer(t, smallReceiveBuffer)
	upstream := &stalledUpstream{
		address:  listener.Addr().String(),
		readOn:   make(chan struct{}),
		received: make(chan error, 1),
	}
	go func() { upstream.received <- upstream.serve(listener) }()
	return upstream
}

// serve reads one request and returns an error if it does not arrive completely.
func (s *stalledUpstream) serve(listener net.Listener) error {
	connection, err := listener.Accept()
	if err != nil {
		return err
	}
	defer connection.Close()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return err
	}
	if _, err := io.WriteString(connection, s.early); err != nil {
		return err
	}
	<-s.readOn
	_, err = io.Copy(io.Discard, request.Body)
	return err
}

// newLongUpload returns the upload of a body that a client has begun to send. If readAhead is false, it is streamed.
func newLongUpload(t *testing.T, chunked, readAhead bool) *body.Upload {
	t.Helper()
	clientSide, balancerSide := scripted.Pair(t)
	go sendLongBody(clientSide, chunked)
	limits := body.DefaultLimits
	limits.ReadAheadBytes = 2 * longBodyBytes
	spool := new(body.Spool)
	if readAhead {
		spool.SetSize(int64(limits.ReadAheadBytes))
	}
	framing := http1.Framing{Length: longBodyBytes}
	if chunked {
		framing = http1.Framing{Chunked: true}
	}
	upload := body.NewUpload(spool, balancerSide, framing, &limits)
	source := http1.NewStream(balancerSide, 4<<10).Body(framing, 2*longBodyBytes)
	if err := upload.ReadAhead(source); err != nil {
		t.Fatal(err)
	}
	want(t, "streaming", upload.Streaming(), !readAhead)
	return upload
}

// newUploadFrom returns the upload of a body that a client sends on a connection. It is streamed.
func newUploadFrom(t *testing.T, conn net.Conn, bytes uint64) *body.Upload {
	t.Helper()
	framing := http1.Framing{Length: bytes}
	upload := body.NewUpload(new(body.Spool), conn, framing, &body.DefaultLimits)
	if err := upload.ReadAhead(http1.NewStream(conn, 1<<10).Body(framing, 0)); err != nil {
		t.Fatal(err)
	}
	return upload
}

// sendLongBody sends a body as a client. It fails if the test ends before, which is no error of the client.
func sendLongBody(client net.Conn, chunked bool) {
	content := bytes.Repeat([]byte("x"), longBodyBytes)
	if chunked {
		_, _ = fmt.Fprintf(client, "%x\r\n%s\r\n%s", longBodyBytes, content, http1.LastChunk)
		return
	}
	_, _ = client.Write(content)
}

// TestLastByteNotWrittenAfterEndOfWriting guards against a keyed request that an upstream runs again after the
// deduplication window, because each part of its long body renewed the write deadline.
func TestLastByteNotWrittenAfterEndOfWriting(t *testing.T) {
	setWriteDeadline := func(a *Attempt) { a.WriteDeadline = time.Now().Add(writeEnd) }
	setTimeout := func(a *Attempt) { a.Timeout = writeEnd }
	for _, c := range []struct {
		name               string
		chunked, readAhead bool
		limit              func(*Attempt)
	}{
		{"write deadline, read ahead, known length", false, true, setWriteDeadline},
		{"write deadline, read ahead, chunked", true, true, setWriteDeadline},
		{"write deadline, streamed, known length", false, false, setWriteDeadline},
		{"write deadline, streamed, chunked", true, false, setWriteDeadline},
		{"time-out, read ahead, known length", false, true, setTimeout},
		{"time-out, read ahead, chunked", true, true, setTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstream := startStalledUpstream(t)
			attempt := newLongTimeoutAttempt(upstream.address)
			attempt.Message.Upload = newLongUpload(t, c.chunked, c.readAhead)
			attempt.Message.HasBodyFraming = true
			c.limit(attempt)
			ended := make(chan Result, 1)
			go func() { ended <- HTTP1{ConnectTimeout: time.Minute}.Do(attempt) }()
			result := Result{Status: balancer.OK}
			select {
			case result = <-ended:
				close(upstream.readOn)
			case <-time.After(writeEnd + readLate):
				close(upstream.readOn)
				t.Errorf("the attempt goes on %v after the time by which its request must be written", readLate)
			}
			if err := <-upstream.received; err == nil {
				t.Error("the upstream received the last byte late")
			}
			want(t, "status", fmt.Sprint(result.Status), fmt.Sprint(balancer.ConnectFailed))
		})
	}
}
