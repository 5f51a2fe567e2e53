package client

import (
	"errors"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
)

// A command that was certainly not attempted is tried again; one whose outcome is uncertain is not.
func TestClientRetriesOnlyNotAttempted(t *testing.T) {
	server := newFakeServer(t)
	c := New("test", map[string]string{"k1": server.address()})
	defer c.Close()
	results := make(chan error, 1)
	propose := func() {
		_, err := c.Propose(t.Context(), outOfService("a"))
		results <- err
	}
	go propose()
	server.accept(Welcome{Cluster: 5, ID: 1, Name: "k1"})
	server.answerPropose(OutcomeNotAttempted) // it comes again
	server.answerPropose(OutcomeUncertain)
	if err := <-results; !errors.Is(err, ErrUncertain) {
		t.Error(err)
	}
	go propose()
	server.answerPropose(OutcomeRejected)
	if err := <-results; !errors.Is(err, ErrRejected) {
		t.Error(err)
	}
	go propose()
	if _, err := ReadFrame(server.reader, 1<<20); err != nil {
		t.Fatal(err)
	}
	server.conn.Close() // with the request in flight
	if err := <-results; !errors.Is(err, ErrUncertain) {
		t.Error(err)
	}
	if _, err := c.Propose(t.Context(), &state.SetOverride{}); !errors.Is(err, ErrRejected) {
		t.Errorf("an override without a subject: %v", err)
	}
}

// A lease ends for its holder before it may end for the cluster, and stays ended.
func TestLeaseEndsByItsHoldersClock(t *testing.T) {
	now := time.Now()
	lease := &Lease{Until: now.Add(time.Second)}
	var none *Lease
	if !lease.Valid(now) || lease.Valid(now.Add(time.Second)) || none.Valid(now) {
		t.Error("a lease's end")
	}
}
