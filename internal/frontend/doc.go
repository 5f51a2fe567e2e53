// Package frontend serves client connections: it accepts them within bounds, reads their requests, hands these to a
// router and writes the one response that each of them gets. It knows no routes and no upstreams.
//
// # Goroutines
//
// Each connection has two. The reader (reader.go) waits for a request, reads it, submits it to its pool, and then waits
// for the next one or for the client to leave. The writer (writer.go) writes the response to each request that a pool
// has. So a request wakes each of them once.
//
// # Stages of a connection
//
// The stage says what a connection may be used for by the Server: which one is closed to make room, and which ones end
// in a drain. It is guarded by the Server's lock.
//
//	accepted ---> reading ---------> active ---------> idle
//	              ^ |  ^                                | |
//	              | |  +--------------------------------+ |
//	              | v                                     |
//	            closing <---------------------------------+
//
//	from      event                                               to
//	accepted  -                                                   reading
//	reading   the request is complete                             active
//	reading   a drain, before its first byte                      closing
//	active    the response is written, and others may follow      idle
//	active    the response is written, and it was the last        closing
//	active    the client's bytes are no request: rejected         reading
//	idle      the first byte of a request                         reading
//	idle      a drain, or other connections need its place        closing
//	idle      nothing has come within keepAliveTimeout            closing
//	reading   a hot restart, before its first byte                handed over to the peer process
//	idle      a hot restart                                       handed over to the peer process
//	closing   the first byte of a request came at the same time   reading, with closeAfterResponse
//	any but   there is no room for a new connection: the one      evicted
//	active    that has been longest at closing, else reading,
//	          else idle
//
// Evicted is final: the socket is closed, and whoever still serves the connection ends.
//
// # States of an exchange
//
// While a pool has a request, its reader may see that the client has left and its writer may have the response. The
// state of the exchange decides which of the two goes on: only one of them can move it on from pending.
//
//	from      event                                               to
//	none      the reader submits a request                        pending
//	pending   the pool rejects it: the reader answers             none
//	pending   the response has come: the writer writes it         answered
//	pending   the client has left, or sends what it may not       canceled
//	answered  the response is written, and others may follow      none
package frontend
