package state

import (
	"errors"
	"testing"
)

// apply applies a command at the next revision, one second after the last command.
func apply(t *testing.T, s *State, command Command) Result {
	t.Helper()
	result, err := s.Apply(s.Revision()+1, s.Clock()+millisPerSecond, command)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// mustApply is apply for a command that must not be rejected.
func mustApply(t *testing.T, s *State, command Command) {
	t.Helper()
	if err := apply(t, s, command).Err(); err != nil {
		t.Fatalf("%T %+v: %v", command, command, err)
	}
}

// wantRejection fails the test unless a result was rejected for the reason that a sentinel error stands for.
func wantRejection(t *testing.T, what string, result Result, sentinel error) {
	t.Helper()
	if err := result.Err(); !errors.Is(err, sentinel) {
		t.Errorf("%s: got %v, want %v", what, err, sentinel)
	}
}

// errorText is the text of an error; empty if there is none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
