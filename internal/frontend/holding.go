package frontend

import (
	"errors"
	"io"
	"net/http"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/budget"
	"olivearch/internal/http1"
)

const (
	// freeBodyBytes is the part of a body that every connection may buffer without a reservation, so that short requests
	// are served beside any number of long ones.
	freeBodyBytes = 4 << 10
	// budgetPatience is how long a request waits for memory or for a place. With ReadStallTimeout it stays within the 3 s
	// in which the platform wants an end.
	budgetPatience = 500 * time.Millisecond
	// minBufferBytes is added to the memory for bodies that are read ahead, for the first parts of all bodies.
	minBufferBytes = 2 << 20
	// bufferFraction is the part of the memory for bodies that blocks read ahead must leave free for them: a quarter.
	bufferFraction = 4
)

// errClientLeft is the error of a request whose client has left before the balancer has read its body.
var errClientLeft = errors.New("client has left")

var (
	errNoMemory = &Rejection{http.StatusServiceUnavailable, "no memory for a further long request"}
	errNoPlace  = &Rejection{http.StatusServiceUnavailable, "no place for a further long request"}
)

// holding is what a connection's request takes of the Server's budgets. The goroutine that reads the request owns it.
type holding struct {
	conn   *deadlineConn
	memory *budget.Holder // for the buffered part of its body, in bytes
	place  *budget.Holder // among the bodies that are streamed to upstreams
}

var _ body.Progress = (*holding)(nil)

// newHolding returns the holding of a connection. If it is evicted, the reading of the request ends.
func (s *Server) newHolding(client *clientConn) *holding {
	return &holding{
		conn:   client.conn,
		memory: s.memory.NewHolder(client.conn.expire),
		place:  s.places.NewHolder(client.conn.expire),
	}
}

// AwaitClient implements body.Progress.
func (h *holding) AwaitClient() {
	h.memory.AwaitClient()
	h.place.AwaitClient()
}

// ClientSent implements body.Progress.
func (h *holding) ClientSent() {
	h.memory.ClientSent()
	h.place.ClientSent()
}

// beginReading awaits the client until endReading. All that it sends counts as progress.
func (h *holding) beginReading() {
	h.AwaitClient()
	h.conn.setOnRead(h.AwaitClient)
}

func (h *holding) endReading() {
	h.conn.setOnRead(nil)
	h.ClientSent()
}

// releasePlace ends the use of the place, since the whole body has been sent or no more of it is.
func (h *holding) releasePlace() { h.place.Release() }

// release ends the use of both budgets. It does nothing for a nil holding.
func (h *holding) release() {
	if h != nil {
		h.memory.Release()
		h.place.Release()
	}
}

// readBuffered reads up to limit bytes of a body, fewer only if it ends before. Its memory grows with the bytes
// received and is reserved before, beyond freeBodyBytes.
func (h *holding) readBuffered(source *http1.Body, limit int) ([]byte, error) {
	content, err := source.ReadUpTo(freeBodyBytes)
	if err == nil && !source.Ended() && h.conn != nil && http1.Peek(h.conn).Gone() {
		return nil, errClientLeft
	}
	for err == nil && !source.Ended() && len(content) < limit {
		size := min(max(2*len(content), 2*freeBodyBytes), limit)
		if h.reserve(h.memory, int64(size-cap(content))) != nil {
			recycleBodyBuffer(content)
			return nil, errNoMemory
		}
		content, err = h.readMore(source, content, size)
	}
	if err != nil {
		recycleBodyBuffer(content)
		return nil, err
	}
	return content, nil
}

// readMore reads on until a body has a size or has ended.
func (h *holding) readMore(source *http1.Body, content []byte, size int) ([]byte, error) {
	h.beginReading()
	defer h.endReading()
	grown := newBodyBuffer(size)
	copy(grown, content)
	recycleBodyBuffer(content)
	received, err := io.ReadFull(source, grown[len(content):])
	if errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && source.Ended()) {
		err = nil
	}
	return grown[:len(content)+received], err
}

// reservePlace takes a place for a body that is to be streamed.
func (h *holding) reservePlace() error {
	if h.reserve(h.place, 1) != nil {
		return errNoPlace
	}
	return nil
}

// reserve reserves a part of a budget, for which the request may have to wait.
func (h *holding) reserve(from *budget.Holder, amount int64) error {
	if h.conn == nil {
		return from.Reserve(amount, budgetPatience)
	}
	h.conn.awaitsReserve.Store(true)
	defer h.conn.awaitsReserve.Store(false)
	defer h.conn.flow.Restart()
	return from.Reserve(amount, budgetPatience)
}
