// Package upstreamtest tests implementations of upstream.Transport against its contract, as testing/fstest tests file
// systems. The tests of each implementation call Test with a server of its protocol. The package does not test the
// encoding of a protocol.
package upstreamtest

import (
	"bytes"
	"testing"

	"olivearch/internal/upstream"
)

// Behaviour is what a server does with a request that it has read completely.
type Behaviour int

// Behaviours that every Server implements.
const (
	Serve       Behaviour = iota // responds 200 with the body ShortBody
	ServeLong                    // responds 200 with the body LongBody
	Reject                       // responds that it has not run the request
	Fail                         // responds 500
	Disconnect                   // closes the connection without a response
	Truncate                     // responds with half of LongBody and closes the connection
	Stall                        // responds with half of LongBody and then sends nothing
	Hold                         // sends nothing until Release, then responds as Serve
	Unsolicited                  // responds as Serve and then sends unsolicited bytes
)

// Bodies of responses. LongBody is long enough to be streamed.
var (
	ShortBody = []byte("done")
	LongBody  = bytes.Repeat([]byte("0123456789abcdef"), 16<<10)
)

// Server is an upstream that uses the protocol of the transport.
type Server interface {
	// Address returns the host:port on which the server listens.
	Address() string
	// SetBehaviour sets the behaviour from the next request on.
	SetBehaviour(Behaviour)
	// Arrived returns a channel that yields the X-Request-Id of each completely read request.
	Arrived() <-chan string
	// Release ends the waits of Hold and Stall.
	Release()
	// Opened returns the number of connections that were accepted.
	Opened() int
}

// Suite is the transport to test, with its servers.
type Suite struct {
	// Transport returns a transport that passes on full responses.
	Transport func() upstream.Transport
	// Server starts a server that stops when the test ends.
	Server func(t *testing.T) Server
}

// Test runs all tests of the contract as subtests.
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
