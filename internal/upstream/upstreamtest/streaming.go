package upstreamtest

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/upstream"
)

// readBufferSize is the size in bytes of the read buffer of a client's connection.
const readBufferSize = 4 << 10

// streamedResponse is an attempt whose response is being streamed.
type streamedResponse struct {
	observer *recorder
	started  upstream.Result
	ended    chan upstream.Result
}

// startStreaming makes an attempt and returns when its response has started.
func startStreaming(t *testing.T, suite Suite, behaviour Behaviour) streamedResponse {
	t.Helper()
	server := suite.Server(t)
	server.SetBehaviour(behaviour)
	response := streamedResponse{observer: newRecorder(), ended: make(chan upstream.Result, 1)}
	attempt := newAttempt(server.Address(), nil)
	attempt.Observer = response.observer
	transport := suite.Transport()
	go func() { response.ended <- transport.Do(attempt) }()
	select {
	case response.started = <-response.observer.began:
	case result := <-response.ended:
		t.Fatalf("the attempt ended with %v before its response started", result.Status)
	case <-time.After(timeout):
		t.Fatal("no response started in time")
	}
	awaitArrival(t, server)
	return response
}

// readAsClient streams the response to a client and returns the body that the client reads.
func (r streamedResponse) readAsClient(t *testing.T) ([]byte, error) {
	t.Helper()
	balancerSide, clientSide := net.Pipe()
	copied := make(chan error, 1)
	go func() {
		err := r.started.Download.Copy(balancerSide, true)
		balancerSide.Close()
		copied <- err
	}()
	var source io.Reader = clientSide
	if r.started.Download.HasUnknownLength() {
		stream := http1.NewStream(clientSide, readBufferSize)
		source = stream.Body(http1.Framing{Chunked: true}, 1<<30)
	}
	got, err := io.ReadAll(source)
	return got, errors.Join(err, <-copied)
}

func testLongResponse(t *testing.T, suite Suite) {
	response := startStreaming(t, suite, ServeLong)
	expect(t, "status", response.started.Status, balancer.OK)
	got, err := response.readAsClient(t)
	if err != nil || !bytes.Equal(got, LongBody) {
		t.Errorf("the client received %d bytes, %v", len(got), err)
	}
	expect(t, "status of its end", (<-response.ended).Status, balancer.OK)
	expect(t, "notifications", fmt.Sprint(response.observer.recorded()), "[began]")
}

func testTruncatedResponse(t *testing.T, suite Suite) {
	response := startStreaming(t, suite, Truncate)
	got, err := response.readAsClient(t)
	if err == nil || len(got) >= len(LongBody) {
		t.Errorf("a truncated response was taken for complete: %d bytes", len(got))
	}
	expectBroken(t, <-response.ended)
}

func testStalledResponse(t *testing.T, suite Suite) {
	response := startStreaming(t, suite, Stall)
	response.started.Download.Abandon() // its client has left
	select {
	case result := <-response.ended:
		expectBroken(t, result)
	case <-time.After(timeout):
		t.Error("the attempt still waits for the stalled response")
	}
}

// streamedRequest is an attempt whose request body is streamed from a client.
type streamedRequest struct {
	attempt *upstream.Attempt
	client  net.Conn
	upload  *body.Upload
}

// newStreamedRequest returns a request whose body has the length of LongBody and is not sent yet.
func newStreamedRequest(t *testing.T, address string) streamedRequest {
	t.Helper()
	balancerSide, clientSide := net.Pipe()
	t.Cleanup(func() {
		balancerSide.Close()
		clientSide.Close()
	})
	noSpool := new(body.Spool) // has no capacity, so nothing is read ahead
	framing := http1.Framing{Length: uint64(len(LongBody))}
	upload := body.NewUpload(noSpool, balancerSide, framing, &body.DefaultLimits)
	if err := upload.ReadAhead(http1.NewStream(balancerSide, readBufferSize).Body(framing, 0)); err != nil {
		t.Fatal(err)
	}
	attempt := newAttempt(address, nil)
	attempt.Message.Body = nil
	attempt.Message.Upload = upload
	return streamedRequest{attempt: attempt, client: clientSide, upload: upload}
}

func testStreamedRequest(t *testing.T, suite Suite) {
	server := suite.Server(t)
	request := newStreamedRequest(t, server.Address())
	observer := newRecorder()
	request.attempt.Observer = observer
	ended := make(chan upstream.Result, 1)
	go func() { ended <- suite.Transport().Do(request.attempt) }()
	if _, err := request.client.Write(LongBody); err != nil {
		t.Fatal(err)
	}
	expect(t, "the client side's error", <-request.upload.Done(), nil)
	expect(t, "status", (<-ended).Status, balancer.OK)
	expect(t, "notifications", fmt.Sprint(observer.recorded()), "[written]")
	awaitArrival(t, server)
}

func testClientFailure(t *testing.T, suite Suite) {
	server := suite.Server(t)
	request := newStreamedRequest(t, server.Address())
	ended := make(chan upstream.Result, 1)
	go func() { ended <- suite.Transport().Do(request.attempt) }()
	if _, err := request.client.Write(LongBody[:len(LongBody)/2]); err != nil {
		t.Fatal(err)
	}
	request.client.Close()
	if err := <-request.upload.Done(); !errors.As(err, new(body.ClientError)) {
		t.Errorf("got upload error %v, want a body.ClientError", err)
	}
	expect(t, "status", (<-ended).Status, balancer.NotSent)
	expectNoArrival(t, server)
}
