package frontend

import (
	"errors"
	"net/http"

	"olivearch/internal/body"
	"olivearch/internal/pool"
)

// writeResponses is the writer of a connection. It writes the responses of pools until quit is closed or the connection
// becomes a tunnel.
func (s *Server) writeResponses(client *clientConn, quit <-chan struct{}) {
	for {
		var response pool.Response
		select {
		case response = <-client.responses:
		case <-quit:
			return
		}
		if response.Status == http.StatusEarlyHints {
			client.writeEarlyHints(response)
			continue
		}
		upload := client.exchange.PoolRequest().Message.Upload
		if upload.Failed() || !client.claim(exchangeAnswered) { // the reader ends the connection
			response.Stream.Abandon()
			response.Tunnel.Close()
			continue
		}
		if response.Tunnel != nil {
			s.openTunnel(client, response)
			return
		}
		s.finishExchange(client, response, upload.Unread())
	}
}

// finishExchange writes the final response and signals the reader.
func (s *Server) finishExchange(client *clientConn, response pool.Response, bodyUnread bool) {
	client.releaseExchange()
	closes := client.closeRequested || response.Status == http.StatusConflict || bodyUnread
	staysOpen := s.respond(client, response, closes)
	if staysOpen {
		client.setExchangeState(exchangeNone)
	} else {
		client.interruptRead() // before the signal, after which the reader sets its own deadlines
	}
	client.responded <- staysOpen
}

// openTunnel turns a connection into a tunnel. The writer forwards the bytes of the upstream, the reader those of the
// client.
func (s *Server) openTunnel(client *clientConn, response pool.Response) {
	tunnel := response.Tunnel
	tunnel.Bind(client.conn)
	if owner, ok := client.exchange.(interface{ Tunnel(*body.Tunnel) }); ok {
		owner.Tunnel(tunnel)
	}
	client.releaseExchange()
	s.addTunnel(client, tunnel)
	if client.writeResponse(response, false) != nil {
		tunnel.Close()
	}
	client.responded <- true
	client.interruptRead() // the reader forwards for the tunnel from now on
	tunnel.ForwardToClient()
}

// addTunnel registers a tunnel to be closed by Stop, or closes it gracefully if the listener is closed already.
func (s *Server) addTunnel(client *clientConn, tunnel *body.Tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	client.tunnel = tunnel
	if s.listenerClosed {
		tunnel.CloseGracefully()
	}
}

// respond writes a response, and reports whether the connection stays open.
func (s *Server) respond(client *clientConn, response pool.Response, closes bool) bool {
	closes = closes || s.closesConnections()
	if response.Stream != nil {
		s.allowTransfer(client, response.Stream.End(longestTransfer))
	}
	err := client.writeResponse(response, closes)
	if err == nil && !closes && s.enterStage(client, stageIdle) {
		return true
	}
	// After any other error there is no lingering close, so that the client sees that the response is not complete.
	client.closeGracefully = err == nil || errors.Is(err, errEndsWithClose)
	return false
}

// healthResponse returns the response to a health check of this balancer.
func (s *Server) healthResponse() pool.Response {
	if s.closesConnections() {
		return pool.Response{
			Status:      http.StatusServiceUnavailable,
			Body:        []byte("draining\n"),
			ContentType: "text/plain",
		}
	}
	s.router.Ping()
	return pool.Response{Status: http.StatusOK, Body: []byte("ok\n"), ContentType: "text/plain"}
}
