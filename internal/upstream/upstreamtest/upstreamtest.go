// Package upstreamtest tests an upstream.Transport against its contract, as testing/fstest does a file system: every
// protocol towards upstreams runs Test with servers that speak it.
package upstreamtest

import (
	"bytes"
	"testing"

	"olivearch/internal/upstream"
)

// Behaviour is what a server does with a request that it has read completely.
type Behaviour int

// The behaviours. Each Server has all of them.
const (
	Serve       Behaviour = iota // responds 200 with the body Answer
	ServeLong                    // responds 200 with the body Long
	Reject                       // responds that it has not run the request
	Fail                         // runs the request and responds 500
	Disconnect                   // closes the connection without a response
	Truncate                     // sends half of Long and closes the connection
	Stall                        // sends half of Long and then nothing
	Hold                         // sends nothing until Release, then serves
	Unsolicited                  // serves and sends something unsolicited behind the response
)

// Bodies that servers respond with. Long is long enough to be streamed.
var (
	Answer = []byte("done")
	Long   = bytes.Repeat([]byte("0123456789abcdef"), 16<<10)
)

// Server is an upstream that speaks the transport's protocol.
type Server interface {
	// Address is the host:port on which it listens.
	Address() string
	// SetBehaviour sets the behaviour from the next request on.
	SetBehaviour(Behaviour)
	// Arrived yields the X-Request-Id of each completely read request.
	Arrived() <-chan string
	// Release ends all holds.
	Release()
	// Opened returns the number of connections that were accepted.
	Opened() int
}

// Suite is what is tested.
type Suite struct {
	// Transport returns a transport that passes on full responses.
	Transport func() upstream.Transport
	// Server starts a server that ends with the test.
	Server func(t *testing.T) Server
}

// Test runs all tests of the contract.
func Test(t *testing.T, suite Suite) {
	for _, testCase := range []struct {
		name string
		test func(*testing.T, Suite)
	}{
		{"a dropped attempt writes nothing", testDropped},
		{"a closed gate or a passed deadline writes nothing", testGateClosed},
		{"outcomes", testOutcomes},
		{"nobody listens", testConnectionRefused},
		{"a connection is reused", testReuse},
		{"one attempt is one write", testOneWrite},
		{"a long response is streamed", testLongResponse},
		{"a truncated response", testTruncatedResponse},
		{"a response stalls and its client leaves", testStalledResponse},
		{"the wait for a response is given up", testGivenUp},
		{"unsolicited bytes behind a response", testUnsolicited},
		{"a request body is streamed", testStreamedRequest},
		{"a client fails in its request body", testClientFailure},
		{"drops race with writes", testDropRace},
		{"a health check", testProbe},
	} {
		t.Run(testCase.name, func(t *testing.T) { testCase.test(t, suite) })
	}
}
