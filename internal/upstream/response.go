package upstream

import (
	"errors"
	"net/http"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
)

const (
	// loadHeader is the response field that contains a load report.
	loadHeader = "X-Load"
	// notRunHeader is the response field with the value notRun if the upstream has not run the request.
	notRunHeader = "X-Not-Run"
	notRun       = "1"
)

// maxSkippedResponses bounds the second responses to earlier requests that are skipped before a request's own.
const maxSkippedResponses = 8

// responseReader reads the response to one attempt from its connection.
type responseReader struct {
	conn          *conn
	message       *Message
	fullResponses bool         // HTTP1.FullResponses
	skipRepeated  bool         // Attempt.SkipRepeated
	memory        body.Reserve // HTTP1.Memory
	recognition   *Recognition // HTTP1.Recognition; nil: nothing is learnt from the response
	observer      Observer     // nil: responses are not streamed, and a long one is an error
}

// read reads the response and returns the result of the attempt. It skips second responses to earlier requests on the
// connection, as far as they are recognised. A malformed response means that the request may have run, and the
// connection is closed. A response that is long or of unknown length is streamed: the observer gets its start, and read
// returns the result at its end.
func (r responseReader) read() Result {
	for skipped := 0; ; skipped++ {
		result, repeated := r.readNext()
		if !repeated {
			return r.afterSkipping(skipped, result)
		}
		if skipped == maxSkippedResponses {
			return r.afterSkipping(skipped, r.fail(errTooManyResponses))
		}
	}
}

// afterSkipping returns the result of an attempt before whose response others were skipped. The connection is not
// reused, since the upstream sends responses that no request has asked for.
func (r responseReader) afterSkipping(skipped int, result Result) Result {
	if skipped == 0 {
		return result
	}
	result.Unsolicited = true
	if result.Conn != nil {
		result.Conn.Close()
		result.Conn = nil
	}
	if result.Status == balancer.Reset {
		r.recognition.mistaken()
	}
	return result
}

// readNext reads the next response on the connection. repeated reports whether it is a second response to an earlier
// request, so that the attempt's own response is still to come.
func (r responseReader) readNext() (result Result, repeated bool) {
	status, header, framing, err := r.conn.ReadResponseHead(r.requestInfo())
	if err != nil {
		return r.fail(err), false
	}
	if status == http.StatusSwitchingProtocols {
		return r.tunnel(header), false
	}
	closing := http1.ClosesConnection(header) || framing.UntilClose
	result = r.classify(status, header)
	if err := r.readBody(&result, framing); err != nil {
		return r.fail(err), false
	}
	if !closing && r.isRepeated(&result, framing) {
		return Result{}, true
	}
	if result.Status != balancer.OK && r.conn.noteRefusal() {
		return r.refusedTwice(result), false
	}
	// Unsolicited bytes after this response would be taken for the response to the next request.
	result.Unsolicited = r.conn.Buffered() > 0
	if closing || result.Unsolicited {
		r.conn.Close()
	} else {
		result.Conn = r.conn
	}
	return result, false
}

// refusedTwice returns the result of an attempt whose rejection or error may be a copy of the one before on the
// connection, so that the attempt may have run. The connection is closed, which ends the attempt for the upstream.
func (r responseReader) refusedTwice(result Result) Result {
	r.conn.Close()
	if result.Status == balancer.Rejected {
		result.Status = balancer.Reset
		result.Err = errRefusedTwice
	}
	return result
}

// isRepeated reports whether a response is a second one to an earlier request on the connection. Otherwise it adds the
// response to those that will be recognised.
func (r responseReader) isRepeated(result *Result, framing http1.Framing) bool {
	if result.Status != balancer.OK {
		return false
	}
	identity := fingerprintOf(result.Body)
	if r.skipRepeated && r.conn.responses.contains(identity) {
		return true
	}
	r.recognition.observe(identity)
	result.Distinctive = r.conn.remember(identity, result.Body, framing)
	return false
}

// requestInfo returns the properties of the request that determine how the head of the response is read.
func (r responseReader) requestInfo() http1.RequestInfo {
	info := http1.RequestInfo{Head: r.message.isHead()}
	if r.observer == nil {
		return info
	}
	info.Upgrade = r.message.Upgrade
	if r.message.Hints {
		info.OnEarlyHints = r.observer.InterimResponse
	}
	return info
}

// fail closes the connection and returns the result of an attempt whose response could not be read.
func (r responseReader) fail(err error) Result {
	r.conn.Close()
	if isMalformed(err) {
		return Result{Status: balancer.Error, Err: err}
	}
	return Result{Status: balancer.Reset, Err: err}
}

// errRefusedTwice is the error of an attempt whose rejection may be a copy of an earlier one.
var errRefusedTwice = errors.New("rejection may be a second copy of the one before")

