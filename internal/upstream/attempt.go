package upstream

import (
	"sync/atomic"
	"time"
)

// attemptStage is how far an attempt has come. An attempt leaves stageConnecting at most once, for one of the
// two others, and stays there: see leaveConnecting.
type attemptStage int32

const (
	// stageConnecting is the first stage: nothing has been written, and the attempt may be dropped.
	stageConnecting attemptStage = iota
	// stageClaimed is that of an attempt whose transport is about to write it. It counts as sent and may be given up.
	stageClaimed
	// stageDropped is that of an attempt that is never written.
	stageDropped
)

// Attempt is one send of a message to an upstream. Its creator fills in the fields, and may then call Drop
// and GiveUp from any goroutine while a Transport carries it.
type Attempt struct {
	Message       *Message
	Address       string        // host:port of the upstream
	Timeout       time.Duration // sent to the upstream as its time limit; also bounds the writing of the request
	ReuseDelay    time.Duration // delay before the connection is reused
	Conn          Conn          // idle connection to reuse; nil: a new one is opened
	WriteDeadline time.Time     // the request must be written before then; zero: only Wait bounds it
	Gate          Gate          // nil: always open
	Observer      Observer      // nil: responses are not streamed

	stage  atomic.Int32       // an attemptStage
	giveUp func(at time.Time) // set before the attempt is claimed
}

// Drop keeps an attempt from being written. It returns false if the attempt was claimed or dropped before.
func (a *Attempt) Drop() bool { return a.leaveConnecting(stageDropped) }

// Claim marks an attempt as about to be written. It returns false if that was done before or the attempt was
// dropped. Only a Transport calls it. From then on GiveUp calls giveUp, which bounds the wait for the
// response.
func (a *Attempt) Claim(giveUp func(at time.Time)) bool {
	a.giveUp = giveUp
	return a.leaveConnecting(stageClaimed)
}

// leaveConnecting makes the only transition of an attempt. It returns false if that was made before.
func (a *Attempt) leaveConnecting(next attemptStage) bool {
	return a.stage.CompareAndSwap(int32(stageConnecting), int32(next))
}

// MaySend returns whether the request may still be sent: its time has not passed and its gate is open.
func (a *Attempt) MaySend() bool {
	if !a.WriteDeadline.IsZero() && !time.Now().Before(a.WriteDeadline) {
		return false
	}
	return a.Gate == nil || a.Gate.Open()
}

// GiveUp lets a claimed attempt wait for its response until a time and no longer. It returns false if the
// attempt has not been claimed.
func (a *Attempt) GiveUp(at time.Time) bool {
	if attemptStage(a.stage.Load()) != stageClaimed {
		return false
	}
	a.giveUp(at)
	return true
}
