// Package upstream carries attempts to nodes. It decides nothing: which node, whether again and how long are told, and what is
// told back is what has become of one attempt, with certainty about whether it may have run.
//
// Transport is the contract that every protocol towards nodes keeps; package upstreamtest holds an implementation to it.
package upstream

import (
	"sync/atomic"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
)

// Transport carries attempts in one protocol. Its methods may be called from any goroutine.
//
// Do makes the attempt and returns when its connection is free again or closed. What it keeps to:
//
//  1. At most one request is written for an attempt, and none for one that was dropped: that ends as Moot.
//  2. ConnectFailed says that the last byte was not written, Full that the node said it has not run it, Moot that this side
//     gave it up before it was written whole: in these three it has not run. Any other outcome may have run.
//  3. OK comes with an answer that is whole, or with one that goes on as it comes (Result.More).
//  4. Result.Conn is nil if the connection is closed. One that is returned serves the next attempt, and what a node said
//     beyond this answer never passes for the next one's: it sets Result.Stray, and the connection is closed.
//  5. Attempt.Told hears Written and Began from Do, each at most once and in this order, before Do returns. Began is only for an
//     answer that goes on as it comes; Do's own result is then of its end.
//  6. After GiveUp(at) has returned true, Do returns soon after that time. Whatever it returns then is late news. Given up at once, the
//     attempt is over for its node when GiveUp returns: a further one may be made then.
//  7. Nothing is written, and the attempt ends as Moot, where Attempt.Gate is shut or Attempt.Until has passed by then. A request of
//     which the last byte is not written by Until ends as one that was not written within Attempt.Wait.
//  8. Do gives up on a request that it can't write within Attempt.Wait, and on an answer whose node falls silent in the middle.
type Transport interface {
	Do(a *Attempt) Result
	// Probe asks a node for its load by itself, or only whether it runs.
	Probe(p Probe) Result
}

// Conn is a connection to a node between two attempts. It belongs to one attempt, or to who keeps it idle.
type Conn interface {
	// Address is the node's, as it was dialled.
	Address() string
	// Reuse undoes what limits of time the last attempt has left. A connection on which it fails is closed by the caller.
	Reuse() error
	Close() error
}

// Observer is told how far an attempt has come, from the goroutine that carries it.
type Observer interface {
	// Written tells that the last byte of a body that went on as it came has been written.
	Written()
	// Hint tells the fields of an interim answer with status 103 (RFC 8297), where the message wants them.
	Hint(http1.Fields)
	// Began tells that the first bytes of an answer have come that goes on as it comes, or that a tunnel stands.
	Began(Result)
}

// Gate is asked whether a request may still go out, from the goroutine that carries it and right before its first byte: between the
// choice of a node and that byte may lie a new connection that came up late.
type Gate interface {
	Open() bool
}

// The stages of an attempt. One that waits for its connection may be dropped; what has been claimed for writing counts as sent.
const (
	waiting int32 = iota
	claimed
	dropped
)

// Attempt is one send of a message to a node. Who makes it fills in the fields, and may then call Drop and GiveUp from any
// goroutine while a Transport carries it.
type Attempt struct {
	Message *Message
	Address string        // host:port of the node
	Wait    time.Duration // that the node is told, and that the request may take to be written
	Rest    time.Duration // that its connection still needs before anything is written
	Conn    Conn          // idle, to go on with; nil: one is opened
	Until   time.Time     // the request has to be written before then; zero: Wait alone bounds it
	Gate    Gate          // nil: it is open
	Told    Observer      // nil: answers are taken whole

	stage  atomic.Int32
	giveUp func(at time.Time) // set before the attempt is claimed
}

// Drop keeps an attempt that has not begun to be written from being sent. It fails if it has begun.
func (a *Attempt) Drop() bool { return a.stage.CompareAndSwap(waiting, dropped) }

// Claim marks an attempt as about to be written. It fails if it was dropped. Only a Transport calls it. giveUp bounds the wait
// for the answer from then on.
func (a *Attempt) Claim(giveUp func(at time.Time)) bool {
	a.giveUp = giveUp
	return a.stage.CompareAndSwap(waiting, claimed)
}

// Shut tells whether the request may no longer go out.
func (a *Attempt) Shut() bool {
	return (!a.Until.IsZero() && !time.Now().Before(a.Until)) || (a.Gate != nil && !a.Gate.Open())
}

// GiveUp lets an attempt that has been claimed wait for its answer until a time and no longer. It fails if none has been claimed.
func (a *Attempt) GiveUp(at time.Time) bool {
	if a.stage.Load() != claimed {
		return false
	}
	a.giveUp(at)
	return true
}

// Result is how an attempt ended, with its connection if that can serve again.
type Result struct {
	Status  balancer.Status
	Load    balancer.Load
	Code    int // of the answer, if it is served
	Body    []byte
	Kind    string         // the body's Content-Type
	Header  http1.Fields   // where all of the answer is passed on
	Trailer http1.Fields   // of a whole answer
	More    *body.Download // what of the body goes on as it comes; nil: it is whole
	Tunnel  *body.Tunnel   // the connection has changed its protocol; Do returns once it has ended
	Conn    Conn
	Stray   bool   // there was more than was asked for, before the request or behind the answer
	Spoilt  string // why its load report could not be read; empty: it could, or there was none
}

// Probe is a question after a node's load.
type Probe struct {
	Address string
	Load    bool // it is asked for its load, else only whether it runs
	Conn    Conn // as an attempt's
}
