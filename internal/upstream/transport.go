// Package upstream carries attempts to upstreams. It decides nothing: which upstream, whether to retry and
// how long to wait are given, and what is returned is the outcome of one attempt, with certainty about
// whether it may have run.
//
// Transport is the contract of every protocol towards upstreams; package upstreamtest tests an implementation
// against it.
package upstream

import (
	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
)

// Transport carries attempts in one protocol. Its methods may be called from any goroutine.
//
// Do makes the attempt and returns when its connection is free again or closed. The contract:
//
//  1. At most one request is written for an attempt, and none for a dropped one, which ends as
//     balancer.NotSent.
//  2. balancer.ConnectFailed means that the last byte was not written, balancer.Rejected that the upstream
//     said that it has not run the request, balancer.NotSent that this side gave the request up before it was
//     completely written: with these three it has not run. With any other outcome it may have run.
//  3. balancer.OK comes with a complete response, or with one that is streamed (Result.More).
//  4. Result.Conn is nil if the connection is closed. A connection that is returned serves the next attempt,
//     and what an upstream sent beyond this response is never taken for the next one: it sets Result.Unsolicited,
//     and the connection is closed.
//  5. Attempt.Told is notified of Written and Began from Do, each at most once and in this order, before Do
//     returns. Began is only for a response that is streamed; the result of Do is then that of the response's
//     end.
//  6. After GiveUp(at) has returned true, Do returns soon after that time, and its result comes too late to
//     matter. If the time has passed already, the attempt is over for its upstream when GiveUp returns: a
//     retry may be made then.
//  7. Nothing is written, and the attempt ends as balancer.NotSent, if Attempt.Gate is closed or
//     Attempt.Until has passed by then. A request whose last byte is not written by Until ends like one that
//     was not written within Attempt.Wait.
//  8. Do gives up on a request that it can't write within Attempt.Wait, and on a response whose upstream
//     stops sending in the middle of it.
type Transport interface {
	Do(a *Attempt) Result
	// Probe sends a health check: it asks an upstream for its load, or only whether it runs.
	Probe(p Probe) Result
}

// Conn is a connection to an upstream between two attempts. It is owned by one attempt, or by the pool of
// idle connections.
type Conn interface {
	// Address is the upstream's as it was dialled.
	Address() string
	// Reuse removes the deadlines that the last attempt has left. If it fails, the caller closes the connection.
	Reuse() error
	Close() error
}

// Observer is notified of the progress of an attempt, from the goroutine that carries it.
type Observer interface {
	// RequestWritten says that the last byte of a streamed request body has been written.
	RequestWritten()
	// InterimResponse passes on the fields of an interim response with status 103 (RFC 8297), if Message.Hints is set.
	InterimResponse(http1.Fields)
	// ResponseStarted says that the first bytes of a streamed response have come, or that a tunnel is established.
	ResponseStarted(Result)
}

// Gate says whether a request may still be sent. It is asked from the goroutine that carries the request,
// right before its first byte: between the choice of an upstream and that byte a new connection may have
// taken long to come up.
type Gate interface {
	Open() bool
}

// Result is the outcome of an attempt, with its connection if that can be used again.
type Result struct {
	Status          balancer.Status
	Load            balancer.Load
	Code            int            // HTTP status of a response that is passed on
	Body            []byte         // of a complete response; the part that was read ahead of a streamed one
	ContentType     string         // Content-Type of the body, where only the body is passed on
	Header          http1.Fields   // where full responses are passed on
	Trailer         http1.Fields   // of a complete response
	Download        *body.Download // the part of the body that is streamed; nil: there is none
	Tunnel          *body.Tunnel   // set if the connection has changed its protocol; Do returns once the tunnel has ended
	Conn            Conn           // nil: closed
	Unsolicited     bool           // unsolicited bytes came before the request or after the response
	LoadReportError string         // why the load report is malformed; empty: it is valid, or there was none
}

// Probe is a health check of an upstream.
type Probe struct {
	Address string // host:port of the upstream
	Load    bool   // asks for a load report; otherwise only whether the upstream runs
	Conn    Conn   // as that of an Attempt
}
