package frontend

import (
	"errors"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// serveConnection is the reader of a connection. It starts the writer and serves the connection until either side ends
// it. Clients send one request at a time.
func (s *Server) serveConnection(client *clientConn) {
	quit := make(chan struct{})
	defer close(quit)
	go s.writeResponses(client, quit)
	pending := false
	for {
		client.conn.flow.Step()
		client.Limit(int64(s.limits.Load().MaxHeadBytes))
		err := client.Wait()
		if pending {
			if isTimeout(err) && client.waitWithoutDeadline() {
				continue
			}
			pending = false
			if !s.awaitResponse(client, err) {
				return
			}
		}
		if err != nil {
			if !s.mayReadAgain(client, err) {
				return
			}
			continue
		}
		switch s.serveRequest(client) {
		case connectionEnds:
			return
		case responsePending:
			pending = true
		case responseWritten:
		}
	}
}

// awaitResponse is called when the reader's wait has ended while a pool had the request: with bytes if err is nil, else
// with the end of the connection or an interruption. If no response has arrived it cancels the exchange, and rejects
// pipelined bytes. Else it waits until the response is written. It reports whether the connection stays open.
func (s *Server) awaitResponse(client *clientConn, err error) bool {
	if client.claim(exchangeCanceled) {
		client.cancelExchange()
		if err == nil {
			s.reject(client, errPipelined)
		}
		return false
	}
	staysOpen := <-client.responded
	client.conn.flow.Restart()
	if !staysOpen {
		client.closeBeforeBodyEnd()
		return false
	}
	if client.tunnel != nil {
		client.tunnel.ForwardToUpstream(client.Stream)
		return false
	}
	return true
}

// mayReadAgain is called when the wait for a request has ended with an error. It reports whether the connection stays
// open because a request has arrived at the same time.
func (s *Server) mayReadAgain(client *clientConn, err error) bool {
	if s.handOverConnection(client, err) {
		return false
	}
	if clientLeft := !isTimeout(err); clientLeft {
		return false
	}
	if client.hasPendingBytes() {
		_ = client.SetReadDeadline(time.Now().Add(FirstByteTimeout)) // if it fails, so does the read
		return true
	}
	client.closeGracefully = true
	return false
}

// requestOutcome is the result of serveRequest.
type requestOutcome int

const (
	connectionEnds  requestOutcome = iota
	responseWritten                // the reader has written the response; the connection stays open
	responsePending                // the writer writes the response
)

// serveRequest reads a request and submits it to its pool, or answers it if it is invalid or a health check.
func (s *Server) serveRequest(client *clientConn) requestOutcome {
	if !s.enterStage(client, stageReading) {
		return connectionEnds
	}
	limits := s.limits.Load()
	client.requestBegan = time.Now()
	client.conn.requestDeadline = client.requestBegan.Add(limits.RequestTimeout)
	client.conn.minBodyRate = limits.MinBodyRate
	exchange, header, err := s.readRequest(client)
	client.conn.requestDeadline = time.Time{}
	if err != nil {
		client.holding.release()
		s.reject(client, err)
		return connectionEnds
	}
	if !s.enterStage(client, stageActive) {
		client.releaseUnsubmitted(exchange)
		return connectionEnds
	}
	closesByDefault := client.http10 && !header.HasListElement("Connection", "keep-alive")
	client.closeRequested = client.closeAfterResponse || http1.ClosesConnection(header) || closesByDefault
	if exchange == nil {
		if s.respond(client, s.healthResponse(), client.closeRequested) {
			return responseWritten
		}
		return connectionEnds
	}
	return s.submit(client, exchange)
}

// submit submits a request to its pool. From exchangePending on the writer may write the response.
func (s *Server) submit(client *clientConn, exchange Exchange) requestOutcome {
	request := exchange.PoolRequest()
	request.Responses = client.responses
	request.Client = client
	client.exchange = exchange
	client.setExchangeState(exchangePending)
	rejected, err := exchange.Admit()
	if err != nil || rejected.Status != 0 {
		return s.answerRejected(client, rejected, err)
	}
	upload := request.Message.Upload
	if upload.Streaming() {
		longestUpload := request.Message.BodyLimits().UploadTimeout
		s.allowTransfer(client, time.Now().Add(longestUpload+s.router.MaxDeadline()))
		if !s.waitForUpload(client, upload) {
			return connectionEnds
		}
	}
	return responsePending
}

// answerRejected answers a request that its pool has rejected. If err is nil, rejected is the response.
func (s *Server) answerRejected(client *clientConn, rejected pool.Response, err error) requestOutcome {
	client.setExchangeState(exchangeNone)
	upload := client.exchange.PoolRequest().Message.Upload
	defer client.releaseUnsubmitted(client.exchange)
	if err != nil {
		s.reject(client, err)
		return connectionEnds
	}
	if !s.respond(client, rejected, client.closeRequested || upload.Streaming()) {
		client.closeBeforeBodyEnd()
		return connectionEnds
	}
	return responseWritten
}

// waitForUpload waits until a streamed body has been read or its request is answered, since until then only the attempt
// may read the connection. It reports whether the connection stays open.
func (s *Server) waitForUpload(client *clientConn, upload *body.Upload) bool {
	select {
	case staysOpen := <-client.responded: // answered before the body was complete
		client.responded <- staysOpen
	case err := <-upload.Done():
		client.holding.releasePlace()
		var failed body.ClientError
		if errors.As(err, &failed) && client.claim(exchangeCanceled) {
			client.cancelExchange()
			s.reject(client, failed.Unwrap())
			client.discardUnread(upload)
			return false
		}
	}
	client.conn.flow.Restart()
	if upload.Unread() { // the response closes the connection, and the body is no longer needed
		<-client.responded
		client.closeBeforeBodyEnd()
		return false
	}
	return true
}
