package state

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// rejectionCases has a command for each reason for a rejection. The commands are applied to a state in which n1 leases
// 6 of 10 connections.
var rejectionCases = []struct {
	name      string
	prepare   func(*State)
	command   Command
	rejection Rejection
	want      error
	text      string
}{
	{
		name:      "invalid command",
		command:   &RaiseFeatureLevel{To: 0},
		rejection: RejectedInvalid,
		want:      ErrInvalid,
		text:      "refused: level: over 0",
	},
	{
		name:      "resource that does not exist",
		command:   &ReleaseLease{Resource: "files", Holder: "n1", FencingToken: 1},
		rejection: RejectedNotFound,
		want:      ErrNotFound,
		text:      "refused: there is no bound files",
	},
	{
		name:      "too few units",
		command:   &AcquireLease{Resource: "connections", Holder: "n2", Units: 5, Duration: time.Second},
		rejection: RejectedNoCapacity,
		want:      ErrNoCapacity,
		text:      "refused: of 10 parts of connections 4 are free, and 5 are asked",
	},
	{
		name:      "lease of another incarnation",
		command:   &AcquireLease{Resource: "connections", Holder: "n1", Units: 6, Duration: time.Second},
		rejection: RejectedFenced,
		want:      ErrFenced,
		text:      "refused: n1 holds it under fence 2 until 9000 ms from now",
	},
	{
		name:      "full state",
		prepare:   func(s *State) { s.usedBytes = MaxBytes },
		command:   &SetResource{Name: "files", Limit: 1},
		rejection: RejectedStateFull,
		want:      ErrStateFull,
		text: "refused: the ledger is full: 4194304 of 4194304 bytes are held, " +
			"and what is held is never dropped for what is new",
	},
	{
		name:      "kind that not all voters know",
		prepare:   func(s *State) { s.featureLevel = 0 },
		command:   &SetResource{Name: "files", Limit: 1},
		rejection: RejectedFeatureLevel,
		want:      ErrFeatureLevel,
		text: "refused: this kind of promise wants level 1, and the ledger is at 0: " +
			"not all voters are of that version yet",
	},
}

// TestRejectionError checks the sentinel error and the text of the error for each reason for a rejection.
func TestRejectionError(t *testing.T) {
	sentinels := []error{ErrInvalid, ErrNotFound, ErrNoCapacity, ErrFenced, ErrStateFull, ErrFeatureLevel}
	for _, test := range rejectionCases {
		t.Run(test.name, func(t *testing.T) {
			s := NewState()
			mustApply(t, s, &SetResource{Name: "connections", Limit: 10})
			mustApply(t, s, &AcquireLease{Resource: "connections", Holder: "n1", Units: 6, Duration: 10 * time.Second})
			if test.prepare != nil {
				test.prepare(s)
			}
			err := apply(t, s, test.command).Err()
			if err == nil || err.Error() != test.text {
				t.Fatalf("got %v, want %s", err, test.text)
			}
			var rejected *RejectionError
			if !errors.As(fmt.Errorf("wrapped: %w", err), &rejected) || rejected.Rejection != test.rejection {
				t.Errorf("got %+v, want rejection %d", rejected, test.rejection)
			}
			for _, sentinel := range sentinels {
				if got, want := errors.Is(err, sentinel), errors.Is(test.want, sentinel); got != want {
					t.Errorf("errors.Is(err, %q): got %v, want %v", sentinel, got, want)
				}
			}
		})
	}
}

// TestNoRejectionError checks what Err returns for an applied command and for a reason of a newer version.
func TestNoRejectionError(t *testing.T) {
	if err := (Result{Revision: 3}).Err(); err != nil {
		t.Errorf("applied: got %v, want nil", err)
	}
	err := Result{Rejection: 99, Message: "a new reason"}.Err()
	if err == nil || err.Error() != "refused: a new reason" || errors.Unwrap(err) != nil {
		t.Errorf("reason of a newer version: got %v, which wraps %v", err, errors.Unwrap(err))
	}
}
