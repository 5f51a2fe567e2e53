package client

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// The errors of calls say whether the command may have taken effect; a caller decides by them with errors.Is.
var (
	// ErrUncertain is wrapped by errors of calls that may have been carried out, or may yet be.
	ErrUncertain = errors.New("it may be held, or may yet be")

	// ErrNotAttempted is wrapped by errors of calls that were certainly not carried out: no server could.
	ErrNotAttempted = errors.New("no voter could take it")

	// ErrRejected is wrapped by errors of calls that the rules of the state machine reject.
	ErrRejected = errors.New("refused")
)

var (
	// errNotSent is wrapped by errors about requests that certainly reached no server.
	errNotSent = errors.New("not sent")

	// errConnectionLost means that the connection broke while a call was waiting for its response.
	errConnectionLost = errors.New("the connection broke before the answer")

	// errClosed means that the Client was closed.
	errClosed = errors.New("the caller is closed")

	// errNoFencingToken means that a server granted a lease without a fencing token.
	errNoFencingToken = errors.New("a lease without a fence was given")
)

// callError is the error of a call at one server. It wraps its kind and its cause.
type callError struct {
	kind   error // ErrNotAttempted or ErrUncertain
	server string
	cause  error
}

func (e *callError) Error() string { return e.kind.Error() + ": " + e.reason() }

// reason is the error's text without its kind.
func (e *callError) reason() string { return e.server + ": " + e.cause.Error() }

func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// unreachableError joins the reasons why no server took a request, by server. It wraps ErrNotAttempted.
func unreachableError(reasons map[string]string) error {
	texts := make([]string, 0, len(reasons))
	for _, server := range slices.Sorted(maps.Keys(reasons)) {
		texts = append(texts, reasons[server])
	}
	return fmt.Errorf("%w: %s", ErrNotAttempted, strings.Join(texts, "; "))
}
