package frontend

import (
	"errors"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
	"olivearch/internal/pool"
)

// serveConnection is a connection's reader. It serves the connection until one side ends it, and starts the writer.
// Clients send one request at a time.
func (s *Server) serveConnection(client *clientConn) {
	quit := make(chan struct{})
	defer close(quit)
	go s.writeResponses(client, quit)
	pending := false
	for {
		client.Limit(int64(s.limits.Load().Head))
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

// awaitResponse is called when bytes, an end or an interruption have come while a pool had the request. It cancels the
// request if the client has left, or else waits until the response is written. It reports whether the connection stays
// open.
func (s *Server) awaitResponse(client *clientConn, err error) bool {
	if client.claim(exchangeCanceled) {
		client.cancelExchange()
		if err == nil {
			s.reject(client, errPipelined)
		}
		return false
	}
	if !<-client.responded {
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
// open, as a request has come at the same time.
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

// requestOutcome is what became of a request that was read.
type requestOutcome int

const (
	connectionEnds  requestOutcome = iota
	responseWritten                // by the reader; the connection stays open
	responsePending                // the writer writes it
)

// serveRequest reads a request and submits it to its pool, or answers it itself.
func (s *Server) serveRequest(client *clientConn) requestOutcome {
	if !s.enterStage(client, stageReading) {
		return connectionEnds
	}
	limits := s.limits.Load()
	client.conn.requestDeadline = time.Now().Add(limits.Within)
	client.conn.minBodyRate = limits.Rate
	exchange, header, err := s.readRequest(client)
	client.conn.requestDeadline = time.Time{}
	if err != nil {
		s.reject(client, err)
		return connectionEnds
	}
	if !s.enterStage(client, stageActive) {
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

// submit submits a request to its pool. From then on the writer may write its response.
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
	if upload.Streaming() && !s.waitForUpload(client, upload) {
		return connectionEnds
	}
	return responsePending
}

// answerRejected answers a request that its pool has rejected, by an error or a response.
func (s *Server) answerRejected(client *clientConn, rejected pool.Response, err error) requestOutcome {
	client.setExchangeState(exchangeNone)
	upload := client.exchange.PoolRequest().Message.Upload
	if upload != nil {
		defer upload.Release()
	}
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

// waitForUpload waits while a body is forwarded as it comes, since until then nobody else may read the connection. It
// reports whether the connection stays open.
func (s *Server) waitForUpload(client *clientConn, upload *body.Upload) bool {
	select {
	case staysOpen := <-client.responded: // answered before the body was complete
		client.responded <- staysOpen
	case err := <-upload.Done():
		var failed body.ClientError
		if errors.As(err, &failed) && client.claim(exchangeCanceled) {
			client.cancelExchange()
			s.reject(client, failed.Unwrap())
			return false
		}
	}
	if upload.Unread() { // the writer ends the connection, and nothing more is read for a pool
		<-client.responded
		client.closeBeforeBodyEnd()
		return false
	}
	return true
}
