// Package manage serves the calls of operators' staff: a connection carries one line, and the answer is one line that
// starts with +OK or -ERR. It knows nothing of pools or clients; what a call does is its Operator's.
package admincmd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	maxCallers = 24              // at once: descriptors are few, and some callers only stay
	maxLine    = 512             // bytes of a call
	callWithin = 3 * time.Second // for a caller's line to come, and for its answer to be read
	retryPause = 5 * time.Millisecond
)

// Handler carries out calls. Its methods may be called from many goroutines; each must return well within a second.
type Handler interface {
	// Status returns nil if this process is ready to serve, or else why it is not.
	Status() error
	// TakeOutOfService takes an upstream out until Back. Nothing new goes to it once Out has returned nil. An id that is not known is an error.
	// The note, if there is one, goes behind the yes.
	TakeOutOfService(id string) (note string, err error)
	// ReturnToService undoes Out, however often it was called.
	ReturnToService(id string) (note string, err error)
	// Standby drains the whole balancer, and Active ends that.
	Standby() error
	Active() error
}

// call is a word that a line may begin with.
type call struct {
	argument string // that it takes; empty: none
	run      func(o Handler, argument string) (note string, err error)
}

var calls = map[string]call{
	"status":    {"", func(o Handler, _ string) (string, error) { return "", o.Status() }},
	"maint-on":  {"ID", Handler.TakeOutOfService},
	"maint-off": {"ID", Handler.ReturnToService},
	"standby":   {"", func(o Handler, _ string) (string, error) { return "", o.Standby() }},
	"active":    {"", func(o Handler, _ string) (string, error) { return "", o.Active() }},
}

// Execute carries out the call that a line holds, and returns its answer without the line end.
func Execute(o Handler, line string) string {
	words := strings.Fields(line)
	if len(words) == 0 {
		return "-ERR no call"
	}
	c, ok := calls[words[0]]
	switch wanted := min(len(c.argument), 1); {
	case !ok:
		return fmt.Sprintf("-ERR there is no call %.40q", words[0])
	case len(words)-1 < wanted:
		return fmt.Sprintf("-ERR %s wants %s", words[0], c.argument)
	case len(words)-1 > wanted:
		return fmt.Sprintf("-ERR %s: %.40q is too much", words[0], words[1+wanted])
	}
	note, err := c.run(o, strings.Join(words[1:], ""))
	if err != nil {
		return "-ERR " + strings.Join(strings.Fields(err.Error()), " ") // one line, whatever the error holds
	}
	return strings.TrimSpace("+OK " + note)
}

// Server answers the callers of one listener.
type Server struct {
	operator Handler
	mu       sync.Mutex
	waiting  []net.Conn // no whole line has come from them yet; the one that came first stands first
}

// Serve answers calls until the context ends, and then closes the listener.
func Serve(ctx context.Context, l net.Listener, o Handler) error {
	s := &Server{operator: o}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	room := make(chan struct{}, maxCallers)
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or a connection that broke in the queue: neither ends the service
			slog.Warn("taking a call", "err", err)
			time.Sleep(retryPause)
			continue
		}
		select {
		case room <- struct{}{}:
		default: // those who say nothing must not keep others out
			s.dropFirst()
			room <- struct{}{}
		}
		s.enlist(c)
		go func() {
			s.answer(c)
			<-room
		}()
	}
}

func (s *Server) enlist(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, c)
}

// dropFirst closes the connection that has waited longest for its caller's line.
func (s *Server) dropFirst() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		s.waiting[0].Close()
		s.waiting = s.waiting[1:]
	}
}

// heard takes c from among those that may have to give way.
func (s *Server) heard(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == c {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return
		}
	}
}

// answer reads one line and answers it.
func (s *Server) answer(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(callWithin))
	line, err := bufio.NewReaderSize(io.LimitReader(c, maxLine), maxLine).ReadString('\n')
	s.heard(c)
	if err != nil && len(line) < maxLine { // half a call is none: what it was to be is not certain
		return
	}
	text := "-ERR the call is too long"
	if err == nil {
		text = Execute(s.operator, line)
	}
	io.WriteString(c, text+"\r\n") // a caller who has gone needs no answer
	slog.Info("call", "line", strings.TrimSpace(line), "answer", text)
}
