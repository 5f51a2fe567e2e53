package frontend

import (
	"time"

	"olivearch/internal/http1"
)

const (
	// defaultSpoolBytes is the default memory for request bodies that are read ahead, for all clients together.
	defaultSpoolBytes = 16 << 20
	// readBufferBytes is the size of the read buffer of a client connection.
	readBufferBytes = 4 << 10
	// bufferedBodyBytes is the part of a request body that is buffered without taking memory from the spool.
	bufferedBodyBytes = 64 << 10
	// defaultMinBodyRate is the default minimum rate of a request body, in bytes per second.
	defaultMinBodyRate = 8 << 10
)

// Limits are the limits for the clients of a listener.
type Limits struct {
	Connections    int           // largest number of connections
	MaxHeadBytes   int           // largest head of a request in bytes
	RequestTimeout time.Duration // time to receive a request, plus the time that its body takes at MinBodyRate
	MinBodyRate    int           // minimum rate of a body in bytes per second; a slower one is rejected
	Floor          bool          // whether MinBodyRate also applies to streamed bodies
	HTTP10         bool          // whether HTTP/1.0 is served
}

// DefaultLimits returns the default limits, with the given number of connections.
func DefaultLimits(connections int) Limits {
	return Limits{
		Connections:    connections,
		MaxHeadBytes:   http1.MaxHead,
		RequestTimeout: requestTimeout,
		MinBodyRate:    defaultMinBodyRate,
	}
}
