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

// mustApply applies a command like apply, and fails the test if the command is rejected.
func mustApply(t *testing.T, s *State, command Command) {
	t.Helper()
	if err := apply(t, s, command).Err(); err != nil {
		t.Fatalf("%T %+v: %v", command, command, err)
	}
}

// wantRejection fails the test unless the result is a rejection whose error matches sentinel.
func wantRejection(t *testing.T, step string, result Result, sentinel error) {
	t.Helper()
	if err := result.Err(); !errors.Is(err, sentinel) {
		t.Errorf("%s: got %v, want %v", step, err, sentinel)
	}
}

// errorText returns the text of an error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
