package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/standin/scripted"
)

// TestStalledUploadEnds guards against a streamed request that is answered long after its time, because the upstream
// takes nothing of its body any more: each part had seconds of its own.
func TestStalledUploadEnds(t *testing.T) {
	scripted.AtRest(t)
	upstream := startStalledUpstream(t)
	attempt := newLongTimeoutAttempt(upstream.address)
	attempt.Message.Upload = newLongUpload(t, false, false)
	attempt.Message.HasBodyFraming = true
	attempt.Timeout = writeEnd
	ended := make(chan Result, 1)
	go func() { ended <- HTTP1{ConnectTimeout: time.Minute}.Do(attempt) }()
	select {
	case result := <-ended:
		want(t, "status", result.Status, balancer.ConnectFailed)
	case <-time.After(writeEnd + readLate):
		t.Errorf("the attempt goes on %v after its time", readLate)
	}
	close(upstream.readOn)
	if err := <-upstream.received; err == nil {
		t.Error("the upstream received the last byte late")
	}
}

// TestSlowUploadGoesOn guards against a streamed request that is ended although its upstream takes it, slowly, or its
// client sends it slowly.
func TestSlowUploadGoesOn(t *testing.T) {
	scripted.AtRest(t)
	const pieces, pause = 8, writeEnd / 3 // longer than writeEnd in all
	server := scripted.Start(t, scripted.Done)
	client, balancerSide := scripted.Pair(t)
	attempt := newLongTimeoutAttempt(server.Addr)
	attempt.Message.Upload = newUploadFrom(t, balancerSide, pieces)
	attempt.Message.HasBodyFraming = true
	attempt.Timeout = writeEnd
	go func() {
		for range pieces {
			<-time.After(pause)
			_, _ = io.WriteString(client, "x")
		}
	}()
	result := HTTP1{ConnectTimeout: time.Minute}.Do(attempt)
	want(t, "status", result.Status, balancer.OK)
	if result.Conn != nil {
		result.Conn.Close()
	}
}

// TestEarlyResponseToStalledUploadIsRead guards against an early response that is lost, because the upstream takes
// nothing more of the request.
func TestEarlyResponseToStalledUploadIsRead(t *testing.T) {
	upstream := startStalledUpstream(t)
	upstream.early = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n"
	attempt := newLongTimeoutAttempt(upstream.address)
	attempt.Message.Upload = newLongUpload(t, false, false)
	attempt.Message.HasBodyFraming = true
	attempt.Timeout = writeEnd
	result := HTTP1{ConnectTimeout: time.Minute, FullResponses: true}.Do(attempt)
	want(t, "status code", result.Code, http.StatusRequestEntityTooLarge)
	close(upstream.readOn)
}

// TestSlowPartGoesOn guards against a streamed request that is ended because its upstream takes a part of it for
// longer than 5 s, although it goes on taking it.
func TestSlowPartGoesOn(t *testing.T) {
	t.Parallel()
	const step, pause, parts = 4 << 10, 400 * time.Millisecond, 22 // 6.4 s for 64 KiB
	listener := scripted.ListenWithSmallBuffer(t, step)
	taken := make(chan error, 1)
	go func() { taken <- takeSlowly(listener, step, pause) }()
	client, balancerSide := scripted.Pair(t)
	attempt := newLongTimeoutAttempt(listener.Addr().String())
	attempt.Conn = dialWithSmallBuffer(t, attempt.Address)
	attempt.Message.Upload = newUploadFrom(t, balancerSide, parts*step)
	attempt.Message.HasBodyFraming = true
	attempt.Timeout = time.Minute
	go func() { _, _ = client.Write(make([]byte, parts*step)) }() // the result is checked
	result := HTTP1{ConnectTimeout: time.Minute}.Do(attempt)
	want(t, "status", result.Status, balancer.OK)
	if err := <-taken; err != nil {
		t.Error(err)
	}
	if result.Conn != nil {
		result.Conn.Close()
	}
}

// dialWithSmallBuffer opens an idle connection of which the system holds few bytes.
func dialWithSmallBuffer(t *testing.T, address string) *conn {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	const smallBuffer = 8 << 10
	if err := socket.(*net.TCPConn).SetWriteBuffer(smallBuffer); err != nil {
		t.Fatal(err)
	}
	return newConn(socket, address)
}

// takeSlowly accepts a connection, reads a request in steps with pauses, and answers it.
func takeSlowly(listener net.Listener, step int64, pause time.Duration) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	for err == nil {
		<-time.After(pause)
		_, err = io.CopyN(io.Discard, request.Body, step)
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return err
}
