package server

import (
	"errors"
	"testing"
	"time"
)

// readOutcomes collects the results of reads.
type readOutcomes []error

func (o *readOutcomes) done(err error) { *o = append(*o, err) }

// A read ends when its index is applied. confirmedAt is set before done is called.
func TestReadWaitsForItsIndex(t *testing.T) {
	all, start := newReads(7), time.Now()
	var ended readOutcomes
	context := all.begin(start, time.Second, func(err error) {
		if !all.confirmedAt.Equal(start) {
			t.Error("done was called before confirmedAt was set")
		}
		ended.done(err)
	})
	if !all.confirmed(context, 5) {
		t.Fatal("the confirmation was not accepted")
	}
	all.finishApplied(4)
	if len(ended) != 0 || !all.confirmedAt.IsZero() {
		t.Fatalf("the read ended before entry 5 was applied: %v", ended)
	}
	all.finishApplied(5)
	all.confirmed(context, 5)
	all.finishApplied(6)
	all.expire(start.Add(time.Hour))
	if len(ended) != 1 || ended[0] != nil {
		t.Errorf("the read ended with %v", ended)
	}
}

func TestReadConfirmationOfOthersIsIgnored(t *testing.T) {
	all := newReads(7)
	var ended readOutcomes
	context := all.begin(time.Now(), time.Second, ended.done)
	earlier := newReads(7)
	earlier.lastNumber = all.lastNumber + 1000
	unknown := earlier.encodeContext(earlier.lastNumber)
	for _, foreign := range [][]byte{nil, context[:15], append(context[:16:16], 0), unknown} {
		if all.confirmed(foreign, 1) {
			t.Errorf("the context %x was accepted", foreign)
		}
		all.finishApplied(1)
	}
	if len(ended) != 0 {
		t.Errorf("the read ended with %v", ended)
	}
}

func TestReadTimesOut(t *testing.T) {
	all, start := newReads(7), time.Now()
	var unconfirmed, unapplied, later readOutcomes
	all.begin(start, time.Second, unconfirmed.done)
	all.confirmed(all.begin(start, time.Second, unapplied.done), 5)
	all.begin(start, time.Minute, later.done)
	all.expire(start.Add(2 * time.Second))
	for _, ended := range []readOutcomes{unconfirmed, unapplied} {
		if len(ended) != 1 || !errors.Is(ended[0], errNoQuorum) {
			t.Errorf("the read ended with %v", ended)
		}
	}
	if len(later) != 0 || len(all.unconfirmed) != 1 || len(all.unapplied) != 0 {
		t.Errorf("a read ended before its deadline: %v", later)
	}
	if !all.confirmedAt.IsZero() || all.age() != unknownAge {
		t.Error("a read that timed out has set confirmedAt")
	}
}

func TestReadIsRetried(t *testing.T) {
	all, start := newReads(7), time.Now()
	context := all.begin(start, time.Minute, func(error) {})
	if again := all.retries(start.Add(readRetryInterval)); len(again) != 0 {
		t.Errorf("retried too early: %x", again)
	}
	due := start.Add(readRetryInterval + time.Millisecond)
	if again := all.retries(due); len(again) != 1 || string(again[0]) != string(context) {
		t.Errorf("retried with %x, want %x", again, context)
	}
	if again := all.retries(due); len(again) != 0 {
		t.Errorf("retried twice: %x", again)
	}
}
