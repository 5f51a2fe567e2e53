package frontend

import "olivearch/internal/http1"

// Connected reports, without waiting and without consuming a byte, whether the client is still connected. Unread bytes,
// of the request's body or beyond the request, don't change that: the reader or an attempt handles them.
func (c *clientConn) Connected() bool { return !http1.Peek(c.conn).Gone() }

// hasPendingBytes reports whether bytes from the client are ready to be read.
func (c *clientConn) hasPendingBytes() bool {
	return c.Buffered() > 0 || http1.Peek(c.conn).HasUnread()
}
