package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"
)

const (
	// KeepAliveInterval is the time between two keep-alives that a server sends on a client's connection.
	KeepAliveInterval = 250 * time.Millisecond
	// StaleAfter is how long a connection is used for new requests after the server's last message.
	StaleAfter = idleTimeout * 3 / 4
	// idleTimeout is how long a connection may be silent before it counts as lost.
	idleTimeout = 4 * KeepAliveInterval
	// dialTimeout bounds connecting and the handshake together.
	dialTimeout = time.Second

	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 16 << 10
	// maxWelcomeSize bounds the body of a Welcome's frame, in bytes: half of it is for RejectReason.
	maxWelcomeSize = 2 * maxText
)

// Dial connects to a server, sends the Hello and returns the connection, its buffered reader and the server's
// Welcome. The caller closes the connection. Dial returns an error and no connection if the server cannot be reached or
// rejects the connection.
func Dial(ctx context.Context, address string, hello Hello) (net.Conn, *bufio.Reader, Welcome, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, Welcome{}, err
	}
	stop := context.AfterFunc(ctx, func() { netConn.Close() })
	reader := bufio.NewReaderSize(netConn, readBufferSize)
	welcome, err := handshake(netConn, reader, hello)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		netConn.Close()
		return nil, nil, welcome, err
	}
	return netConn, reader, welcome, nil
}

// handshake sends the Hello and reads the Welcome. It returns an error if the server rejects the connection.
func handshake(netConn net.Conn, reader *bufio.Reader, hello Hello) (Welcome, error) {
	if err := WriteFrame(netConn, hello.Encode()); err != nil {
		return Welcome{}, err
	}
	body, err := ReadFrame(reader, maxWelcomeSize)
	if err != nil {
		return Welcome{}, err
	}
	welcome, err := DecodeWelcome(body)
	if err == nil && welcome.RejectReason != "" {
		err = fmt.Errorf("voter %s refuses the connection: %s", welcome.Name, welcome.RejectReason)
	}
	return welcome, err
}
