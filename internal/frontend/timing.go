package frontend

import "time"

// Time limits towards clients. The platform requires two of them: within 3 s of connecting, a client must get a
// response or see the connection closed; and 4 s after a drain began no connection may be idle.
const (
	// FirstByteTimeout bounds the wait for the first byte on a new connection, within the 3 s of the platform.
	FirstByteTimeout = 2500 * time.Millisecond
	// ReadStallTimeout bounds the wait for the next byte of a partial request, within the 3 s of the platform.
	ReadStallTimeout = 2300 * time.Millisecond
	// requestTimeout bounds the time to receive a request from a client that never stalls but may have a slow
	// network.
	requestTimeout = 10 * time.Second
	// responseWriteTimeout is how long a client may take nothing of a response, except the streamed part of its body.
	responseWriteTimeout = 5 * time.Second
	// keepAliveTimeout is the longest time that a connection may be idle between requests.
	keepAliveTimeout = 2 * time.Minute
	// acceptRetryPause is the pause before the next try to accept a connection or to make room for it.
	acceptRetryPause = firstByteGrace / 10
)

// Durations of the steps of a drain and of a graceful shutdown.
const (
	// drainIdlePeriod is the time for which idle connections are kept after a drain has begun. Within it most of
	// them have a request, whose response closes them. It is below the 4 s of the platform.
	drainIdlePeriod = 2500 * time.Millisecond
	// lameDuckPeriod is the time for which connections are still accepted after SIGTERM. The platform opens
	// connections for up to 0.4 s after it.
	lameDuckPeriod = 450 * time.Millisecond
	// transferCheckInterval is how often a shutdown looks whether bodies are still being transferred.
	transferCheckInterval = 100 * time.Millisecond
	// longestTransfer stands for the time of a transfer without a limit of its own.
	longestTransfer = 24 * time.Hour
	// firstByteGrace is the time that a new connection has for its first byte before it may be evicted. In a
	// shutdown it is also the time between the close of the listener and the close of connections without a
	// request.
	firstByteGrace = 50 * time.Millisecond
	// partialRequestGrace is the time after firstByteGrace in which partial requests must be completed in a
	// shutdown. If a request is complete later than 0.7 s after SIGTERM, there may be no time left for its
	// response.
	partialRequestGrace = 150 * time.Millisecond
)

// Limits of a lingering close, which reads and discards the bytes that a client sends after its last response. If the
// connection were closed with unread bytes, it would be reset and the response lost (RFC 9112, section 9.6).
const (
	// lingerTimeout is the longest duration of a lingering close.
	lingerTimeout = 300 * time.Millisecond
	// lingerBytes is the largest number of bytes that a lingering close discards.
	lingerBytes = 256 << 10
	// lingerBodyBytes and requestTimeout replace lingerBytes and lingerTimeout if the client is still sending its
	// body.
	lingerBodyBytes = 48 << 20
)
