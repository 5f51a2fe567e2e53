package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// unusedAddress returns a loopback address at which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestCallErrorKindAndCause: the error of a call wraps its kind and its cause, and errors.Is and errors.As find both
// when it is wrapped again.
func TestCallErrorKindAndCause(t *testing.T) {
	c := New("test", map[string]string{"k1": unusedAddress(t)})
	defer c.Close()
	_, err := c.Call(t.Context(), "k1", Request{Operation: OpStatus})
	wrapped := fmt.Errorf("reading the status: %w", err)
	ofKind := errors.Is(wrapped, ErrNotAttempted) && !errors.Is(wrapped, ErrUncertain)
	if !ofKind || !errors.Is(wrapped, syscall.ECONNREFUSED) {
		t.Errorf("a server that does not listen: %v", wrapped)
	}
	var operation *net.OpError
	if !errors.As(wrapped, &operation) || operation.Op != "dial" {
		t.Errorf("the cause is not found in %v", wrapped)
	}
	var failure *callError
	if !errors.As(wrapped, &failure) || failure.server != "k1" {
		t.Errorf("the server is not found in %v", wrapped)
	}
	if want := ErrNotAttempted.Error() + ": k1: " + operation.Error(); err.Error() != want {
		t.Errorf("%q, wanted %q", err, want)
	}

	lost := fmt.Errorf("again: %w", &callError{kind: ErrUncertain, server: "k1", cause: errConnectionLost})
	if !errors.Is(lost, ErrUncertain) || errors.Is(lost, ErrNotAttempted) || !errors.Is(lost, errConnectionLost) {
		t.Errorf("a connection that broke: %v", lost)
	}
}

// TestUnreachableErrorNamesEachServer: the error of a request that no server attempted has each server's reason once.
func TestUnreachableErrorNamesEachServer(t *testing.T) {
	c := New("test", map[string]string{"k1": unusedAddress(t), "k2": ""})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _, err := c.Read(ctx)
	if !errors.Is(err, ErrNotAttempted) || errors.Is(err, ErrUncertain) {
		t.Fatal(err)
	}
	text := err.Error()
	for _, part := range []string{
		ErrNotAttempted.Error(), "k1: dial tcp", `k2: no address of a voter "k2" is known`,
	} {
		if strings.Count(text, part) != 1 {
			t.Errorf("%q has %q %d times", text, part, strings.Count(text, part))
		}
	}
	if !strings.HasPrefix(text, ErrNotAttempted.Error()+": k1: ") {
		t.Errorf("%q does not begin with its kind and the first server", text)
	}
}
