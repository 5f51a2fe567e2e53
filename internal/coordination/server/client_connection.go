package server

import (
	"bufio"
	"net"
	"time"

	"olivearch/internal/coordination/client"
)

const (
	maxRequestBytes = 64 << 10
	// clientQueueLength is how many responses may wait to be written to one client.
	clientQueueLength = 1024
)

// clientConnection serves one client's requests. Its responses may come in any order.
type clientConnection struct {
	conn      net.Conn
	responses chan client.Response
	ended     chan struct{}
	uptime    uptimeClock
}

// serveClient takes requests and writes responses until the connection ends.
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

// responder takes the response to the request of a number. A client that does not read its responses is disconnected.
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

// write writes responses until the connection ends. A response without a number only says that the server is there.
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
