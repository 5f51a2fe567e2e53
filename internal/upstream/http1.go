package upstream

import (
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"olivearch/balancer"
	"olivearch/internal/body"
	"olivearch/internal/http1"
)

// earlyResponseTimeout bounds the wait for a response if the request could not be written completely.
const earlyResponseTimeout = 50 * time.Millisecond

// Paths of health checks.
const (
	healthPath = "/healthz" // checks that the upstream runs
	loadPath   = "/load"    // returns its load report
)

// HTTP1 makes attempts over HTTP/1.1, one at a time on a connection. It does not use http.Transport, which may write a
// request again by itself when an idle connection breaks, closes the connection of an attempt that is given up, and
// does not report whether the last byte was written.
type HTTP1 struct {
	ConnectTimeout time.Duration // for opening a connection, and for a health check
	FullResponses  bool          // passes on responses under 500 with their fields, not only the body of a 200
	Memory         body.Reserve  // account of the bodies that are held; nil: they count nowhere
	Recognition    *Recognition  // of the service's responses; nil: second responses are not recognised
}

var _ Transport = HTTP1{}

// Do implements Transport.
func (d HTTP1) Do(a *Attempt) Result {
	idle, _ := a.Conn.(*conn)
	c, unsolicited, err := d.connect(idle, a.Address, a.ReplaceConn)
	if err != nil {
		return Result{Status: balancer.ConnectFailed, Unsolicited: unsolicited, Err: err}
	}
	result := d.send(a, c)
	result.Unsolicited = result.Unsolicited || unsolicited
	return result
}

// connect returns the idle connection if it is still usable and is not to be replaced, or a new one. unsolicited
// reports whether there were unsolicited bytes on the idle one.
func (d HTTP1) connect(idle *conn, address string, replace bool) (c *conn, unsolicited bool, err error) {
	if idle != nil {
		if idle.checkIdle() == nil && !replace {
			return idle, false, nil
		}
		unsolicited = idle.hasUnsolicited()
		idle.Close() // no request was written on it, so a new connection can be used for the attempt
	}
	socket, err := net.DialTimeout("tcp", address, d.ConnectTimeout)
	if err != nil {
		return nil, unsolicited, err
	}
	return newConn(socket, address), unsolicited, nil
}

// send writes the attempt's message on a connection and reads the response.
func (d HTTP1) send(attempt *Attempt, connection *conn) Result {
	if !attempt.MaySend() || !attempt.Claim(connection) {
		return Result{Status: balancer.NotSent, Conn: connection}
	}
	writeEnd := attempt.writeEnd()
	connection.limitAttemptWrites(attempt.Timeout, writeEnd)
	upload := attempt.Message.Upload
	if upload != nil {
		if !upload.Retain() { // the client's exchange has ended
			return Result{Status: balancer.NotSent, Conn: connection}
		}
		defer upload.Release()
	}
	connection.socket.Restart()
	complete, err := connection.writeMessage(attempt.Message, attempt.Timeout)
	if err != nil {
		connection.Close()
		if complete && upload == nil {
			return Result{Status: balancer.Reset, Err: err}
		}
		return Result{Status: balancer.ConnectFailed, Err: err} // not run: the last byte was never written
	}
	response := responseReader{
		conn:          connection,
		message:       attempt.Message,
		fullResponses: d.FullResponses,
		skipRepeated:  attempt.SkipRepeated,
		memory:        d.Memory,
		recognition:   d.Recognition,
		observer:      attempt.Observer,
	}
	if upload == nil {
		return response.readBefore(attempt.WriteDeadline)
	}
	if err := connection.sendUpload(upload, attempt.Timeout, writeEnd); err != nil {
		return response.readEarly(err)
	}
	if upload.Streaming() && attempt.Observer != nil {
		attempt.Observer.RequestWritten()
	}
	return response.readBefore(attempt.WriteDeadline)
}

// sendUpload writes the body that follows the message. stallLimit bounds the time for which the upstream takes nothing
// of a streamed body.
func (c *conn) sendUpload(upload *body.Upload, stallLimit time.Duration, end time.Time) error {
	if !upload.Streaming() {
		return upload.Send(c, end)
	}
	watch := watchUpload(c, upload, stallLimit)
	return watch.stop(upload.Send(c, end))
}

// limitAttemptWrites sets the deadline for writing the request. Without it the write to a machine that stops responding
// would block indefinitely once the buffers are full.
func (c *conn) limitAttemptWrites(timeout time.Duration, end time.Time) {
	c.limitWrites(timeout)
	if !end.IsZero() && end.Before(c.writeDeadline) {
		_ = c.SetWriteDeadline(end) // if it fails, so does the write
	}
}

// writeMessage writes a message except Message.Upload. complete reports whether all bytes were written.
func (c *conn) writeMessage(message *Message, wait time.Duration) (complete bool, err error) {
	buffer := http1.GetBuffer()
	defer http1.PutBuffer(buffer)
	message.render(buffer, wait)
	written, err := c.Write(buffer.Bytes())
	return written == buffer.Len(), err
}

// readEarly returns the result of an attempt whose last byte was not written because of sendErr. The request has not
// run, unless the upstream has sent an early response with another outcome: it may have worked on the part that it
// received.
func (r responseReader) readEarly(sendErr error) Result {
	var clientFailed body.ClientError
	if errors.As(sendErr, &clientFailed) {
		r.conn.Close()
		return Result{Status: balancer.NotSent}
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) // if it fails, so does the read
	r.observer = nil
	result := r.read()
	if result.Conn != nil {
		result.Conn.Close() // the upstream still expects the rest of the body
		result.Conn = nil
	}
	if result.Status == balancer.Reset {
		return Result{Status: balancer.ConnectFailed, Err: sendErr}
	}
	return result
}

// Probe implements Transport.
func (d HTTP1) Probe(p Probe) Result {
	idle, _ := p.Conn.(*conn)
	c, unsolicited, err := d.connect(idle, p.Address, p.ReplaceConn)
	if err != nil {
		return Result{Status: balancer.ConnectFailed, Unsolicited: unsolicited, Err: err}
	}
	result := d.sendProbe(p, c)
	result.Unsolicited = result.Unsolicited || unsolicited
	return result
}

func (d HTTP1) sendProbe(probe Probe, c *conn) Result {
	path := healthPath
	if probe.Load {
		path = loadPath
	}
	_ = c.SetReadDeadline(time.Now().Add(d.ConnectTimeout)) // if it fails, so does the read
	c.limitWrites(d.ConnectTimeout)
	request := "GET " + path + " HTTP/1.1\r\nHost: " + probe.Address + "\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		c.Close()
		return Result{Status: balancer.ConnectFailed}
	}
	result := responseReader{conn: c, message: &Message{}, skipRepeated: probe.SkipRepeated}.read()
	if !probe.Load || result.Status != balancer.OK {
		return result
	}
	load, err := parseLoadReport([]string{strings.TrimSpace(string(result.Body))})
	if err != nil {
		result.LoadReportError = err.Error()
		return result
	}
	result.Load = load
	return result
}
