package client

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Errors of calls, for errors.Is. They tell whether the request may have taken effect.
var (
	// ErrUncertain is wrapped by errors of calls whose request may have taken effect, or may still do so.
	ErrUncertain = errors.New("it may be held, or may yet be")

	// ErrNotAttempted is wrapped by errors of calls whose request certainly had no effect: no server took it.
	ErrNotAttempted = errors.New("no voter could take it")

	// ErrRejected is wrapped by errors of calls whose request is invalid or breaks a rule of the state machine.
	ErrRejected = errors.New("refused")
)

var (
	// errNotSent is wrapped by errors about requests that the server has certainly not received.
	errNotSent = errors.New("not sent")

	// errConnectionLost means that the connection broke while a call was waiting for its response.
	errConnectionLost = errors.New("the connection broke before the answer")

	// errClosed means that the Client was closed.
	errClosed = errors.New("the caller is closed")

	// errNoFencingToken means that a server granted a lease without a fencing token.
	errNoFencingToken = errors.New("server granted a lease without a fencing token")
)

// callError is the error of a call to one server. It wraps its kind and its cause.
type callError struct {
	kind   error // ErrNotAttempted or ErrUncertain
	server string
	cause  error
}

func (e *callError) Error() string { return e.kind.Error() + ": " + e.reason() }

// reason returns the error's text without its kind.
func (e *callError) reason() string { return e.server + ": " + e.cause.Error() }

func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// unreachableError returns an error with the reason of each server for not attempting a request, sorted by server. It
// wraps ErrNotAttempted.
func unreachableError(reasons map[string]string) error {
	texts := make([]string, 0, len(reasons))
	for _, server := range slices.Sorted(maps.Keys(reasons)) {
		texts = append(texts, reasons[server])
	}
	return fmt.Errorf("%w: %s", ErrNotAttempted, strings.Join(texts, "; "))
}
