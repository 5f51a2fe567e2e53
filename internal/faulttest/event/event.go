// Package event is what processes of the proving ground tell each other of: what was asked, what came to nodes, what was answered,
// each with its time on the machine's monotonic clock, which all processes read alike.
package event

import (
	"bufio"
	"encoding/gob"
	"fmt"
	"io"
	"sync"

	"golang.org/x/sys/unix"
)

// Kind says what happened.
type Kind uint8

// The kinds. In brackets stand the fields that count beside At.
const (
	Asked     Kind = iota // a request's last byte has left its client [ID, First, Balancer, Effect, Limit, Hint]
	Answered              // its final answer has come, or its connection ended without one: Status 0 [ID, Status, Stamp, Fresh]
	Untaken               // it could not be sent: no connection came up, or none that took its last byte [ID, Balancer]
	Got                   // its last byte has come to a node [ID, Node, Balancer, Conn, Begin, End, Work]
	TurnedOff             // the node has turned it away unseen [ID, Node]
	Ran                   // the node has done its work [ID, Node, Stamp]
	Done                  // the node has written its answer [ID, Node, Conn, End]
	Ready                 // a node listens [Node, Port]
	Tally                 // what a peer has had from another so far [Node: who tells, Balancer: whose, and Peers]
	Error                 // the process can't go on [Text]
	Over                  // all that was to be asked has been, and is answered
)

// Effect says whether a request may run more than once.
type Effect uint8

// The effects.
const (
	Unsafe Effect = iota // must never run twice
	Keyed                // nodes drop its repeats
	Safe
)

// Event is one thing that happened. Times are nanoseconds of CLOCK_MONOTONIC (clock_gettime(2)).
type Event struct {
	Kind     Kind
	At       int64
	ID       uint64 // of a request; a client's later try has one of its own
	First    uint64 // ID of the first try; 0: this is it
	Node     int32
	Balancer int32
	Status   int32
	Effect   Effect
	Port     uint16
	Limit    int64  // ns that the client waits
	Work     int64  // ns of one core, at full speed
	Stamp    uint64 // marks an answer: what a client is served must bear one that a node made for its request
	Conn     uint16 // the port that a connection to a node came from
	Begin    int64  // offset in the connection of the request's first byte
	End      int64  // and of its last one; of an answer, in the other direction
	Peers    Peers
	Fresh    bool // the connection had carried no request before
	Text     string
}

// Peers counts what one peer has sent to another, and what came.
type Peers struct {
	Sent   int64 // datagrams; told by the sender
	Came   int64 // datagrams; told by the receiver, as are those below
	Twice  int64 // came before
	Late   int64 // one that was sent later came before
	Spoilt int64 // messages that were not as sent, and on a stream those out of order
	Stream int64 // messages on streams
}

// Now reads the clock.
func Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(fmt.Sprintf("clock_gettime: %v", err)) // the clock exists on every Linux
	}
	return t.Nano()
}

// Writer sends events from any goroutine. What is written while another write is under way goes out with it.
type Writer struct {
	mu      sync.Mutex
	out     *bufio.Writer
	encoder *gob.Encoder
	kick    chan struct{}
}

// NewWriter returns a Writer to a stream. It keeps a goroutine until the stream fails.
func NewWriter(to io.Writer) *Writer {
	out := bufio.NewWriterSize(to, 1<<16)
	w := &Writer{out: out, encoder: gob.NewEncoder(out), kick: make(chan struct{}, 1)}
	go func() {
		for range w.kick {
			w.mu.Lock()
			err := w.out.Flush()
			w.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return w
}

// Tell sends an event, with the time if it has none.
func (w *Writer) Tell(e Event) {
	if e.At == 0 {
		e.At = Now()
	}
	w.mu.Lock()
	w.encoder.Encode(e) // a reader that has gone is noticed by its end of the pipe
	w.mu.Unlock()
	select {
	case w.kick <- struct{}{}:
	default: // a flush is due already
	}
}

// Flush sends what is still held.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Flush()
}

// Read hands over events until the stream ends. An end between two events is no error.
func Read(from io.Reader, each func(Event)) error {
	d := gob.NewDecoder(bufio.NewReaderSize(from, 1<<16))
	for {
		var e Event
		switch err := d.Decode(&e); err {
		case nil:
			each(e)
		case io.EOF:
			return nil
		default:
			return fmt.Errorf("reading events: %w", err)
		}
	}
}
