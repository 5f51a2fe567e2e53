package client

import (
	"errors"
	"testing"
	"time"

	"olivearch/internal/coordination/state"
)

// TestClientRetriesOnlyNotAttempted: the client retries a command that was certainly not attempted, and no other. One
// whose outcome is uncertain could take effect twice.
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
	server.answerPropose(OutcomeNotAttempted) // the client retries it
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

// TestLeaseValid: a lease is valid until its end, and a nil lease never is.
func TestLeaseValid(t *testing.T) {
	now := time.Now()
	lease := &Lease{Until: now.Add(time.Second)}
	var none *Lease
	if !lease.Valid(now) || lease.Valid(now.Add(time.Second)) || none.Valid(now) {
		t.Error("Valid is wrong before the end, at the end or for a nil lease")
	}
}
