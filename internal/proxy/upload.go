package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readAhead is how much of a body is taken ahead of an attempt, if there is room: a slow client must not hold a
	// node's place.
	readAhead = 1 << 20
	// uploadStall is how long a client may send nothing of a body that goes on as it comes, and uploadMost how long all of it may take.
	uploadStall = 5 * time.Second
	uploadMost  = 5 * time.Minute
)

// spool is the memory that clients' bodies may take beyond what each may have for itself, in bytes.
type spool struct{ free atomic.Int64 }

func (s *spool) take(n int64) bool {
	if s.free.Add(-n) >= 0 {
		return true
	}
	s.free.Add(n)
	return false
}

// upload is what a request's body has beyond the part that stands in its message: blocks that were read ahead, and, if it
// is larger, the client's connection.
type upload struct {
	room   *spool
	blocks [][]byte
	length uint64 // of the whole body, if known
	known  bool

	// These are the client's side's.
	over  bool // the attempt that has read from the client does so no more
	whole bool // it has read all

	src  *bodyReader // nil: the blocks are the rest
	conn net.Conn    // that src reads

	users atomic.Int32 // the client's side, and each attempt that sends it

	mu      sync.Mutex
	begun   bool // an attempt has read from the client: what it read can't be sent again
	stopped bool // no attempt may read any more
	done    chan error
}

// lastChunk ends a chunked body that has no trailer.
const lastChunk = "0\r\n\r\n"

var errStopped = errors.New("the body is not wanted any more")

// fill reads ahead. It returns once the body is whole, or there is no more room.
func (u *upload) fill(src *bodyReader) error {
	for range readAhead / block {
		if !u.room.take(block) {
			break
		}
		b := blocks.Get().(*[block]byte)
		n, err := io.ReadFull(src, b[:])
		u.blocks = append(u.blocks, b[:n])
		if err != nil && !errors.Is(err, io.EOF) && !(errors.Is(err, io.ErrUnexpectedEOF) && src.ended()) {
			return err
		}
		if src.ended() {
			return nil
		}
	}
	u.src = src
	return nil
}

// ahead is how much has been read ahead, in bytes.
func (u *upload) ahead() (n uint64) {
	for _, b := range u.blocks {
		n += uint64(len(b))
	}
	return n
}

// hold keeps the blocks for an attempt. It fails if they have been given back.
func (u *upload) hold() bool {
	for {
		n := u.users.Load()
		if n == 0 {
			return false
		}
		if u.users.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// release gives the blocks back once nobody holds them.
func (u *upload) release() {
	if u.users.Add(-1) > 0 {
		return
	}
	for _, b := range u.blocks {
		blocks.Put((*[block]byte)(b[:block]))
		u.room.free.Add(block)
	}
	u.blocks = nil
}

// live tells whether a part of the body is still with the client.
func (u *upload) live() bool { return u != nil && u.src != nil }

// unread tells whether the client has still something of the body to send.
func (u *upload) unread() bool { return u.live() && !u.whole }

// spent tells whether the body can't be sent once more.
func (u *upload) spent() bool {
	if !u.live() {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.begun
}

// begin lets one attempt read from the client, or none if the body is not wanted any more.
func (u *upload) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.begun || u.stopped {
		return false
	}
	u.begun = true
	return true
}

// stop keeps attempts from reading on, and returns once none does.
func (u *upload) stop() {
	u.mu.Lock()
	u.stopped = true
	reads := u.begun && !u.over
	u.conn.SetReadDeadline(time.Unix(0, 1))
	u.mu.Unlock()
	if reads {
		<-u.done
	}
}

// read reads from the client, within its limits of time.
func (u *upload) read(b []byte) (int, error) {
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, errStopped
	}
	u.conn.SetReadDeadline(time.Now().Add(uploadStall))
	u.mu.Unlock()
	return u.src.Read(b)
}

// framing is the field that tells an upstream where the body ends.
func (m *message) framing() string {
	switch {
	case m.rest == nil:
		return "Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n"
	case m.rest.known:
		return "Content-Length: " + strconv.FormatUint(m.rest.length, 10) + "\r\n"
	}
	return "Transfer-Encoding: chunked\r\n"
}

// chunk writes a part of a body within a time, as a chunk of its own if it is framed so.
func chunk(c net.Conn, b []byte, framed bool, within time.Duration) error {
	if len(b) == 0 { // an empty chunk would be the last
		return nil
	}
	c.SetWriteDeadline(time.Now().Add(within))
	if !framed {
		_, err := c.Write(b)
		return err
	}
	parts := net.Buffers{[]byte(strconv.FormatInt(int64(len(b)), 16) + "\r\n"), b, []byte("\r\n")}
	_, err := parts.WriteTo(c)
	return err
}

// clientFailed says that a body did not come whole from its client.
type clientFailed struct{ error }

func (e clientFailed) Unwrap() error { return e.error }

// send writes the rest of a body to an upstream. The last byte is written only if it returns nil.
func (u *upload) send(c net.Conn) (err error) {
	for _, b := range u.blocks {
		if err := chunk(c, b, !u.known, slowReader); err != nil {
			return err
		}
	}
	if !u.live() {
		return nil
	}
	if !u.begin() {
		return clientFailed{errStopped}
	}
	defer func() { u.done <- err }()
	b := blocks.Get().(*[block]byte)
	defer blocks.Put(b)
	for began := time.Now(); ; {
		n, err := u.read(b[:])
		if werr := chunk(c, b[:n], !u.known, slowReader); werr != nil {
			return werr
		}
		switch {
		case errors.Is(err, io.EOF) && !u.known:
			c.SetWriteDeadline(time.Now().Add(slowReader))
			_, err = io.WriteString(c, lastChunk)
			return err
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return clientFailed{err}
		case time.Since(began) > uploadMost:
			return clientFailed{&refusal{http.StatusRequestTimeout, "the body did not come whole in time"}}
		}
	}
}

// written tells that an attempt of a request whose body went on as it came has written its last byte. From then on its time counts.
type written struct{ *attempt }

func (e written) apply(l *loop) {
	a, q := e.attempt, e.attempt.req
	if a.told || q.closed {
		return
	}
	a.sentAt = l.now()
	q.deadline = a.sentAt + q.Budget
	l.unset(&q.end)
	q.end.at = q.deadline
	l.alarm(&q.end)
}
