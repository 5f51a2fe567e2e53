package upstream

import (
	"sync/atomic"
	"time"
)

// attemptStage is the progress of an attempt. An attempt leaves stageConnecting at most once, for one of the two other
// stages, and stays there.
type attemptStage int32

const (
	// stageConnecting is the first stage: nothing has been written, and the attempt may be dropped.
	stageConnecting attemptStage = iota
	// stageClaimed means that the transport is about to write the request. The attempt counts as sent and may be
	// given up.
	stageClaimed
	// stageDropped means that the request is never written.
	stageDropped
)

// Attempt is one attempt to send a message to an upstream. Its creator sets the fields, and may then call Drop and
// GiveUp from any goroutine while a Transport makes the attempt.
type Attempt struct {
	Message       *Message
	Address       string        // host:port of the upstream
	Timeout       time.Duration // sent to the upstream as its time limit; also bounds the writing of the request
	Conn          Conn          // idle connection to reuse; nil: a new one is opened
	ReplaceConn   bool          // Conn is closed, and a new connection is opened in its place
	SkipRepeated  bool          // a response that equals an earlier one on Conn answers that one's request
	WriteDeadline time.Time     // time by which the last byte must be written; zero: only Timeout bounds the writing
	Gate          Gate          // nil: always open
	Observer      Observer      // nil: responses are not streamed

	stage  atomic.Int32   // an attemptStage
	waiter ResponseWaiter // set by Claim
}

// ResponseWaiter is a connection on which an attempt waits for its response. Any goroutine may call its methods.
type ResponseWaiter interface {
	// GiveUp limits the wait to the time at.
	GiveUp(at time.Time)
	// HasUnread reports whether bytes have arrived that were not read. It does not wait.
	HasUnread() bool
}

// Drop prevents the request from being written. It returns false if the attempt was claimed or dropped before.
func (a *Attempt) Drop() bool { return a.leaveConnecting(stageDropped) }

// Claim marks an attempt as about to be written. It returns false if the attempt was claimed or dropped before. Only a
// Transport calls it. From then on waiter is asked about the wait for the response.
func (a *Attempt) Claim(waiter ResponseWaiter) bool {
	a.waiter = waiter
	return a.leaveConnecting(stageClaimed)
}

// leaveConnecting changes the stage from stageConnecting to next. It returns false if the stage was left before.
func (a *Attempt) leaveConnecting(next attemptStage) bool {
	return a.stage.CompareAndSwap(int32(stageConnecting), int32(next))
}

// MaySend reports whether the request may still be sent: WriteDeadline has not passed and Gate is open.
func (a *Attempt) MaySend() bool {
	if !a.WriteDeadline.IsZero() && !time.Now().Before(a.WriteDeadline) {
		return false
	}
	return a.Gate == nil || a.Gate.Open()
}

// writeEnd returns the time by which the last byte must be written if the writing starts now; zero: there is none. The
// parts of a long body may not extend it. Timeout does not limit the writing of a streamed body, since it counts from
// the client's last byte.
func (a *Attempt) writeEnd() time.Time {
	upload := a.Message.Upload
	if upload == nil || upload.Streaming() {
		return a.WriteDeadline
	}
	end := time.Now().Add(a.Timeout)
	if !a.WriteDeadline.IsZero() && a.WriteDeadline.Before(end) {
		return a.WriteDeadline
	}
	return end
}

// GiveUp limits the wait of a claimed attempt for its response to the time at. It returns false if the attempt has not
// been claimed.
func (a *Attempt) GiveUp(at time.Time) bool {
	if attemptStage(a.stage.Load()) != stageClaimed {
		return false
	}
	a.waiter.GiveUp(at)
	return true
}

// HasUnreadResponse reports whether bytes of the response to a claimed attempt have arrived that the transport has not
// read. It does not wait.
func (a *Attempt) HasUnreadResponse() bool {
	return attemptStage(a.stage.Load()) == stageClaimed && a.waiter.HasUnread()
}
