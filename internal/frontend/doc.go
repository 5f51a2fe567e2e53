// Package frontend serves client connections. It accepts a limited number of connections, reads requests, passes each
// request to a Router, and writes one final response to each. Packages proxy and service implement routers and start
// servers. The package neither selects routes nor connects to upstreams.
//
// # Goroutines
//
// Each connection has two goroutines. The reader (reader.go) waits for a request, reads it, submits it to its pool, and
// then waits for the next request or for the client to leave. The writer (writer.go) writes the responses of pools. So
// a request wakes each goroutine once.
//
// # Stages of a connection
//
// The stage of a connection determines whether the Server may close it to make room for another one, and whether it
// ends in a drain. It is guarded by the Server's lock.
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
//	active    the client sent invalid bytes: rejected             reading
//	idle      the first byte of a request                         reading
//	idle      a drain, or the keep-alive limit is exceeded        closing
//	idle      no byte within keepAliveTimeout                     closing
//	reading   a hot restart, before its first byte                handed over to the peer process
//	idle      a hot restart                                       handed over to the peer process
//	closing   the first byte of a request came at the same time   reading, with closeAfterResponse
//	any but   there is no room for a new connection: evicts the   evicted
//	active    one that has been in its stage longest, of those
//	          in closing, else in reading, else in idle
//
// Evicted is final: the socket is closed, and the goroutines of the connection end.
//
// # States of an exchange
//
// While a request is at a pool, the reader may find that the client has left at the same time as the writer receives
// the response. The state of the exchange decides which of them proceeds: only one can change it from pending.
//
//	from      event                                               to
//	none      the reader submits a request                        pending
//	pending   the pool rejects it: the reader responds            none
//	pending   a response arrives: the writer writes it            answered
//	pending   the client has left, or sends pipelined bytes       canceled
//	answered  the response is written, and others may follow      none
package frontend
