package frontend

import (
	"log/slog"
	"syscall"

	"olivearch/internal/hotrestart"
)

// HandOver ends the Server in a hot restart, once the peer process has the listener too. The peer process gets the
// connections without a request at once, and the others when their request is answered. Bytes that arrive meanwhile
// stay in the socket, so no request is lost to a close.
func (s *Server) HandOver(peerProcess *hotrestart.Link) {
	s.beginHandOver(peerProcess)
	<-s.acceptEnded
	s.waitForConnections()
}

// beginHandOver closes the listener, and makes the readers that wait for a request hand over their connections.
func (s *Server) beginHandOver(peerProcess *hotrestart.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerProcess = peerProcess
	s.listenerClosed = true
	s.listener.Close()
	for c := range s.clients {
		if c.stage == stageIdle || c.isUnused() {
			c.interruptRead()
		}
	}
}

// handOverConnection hands a connection over to the peer process after the wait for a request has ended with err. It
// returns false if there is no peer process, err is not a timeout, or a byte of a request has been read. It returns
// true even if sending to the peer process failed: the connection ends in this process in either case.
func (s *Server) handOverConnection(client *clientConn, err error) bool {
	s.mu.Lock()
	peerProcess := s.peerProcess
	s.mu.Unlock()
	if peerProcess == nil || !isTimeout(err) || client.Buffered() > 0 {
		return false
	}
	message := hotrestart.Message{Kind: hotrestart.KindClientConnection}
	if err := peerProcess.Send(message, client.conn.Conn.(syscall.Conn)); err != nil {
		slog.Warn("client connection not handed over", "err", err)
	}
	return true
}
