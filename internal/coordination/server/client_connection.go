package server

import (
	"bufio"
	"net"
	"time"

	"olivearch/internal/coordination/client"
)

const (
	maxRequestBytes = 64 << 10
	// clientQueueLength bounds the responses that wait to be written to one client.
	clientQueueLength = 1024
)

// clientConnection writes the responses to one client, which need not be in the order of its requests.
type clientConnection struct {
	conn      net.Conn
	responses chan client.Response
	ended     chan struct{}
	uptime    uptimeClock
}

// serveClient submits a client's requests to the core until the connection ends.
func (c *core) serveClient(conn net.Conn, reader *bufio.Reader) {
	connection := &clientConnection{
		conn:      conn,
		responses: make(chan client.Response, clientQueueLength),
		ended:     make(chan struct{}),
		uptime:    c.uptime,
	}
	defer close(connection.ended)
	go connection.write()
	for {
		frame, err := client.ReadFrame(reader, maxRequestBytes)
		if err != nil {
			return
		}
		decoded, err := client.DecodeRequest(frame)
		if err != nil {
			return
		}
		if !c.submit(request{Request: decoded, respond: connection.responder(decoded.Number)}) {
			return
		}
	}
}

// responder returns the responder for the request with a number. It closes the connection of a client that does not
// read its responses.
func (c *clientConnection) responder(number uint64) responder {
	return func(response client.Response) {
		response.Number = number
		select {
		case c.responses <- response:
		default:
			c.conn.Close()
		}
	}
}

// write writes responses until the connection ends. A response without a number is a keep-alive.
func (c *clientConnection) write() {
	keepAlive := time.NewTicker(client.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		var response client.Response
		select {
		case response = <-c.responses:
		case <-keepAlive.C:
		case <-c.ended:
			return
		}
		response.Tick = c.uptime.now()
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a broken connection the write fails
		if client.WriteFrame(c.conn, response.Encode()) != nil {
			c.conn.Close()
			return
		}
	}
}
