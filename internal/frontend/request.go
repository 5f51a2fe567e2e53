package frontend

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
	"olivearch/internal/upstream"
)

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"

	fieldRequestID = "X-Request-Id"

	// healthTarget is the target of a health check of this balancer. A GET of it with an X-Request-Id is an
	// ordinary request.
	healthTarget = "/healthz"

	// continueResponse is the interim response after which a client sends its body (RFC 9110, section 10.1.1).
	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// SingletonFields holds the names of the fields that a request may have only once, since with several it would be
// ambiguous which one applies.
var SingletonFields = []string{
	"Host", "Content-Length", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key",
	"X-Retry", "X-Cost-Hint", "X-Extras", "Cookie",
}

// ReadRequest reads one request from a connection as a Server does. Tests and tools use it to examine the result. A nil
// Exchange means a health check of the balancer.
func ReadRequest(router Router, conn net.Conn) (Exchange, error) {
	c := &clientConn{Stream: http1.NewStream(conn, readBufferBytes)}
	server := New(router, nil, DefaultLimits(1))
	c.holding = server.newHolding(c)
	c.Limit(http1.MaxHead)
	exchange, _, err := server.readRequest(c)
	return exchange, err
}

// readRequest reads a request from a client and returns it with its fields. A nil Exchange means a health check of this
// balancer. A malformed request yields an error and never reaches a pool.
func (s *Server) readRequest(client *clientConn) (Exchange, http1.Fields, error) {
	client.requestID = ""
	line, header, err := client.ReadHead()
	if err != nil {
		return nil, nil, err
	}
	client.requestID = header.Get(fieldRequestID)
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(rest, " ")
	client.http10 = version == version10 && s.limits.Load().HTTP10
	if err := checkVersion(version, client.http10, header); err != nil {
		return nil, nil, err
	}
	if err := checkRepeatedFields(header); err != nil {
		return nil, nil, err
	}
	if isHealthCheck(method, target, header) {
		return nil, header, nil
	}
	exchange, err := s.router.Check(method, target, &header)
	if err != nil {
		return nil, nil, err
	}
	request := exchange.PoolRequest()
	expectation := expectationOf(client, header)
	if expectation == unknownExpectation {
		return nil, nil, &Rejection{http.StatusExpectationFailed, "of expectations, 100-continue is known"}
	}
	framing, hasBody, err := framingOf(method, header, &request.Message)
	if err != nil {
		return nil, nil, err
	}
	if hasBody {
		if expectation == expectsContinue && client.Buffered() == 0 {
			_, _ = io.WriteString(client, continueResponse) // if it fails, so does the read
		}
		if err := s.readBody(client, request, framing); err != nil {
			return nil, nil, err
		}
	}
	if client.Buffered() > 0 && !request.Message.Upload.Streaming() {
		return nil, nil, errPipelined
	}
	request.ReceivedAt = s.router.Now() // after the bytes of the body that are read before an attempt
	return exchange, header, nil
}

// checkVersion rejects HTTP versions that are not served, and Transfer-Encoding in HTTP/1.0.
func checkVersion(version string, http10 bool, header http1.Fields) error {
	if version != version11 && !http10 {
		return &Rejection{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted"}
	}
	if http10 && header.Has("Transfer-Encoding") { // RFC 9112, section 6.1
		return BadRequest("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

// checkRepeatedFields rejects a request that has one of SingletonFields more than once.
func checkRepeatedFields(header http1.Fields) error {
	for _, name := range SingletonFields {
		if header.Count(name) > 1 {
			return BadRequest("%s stands there more than once", name)
		}
	}
	return nil
}

func isHealthCheck(method, target string, header http1.Fields) bool {
	return method == http.MethodGet && target == healthTarget && header.Get("X-Request-Id") == ""
}

// expectation is the meaning of a request's Expect field (RFC 9110, section 10.1.1).
type expectation int

const (
	expectsNothing expectation = iota
	expectsContinue
	unknownExpectation
)

// expectationOf returns the meaning of the field Expect, which is ignored in HTTP/1.0.
func expectationOf(client *clientConn, header http1.Fields) expectation {
	value := header.Get("Expect")
	switch {
	case value == "", client.http10:
		return expectsNothing
	case strings.EqualFold(value, "100-continue"):
		return expectsContinue
	default:
		return unknownExpectation
	}
}

// framingOf returns the framing of a request's body, and whether the request declares one. It rejects malformed
// framing, a body that is too large, a missing body where the message requires one, and a body where it allows none.
func framingOf(method string, header http1.Fields, message *upstream.Message) (http1.Framing, bool, error) {
	framing, hasBody, err := http1.FramingOf(header)
	if err != nil {
		return framing, hasBody, framingRejection(err, header)
	}
	notEmpty := framing.Chunked || framing.Length > 0
	switch {
	case framing.Length > uint64(message.BodyLimits().MaxRequestBytes):
		err = errBodyTooLarge
	case !hasBody && message.HasBodyFraming:
		err = &Rejection{http.StatusLengthRequired, "a Content-Length or chunks are wanted"}
	case notEmpty && !message.HasBodyFraming:
		err = BadRequest("%s with a body", method)
	}
	return framing, hasBody, err
}

var errBodyTooLarge = &Rejection{http.StatusRequestEntityTooLarge, "a body of that length is not taken"}

// framingRejection returns the rejection for an error of http1.FramingOf.
func framingRejection(err error, header http1.Fields) *Rejection {
	badRequest := func(why string) *Rejection { return &Rejection{http.StatusBadRequest, why} }
	switch {
	case errors.Is(err, http1.ErrBodyTooLarge):
		return errBodyTooLarge
	case !header.Has("Content-Length"): // RFC 9112, section 6.1
		return &Rejection{http.StatusNotImplemented, "of transfer codings, chunked is known"}
	case header.Has("Transfer-Encoding"):
		// An upstream might use the other field and take the rest of the body for another request.
		return badRequest("Content-Length beside Transfer-Encoding")
	default:
		return badRequest("Content-Length is no number")
	}
}

// readBody reads a body into the message. It reads the first part of a long body, and the rest is streamed.
func (s *Server) readBody(client *clientConn, request *pool.Request, framing http1.Framing) error {
	message := &request.Message
	limits := message.BodyLimits()
	source := client.Body(framing, limits.MaxRequestBytes)
	client.conn.extendForBody(bufferedBodyBytes)
	var err error
	message.Body, err = client.holding.readBuffered(source, bufferedBodyBytes)
	if err != nil || source.Ended() {
		message.Trailer = limits.Trailer(source)
		return err
	}
	upload := body.NewUpload(&s.spool, client.conn, framing, limits)
	client.conn.extendForBody(limits.ReadAheadBytes)
	client.holding.beginReading()
	err = upload.ReadAhead(source)
	client.holding.endReading()
	if err == nil && upload.Streaming() {
		err = client.holding.reservePlace()
	}
	if err != nil {
		upload.Release()
		return err
	}
	upload.SetProgress(client.holding)
	upload.ResolveLength(len(message.Body))
	if serverLimits := s.limits.Load(); serverLimits.Floor {
		upload.SetMinRate(body.MinRate{
			BytesPerSecond: serverLimits.MinBodyRate,
			Grace:          serverLimits.RequestTimeout,
		})
	}
	message.Upload = upload
	return nil
}
