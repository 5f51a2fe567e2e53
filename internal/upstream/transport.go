// Package upstream sends requests to upstreams. Package pool uses it for each attempt and health check. Its callers
// choose the upstream, the time limits and whether to retry. The package returns the outcome of one attempt, which says
// whether the request may have run.
//
// Transport is the interface of every protocol towards upstreams. Package upstreamtest tests an implementation against
// its contract.
package upstream

import (
	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
)

// Transport makes attempts over one protocol. Its methods may be called from any goroutine.
//
// Do makes an attempt and returns when the connection is reusable or closed. Its contract:
//
//  1. It writes at most one request for an attempt, and none for a dropped attempt, which ends as balancer.NotSent.
//  2. balancer.ConnectFailed means that the last byte was not written, balancer.Rejected that the upstream declared
//     that it has not run the request, and balancer.NotSent that this side gave up the request before it was
//     completely written. With these three outcomes the request has not run. With any other it may have run.
//  3. balancer.OK means that the response is complete, or that it is being streamed (Result.Download).
//  4. Result.Conn is nil if the connection is closed. A returned connection is reused for the next attempt. Bytes that
//     an upstream sent beyond the response and that arrive before the next attempt are never taken for its response:
//     the connection is closed, and Result.Unsolicited is set. A copy that arrives later is skipped if
//     Result.Distinctive was set and the next attempt has SkipRepeated. Otherwise the connection can't be reused
//     safely.
//  5. RequestWritten and ResponseStarted of Attempt.Observer are called at most once each, in this order, before Do
//     returns. ResponseStarted is called only for a streamed response or a tunnel, and Do then returns the result of
//     its end.
//  6. After Attempt.GiveUp(at) has returned true, Do returns soon after that time, and its result is ignored. If the
//     time has passed already, the attempt has ended for the upstream when GiveUp returns, so that a retry may be made.
//  7. If Attempt.Gate is closed or Attempt.WriteDeadline has passed before the first byte, nothing is written and the
//     attempt ends as balancer.NotSent. If the last byte is not written by WriteDeadline, the attempt ends as if it
//     was not written within Attempt.Timeout. No part of a long body extends either. If the request is not delivered
//     by WriteDeadline, or by GiveUp with a time that has passed, it is not delivered later: what the system holds of
//     it is discarded, and the attempt may have run.
//  8. Do gives up a request that it can't write within Attempt.Timeout, or, if its body is streamed, once the upstream
//     has taken nothing for that time although bytes wait for it; and a response whose upstream stops sending before
//     its end.
type Transport interface {
	Do(a *Attempt) Result
	// Probe makes a health check: it requests the load report of an upstream, or only checks that the upstream
	// runs.
	Probe(p Probe) Result
}

// Conn is a connection to an upstream that can be reused. It is owned by one attempt, or by the pool of idle
// connections.
type Conn interface {
	// Address returns the host:port that was dialled.
	Address() string
	// Reuse removes deadlines of the last attempt. If it fails, the caller closes the connection.
	Reuse() error
	Close() error
}

// Observer is notified of the progress of an attempt. It may be called by a goroutine other than that of Do.
type Observer interface {
	// RequestWritten is called when the last byte of a streamed request body has been written.
	RequestWritten()
	// InterimResponse is called with the fields of a response with status 103 (RFC 8297), if Message.Hints is set.
	InterimResponse(http1.Fields)
	// ResponseStarted is called when the streaming of a response starts or a tunnel is established.
	ResponseStarted(Result)
}

// Gate decides whether a request may still be sent. It is called by the goroutine of the attempt right before the first
// byte is written, since opening a connection may have taken long after the upstream was chosen.
type Gate interface {
	Open() bool
}

// Result is the outcome of an attempt or a health check.
type Result struct {
	Status          balancer.Status
	Load            balancer.Load
	Code            int            // HTTP status of a response that is passed on
	Body            []byte         // body of a response that is not streamed
	ContentType     string         // Content-Type of the response, if only the body is passed on
	Header          http1.Fields   // fields of the response, if full responses are passed on
	Trailer         http1.Fields   // trailer of a complete response
	Download        *body.Download // body of a streamed response, for ResponseStarted; nil: not streamed
	Tunnel          *body.Tunnel   // for ResponseStarted, if the connection has switched protocols; nil: no tunnel
	Conn            Conn           // reusable connection; nil: closed
	Distinctive     bool           // whether any response on Conn would be recognised by its body if it came again
	Unsolicited     bool           // whether unsolicited bytes arrived before the request or after the response
	Err             error          // why there is no response that could be passed on; nil: there is one, or unknown
	LoadReportError string         // reason why the load report is malformed; empty: it is valid, or there is none
}

// Probe is a health check of an upstream.
type Probe struct {
	Address string // host:port of the upstream
	Load    bool   // requests a load report; false: only checks that the upstream runs
	Conn    Conn   // idle connection to reuse; nil: a new one is opened
	// ReplaceConn closes Conn and opens a new connection in its place.
	ReplaceConn bool
	// SkipRepeated is that of an Attempt.
	SkipRepeated bool
}