// errTooManyResponses is the error of an attempt whose upstream sends only responses to earlier requests.
var errTooManyResponses = errors.New("too many second responses to earlier requests")

// isMalformed reports whether the upstream sent bytes that are not a valid response, or a response over the limits.
func isMalformed(err error) bool {
	for _, malformed := range []error{
		http1.ErrMalformedHead, http1.ErrStartLineTooLong, http1.ErrHeadTooLong, http1.ErrFraming, http1.ErrBodyTooLarge,
	} {
		if errors.Is(err, malformed) {
			return true
		}
	}
	return false
}

// tunnel passes a new tunnel to the observer and waits for its end. There is an observer, since without one no protocol
// switch is accepted.
func (r responseReader) tunnel(header http1.Fields) Result {
	tunnel := body.NewTunnel(r.conn.Stream, r.message.Tunnel)
	r.observer.ResponseStarted(Result{
		Status: balancer.OK,
		Code:   http.StatusSwitchingProtocols,
		Header: header,
		Tunnel: tunnel,
	})
	<-tunnel.Done()
	r.conn.Close()
	return Result{Status: balancer.OK}
}

// classify returns the part of the result that the head of the response determines. It may modify header.
func (r responseReader) classify(status int, header http1.Fields) Result {
	result := Result{Status: balancer.Error}
	load, err := parseLoadReport(header.Values(loadHeader))
	result.Load = load
	if err != nil {
		result.LoadReportError = err.Error()
	}
	switch {
	case isRejection(status, header):
		result.Status = balancer.Rejected
	case r.fullResponses && isForwarded(status):
		http1.DropConnectionFields(&header, nil)
		result.Status = balancer.OK
		result.Code = status
		result.Header = header
	case status == http.StatusOK:
		result.Status = balancer.OK
		result.Code = status
		result.ContentType = header.Get("Content-Type")
	}
	return result
}

// isRejection reports whether the upstream declares that it has not run the request. Without X-Not-Run it may have run.
func isRejection(status int, header http1.Fields) bool {
	mayReject := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
	return mayReject && header.Get(notRunHeader) == notRun
}

// isForwarded reports whether a full response with this status is passed on to the client. 429 is not, since it would
// tell the client that the request has not run.
func isForwarded(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// readBody reads the body of the response into result or streams it.
func (r responseReader) readBody(result *Result, framing http1.Framing) error {
	limits := r.message.BodyLimits()
	isLong := framing.Length > body.MaxBuffered
	isTooLarge := framing.Length > uint64(limits.MaxResponseBytes)
	mayStream := r.observer != nil && result.Status == balancer.OK
	switch {
	case isTooLarge, isLong && r.observer == nil:
		return http1.ErrBodyTooLarge
	case mayStream && (isLong || framing.Chunked || framing.UntilClose):
		return r.streamBody(result, framing, limits)
	}
	if !r.reserve(int64(framing.Length)) {
		if mayStream {
			return r.streamBody(result, framing, limits)
		}
		return r.readWholeBody(result, framing, limits)
	}
	defer r.release(int64(framing.Length))
	return r.readWholeBody(result, framing, limits)
}

// countedLength is the length in bytes from which on a body of known length takes memory from the account.
const countedLength = 4 << 10

// reserve takes the memory for a body of known length from the account. It returns false if there is none.
func (r responseReader) reserve(length int64) bool {
	return r.memory == nil || length < countedLength || r.memory.TryReserve(length)
}

// release ends the use of what reserve has taken.
func (r responseReader) release(length int64) {
	if r.memory != nil && length >= countedLength {
		r.memory.Release(length)
	}
}

// streamBody notifies the observer once streaming starts, and returns at the end of the body. A short body that ends
// before that is only put into result.
func (r responseReader) streamBody(result *Result, framing http1.Framing, limits *body.Limits) (err error) {
	download := body.NewDownload(r.conn, framing, limits)
	if r.memory != nil {
		download.Within(r.memory)
	}
	if r.skipRepeated {
		download.HoldWhile(r.conn.openings.mayBegin)
	}
	result.Body, err = download.Receive(func() {
		started := *result
		started.Download = download
		r.observer.ResponseStarted(started)
	})
	result.Trailer = download.Trailer()
	return err
}

// readWholeBody reads a body of at most body.MaxBuffered bytes.
func (r responseReader) readWholeBody(result *Result, framing http1.Framing, limits *body.Limits) (err error) {
	source := r.conn.Body(framing, limits.MaxResponseBytes)
	result.Body, err = source.ReadUpTo(body.MaxBuffered + 1)
	if err != nil {
		return err
	}
	if len(result.Body) > body.MaxBuffered {
		return http1.ErrBodyTooLarge
	}
	result.Trailer = limits.Trailer(source)
	return nil
}
