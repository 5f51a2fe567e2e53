//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func (c *client) close() { c.conn.Close() }

// head returns the head of a check-in.
func head(id string, deadline time.Duration, bodyBytes int) string {
	return fmt.Sprintf("POST /checkin HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: checkin\r\n"+
		"X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, deadline.Milliseconds(), bodyBytes)
}

// answer reads a whole answer, and returns its status.
func (c *client) answer(within time.Duration) (status int, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// exchange sends a request with a short body and reads the answer.
func (c *client) exchange(id string, deadline time.Duration) (status int, err error) {
	if _, err := io.WriteString(c.conn, head(id, deadline, 2)+"ok"); err != nil {
		return 0, err
	}
	return c.answer(deadline + time.Second)
}

// traffic is background traffic: requests one after the other on connections of their own, in some lanes.
type traffic struct {
	stage   *stage
	address string
	answers sync.Map // status -> *atomic.Int64
	quit    chan struct{}

	mu     sync.Mutex
	served []time.Time // when clients got a 200
	lanes  sync.WaitGroup
}

// trafficLanes and trafficPause give some 100 requests a second.
const (
	trafficLanes = 6
	trafficPause = 30 * time.Millisecond
)

func (s *stage) traffic(address string) *traffic {
	t := &traffic{stage: s, address: address, quit: make(chan struct{})}
	for lane := range trafficLanes {
		t.lanes.Go(func() { t.run(lane) })
	}
	return t
}

func (t *traffic) run(lane int) {
	for number := 0; ; number++ {
		select {
		case <-t.quit:
			return
		case <-time.After(trafficPause):
		}
		status, id := 0, fmt.Sprintf("bg%02d%06d", lane, number)
		if c, err := dial(t.address); err == nil {
			status, _ = c.exchange(id, checkinTime)
			c.close()
		}
		t.stage.log("client: request %s answered %d", id, status)
		if status == http.StatusOK {
			t.mu.Lock()
			t.served = append(t.served, time.Now())
			t.mu.Unlock()
		}
		counter, _ := t.answers.LoadOrStore(status, new(atomic.Int64))
		counter.(*atomic.Int64).Add(1)
	}
}

// stop ends the traffic and returns how often each status was the answer; 0 stands for none.
func (t *traffic) stop() string {
	close(t.quit)
	t.lanes.Wait()
	text := ""
	t.answers.Range(func(status, counter any) bool {
		text += fmt.Sprintf(" %d: %d", status, counter.(*atomic.Int64).Load())
		return true
	})
	return text
}

// firstServedSince returns when a client first got a 200 after a time; the zero time: none has.
func (t *traffic) firstServedSince(at time.Time) (first time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, served := range t.served {
		if served.After(at) && (first.IsZero() || served.Before(first)) {
			first = served
		}
	}
	return first
}
