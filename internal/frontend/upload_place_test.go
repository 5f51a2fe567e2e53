package frontend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"olivearch/internal/pool"
	"olivearch/internal/standin/scripted"
)

// awaitSubmitted returns the next request that is submitted.
func (r *heldRouter) awaitSubmitted(t *testing.T) *pool.Request {
	t.Helper()
	select {
	case request := <-r.submitted:
		return request
	case <-time.After(10 * time.Second):
		t.Fatal("no request was submitted within 10 s")
		return nil
	}
}

// takeUpload does what an attempt does with a streamed body.
func takeUpload(t *testing.T, request *pool.Request) {
	t.Helper()
	upload := request.Message.Upload
	if !upload.Streaming() || !upload.Retain() {
		t.Fatal("the body is not streamed")
	}
	defer upload.Release()
	balancerSide, upstreamSide := scripted.Pair(t)
	go func() { _, _ = io.Copy(io.Discard, upstreamSide) }()
	if err := upload.Send(balancerSide, time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// TestUploadGivesItsPlaceBackWithItsLastByte guards against uploads that get no place while others, which have been
// sent whole, wait for their responses.
func TestUploadGivesItsPlaceBackWithItsLastByte(t *testing.T) {
	const length = 200 << 10
	server, listener, router := newHookedServer(t)
	server.SetSpoolBytes(0)
	server.SetUploadPlaces(1)
	text := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length) + strings.Repeat("x", length)
	first, _ := listener.dial(t, noHooks)
	first.send(t, text)
	answered := router.awaitSubmitted(t)
	takeUpload(t, answered)
	second, _ := listener.dial(t, noHooks)
	second.send(t, text)
	other := router.awaitSubmitted(t)
	takeUpload(t, other)
	for _, request := range []*pool.Request{answered, other} {
		request.Responses <- pool.Response{Status: http.StatusOK}
	}
	first.expectStatus(t, http.StatusOK, false)
	second.expectStatus(t, http.StatusOK, false)
}
