package frontend

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Rejection is the error of a request that never reaches a pool. The client gets the status, and the reason as the
// body.
type Rejection struct {
	Status int
	Reason string
}

func (r *Rejection) Error() string { return r.Reason }

// BadRequest returns a Rejection with status 400.
func BadRequest(format string, args ...any) error {
	return &Rejection{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// errPipelined is the error of a client that sends bytes after a request before it has the response.
var errPipelined = BadRequest("bytes behind a request that is not answered yet")

// isTimeout reports whether an error is that of a network deadline.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// rejectionFor returns the rejection for the error of a request that could not be read or served. It returns nil for
// other errors, which mean that the connection failed.
func rejectionFor(err error) *Rejection {
	var rejection *Rejection
	switch {
	case isTimeout(err):
		return &Rejection{http.StatusRequestTimeout, "the request did not come whole in time"}
	case errors.Is(err, body.ErrClientTooSlow):
		return &Rejection{http.StatusRequestTimeout, err.Error()}
	case errors.Is(err, http1.ErrStartLineTooLong):
		return &Rejection{http.StatusRequestURITooLong, err.Error()}
	case errors.Is(err, http1.ErrHeadTooLong):
		return &Rejection{http.StatusRequestHeaderFieldsTooLarge, err.Error()}
	case errors.Is(err, http1.ErrBodyTooLarge):
		return &Rejection{http.StatusRequestEntityTooLarge, err.Error()}
	case errors.As(err, &rejection):
		return rejection
	case errors.Is(err, http1.ErrMalformedHead), errors.Is(err, http1.ErrFraming):
		return &Rejection{http.StatusBadRequest, err.Error()}
	default:
		return nil
	}
}

// logRejection logs a request that never reaches a pool.
func (s *Server) logRejection(client *clientConn, rejection *Rejection) {
	suppressed, ok := s.rejectionLog.Admit()
	if !ok {
		return
	}
	slog.Info("request not accepted", "request", client.requestID, "code", rejection.Status, "reason", rejection.Reason,
		"age", time.Since(client.requestBegan), "address", client.address(), "suppressed", suppressed)
}

// reject answers a request that can't be served and does a lingering close, since the start of the next request is not
// certain. If the connection failed, it writes no response.
func (s *Server) reject(client *clientConn, err error) {
	if !s.enterStage(client, stageReading) {
		return
	}
	rejection := rejectionFor(err)
	if rejection == nil {
		return
	}
	s.logRejection(client, rejection)
	response := pool.Response{
		Status:      rejection.Status,
		Body:        []byte(rejection.Reason + "\n"),
		ContentType: "text/plain",
	}
	if client.writeResponse(response, true) != nil {
		return
	}
	client.lingeringClose(lingerTimeout, lingerBytes)
}
