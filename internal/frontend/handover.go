package frontend

import (
	"log/slog"
	"syscall"

	"olivearch/internal/hotrestart"
)

// HandOver ends service where the peer process of a hot restart has the listener too: the peer process gets the
// connections without a request, now or once their request is answered. Bytes that come meanwhile wait in the socket,
// so no request crosses with a close.
func (s *Server) HandOver(peerProcess *hotrestart.Link) {
	s.beginHandOver(peerProcess)
	<-s.acceptEnded
	s.waitForConnections()
}

// beginHandOver accepts no more connections, and has the readers that wait for a request hand theirs over.
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

// handOverConnection hands a connection over whose wait for a request has ended with an error, if there is a peer
// process and no byte of a request has been read. It reports whether the connection was to be handed over.
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
