package frontend

import "time"

// Limits of time towards clients. The platform sets two of them: within 3 s of connecting, a
// client must get a response or see the connection closed; and 4 s after a drain began no connection may be idle.
const (
	// FirstByteTimeout is how long a new connection may send nothing, within the platform's 3 s.
	FirstByteTimeout = 2500 * time.Millisecond
	// ReadStallTimeout is how long a client may send nothing in the middle of a request, within the platform's 3 s.
	ReadStallTimeout = 2300 * time.Millisecond
	// requestTimeout is how long a client that never stalls may take over a request: it may have a slow line.
	requestTimeout = 10 * time.Second
	// responseWriteTimeout is how long a client may take over reading a response.
	responseWriteTimeout = 5 * time.Second
	// keepAliveTimeout is how long a connection may be idle between requests.
	keepAliveTimeout = 2 * time.Minute
	// acceptRetryPause is the pause after a connection that could not be accepted or had no room.
	acceptRetryPause = firstByteGrace / 10
)

// The steps of a drain and of a graceful shutdown.
const (
	// drainIdlePeriod is how long idle connections are kept once a drain has begun: most have had a request by then,
	// whose response closes them, and the platform's 4 s are not over.
	drainIdlePeriod = 2500 * time.Millisecond
	// lameDuckPeriod is how long connections are still accepted after SIGTERM: the platform goes on opening them for up
	// to 0.4 s.
	lameDuckPeriod = 450 * time.Millisecond
	// firstByteGrace is how long a new connection has for the first byte of its request before it may be closed to
	// make room; so has the last one that is accepted after SIGTERM.
	firstByteGrace = 50 * time.Millisecond
	// partialRequestGrace is how long a request of which a part has come then has for the rest: one that is complete
	// later than 0.7 s after SIGTERM may find no time for its response.
	partialRequestGrace = 150 * time.Millisecond
)

// A lingering close reads and drops what a client still sends behind its last response: closed at once, with bytes that
// nobody has read, the connection would be reset and the response lost (RFC 9112, section 9.6).
const (
	// lingerTimeout bounds a lingering close in time.
	lingerTimeout = 300 * time.Millisecond
	// lingerBytes bounds it in bytes.
	lingerBytes = 256 << 10
	// lingerBodyBytes bounds it in bytes where the client is still sending its body; the time is requestTimeout.
	lingerBodyBytes = 48 << 20
)
