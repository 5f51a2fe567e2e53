package scripted

import (
	"bytes"
	"io"
	"net"
	"time"
)

// Conn is a connection whose other side says something and then ends, without sockets: for fuzzing what reads it.
// Limits of time mean nothing on it.
type Conn struct {
	net.Conn
	Says  io.Reader
	Heard bytes.Buffer // what was said to it
}

// Saying returns a Conn whose other side says a text.
func Saying(text []byte) *Conn { return &Conn{Says: bytes.NewReader(text)} }

func (c *Conn) Read(b []byte) (int, error)       { return c.Says.Read(b) }
func (c *Conn) Write(b []byte) (int, error)      { return c.Heard.Write(b) }
func (c *Conn) SetReadDeadline(time.Time) error  { return nil }
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
func (c *Conn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *Conn) Close() error                     { return nil }
