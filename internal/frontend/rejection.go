package frontend

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// Rejection is the error of a request that never reaches a pool, and what its client gets.
type Rejection struct {
	Status int
	Reason string
}

func (r *Rejection) Error() string { return r.Reason }

// BadRequest returns a Rejection with status 400.
func BadRequest(format string, args ...any) error {
	return &Rejection{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// errPipelined rejects a client that sends more before it has the response to its request.
var errPipelined = BadRequest("bytes behind a request that is not answered yet")

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// rejectionFor returns what a client gets whose request could not be read or served; nil: nothing, as its connection
// broke.
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

// reject answers a client whose request can't be served, and closes the connection: where its next request begins is
// not certain. One whose connection broke gets no response.
func (s *Server) reject(client *clientConn, err error) {
	if !s.enterStage(client, stageReading) {
		return
	}
	rejection := rejectionFor(err)
	if rejection == nil {
		return
	}
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
