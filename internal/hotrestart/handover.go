// Package handover is the link between an old and a new process of one balancer: messages with at most one descriptor
// each, over a Unix socket that only processes with the same folder can reach. What is handed over, and when, is its users'.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"olivearch/balancer"
	"olivearch/internal/override"
)

const (
	// maxMessage bounds a message in bytes; a socket's buffer holds one of that size.
	maxMessage = 128 << 10
	// maxPath is the longest address of a Unix socket (sockaddr_un in unix(7)), less its end.
	maxPath = 107
	// sendWithin bounds a send: the other process may hang.
	sendWithin = time.Second
)

// Kind says what a message is.
type Kind string

// The kinds.
const (
	KindTakeOver         Kind = "take"   // the new process asks for what the old one has
	KindState            Kind = "state"  // what is out by hand and whether the balancer is drained; the answer to Take brings the listener
	KindAck              Kind = "ack"    // a State has been applied
	KindReady            Kind = "ready"  // the new process serves
	KindSnapshotRequest  Kind = "recall" // the new process asks for what has been learnt
	KindSnapshot         Kind = "memory" // what has been learnt
	KindClientConnection Kind = "client" // a client's connection without a request in it
)

// Message is what one process tells the other.
type Message struct {
	Kind      Kind                      `json:"kind"`
	Serial    uint64                    `json:"serial,omitempty"` // of a State, and in its Ack
	Listen    string                    `json:"listen,omitempty"` // address that the balancer serves
	Overrides map[string]override.Entry `json:"held,omitempty"`
	Standby   bool                      `json:"standby,omitempty"`
	Snapshot  *balancer.Snapshot        `json:"memory,omitempty"`
}

// Decode reads a message.
func Decode(text []byte) (Message, error) {
	var m Message
	if err := json.Unmarshal(text, &m); err != nil {
		return m, fmt.Errorf("handover: %w", err)
	}
	switch m.Kind {
	case KindTakeOver, KindState, KindAck, KindReady, KindClientConnection, KindSnapshotRequest, KindSnapshot:
		return m, nil
	}
	return m, fmt.Errorf("handover: a message of kind %q", m.Kind)
}

// Link is a connection between the two processes.
type Link struct {
	conn *net.UnixConn
	mu   sync.Mutex // sends come from many goroutines
}

// Send sends a message, with the descriptor of c if that is not nil. The descriptor stays open here too.
func (l *Link) Send(m Message, c syscall.Conn) error {
	text, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(text) > maxMessage {
		return fmt.Errorf("handover: a message of %d bytes", len(text))
	}
	send := func(rights []byte) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conn.SetWriteDeadline(time.Now().Add(sendWithin))
		_, _, err := l.conn.WriteMsgUnix(text, rights, nil)
		return err
	}
	if c == nil {
		return send(nil)
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var sent error
	if err := raw.Control(func(fd uintptr) { sent = send(syscall.UnixRights(int(fd))) }); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return sent
}

// Receive waits for a message, and returns the descriptor that came with it, or nil. One caller at a time.
func (l *Link) Receive() (Message, *os.File, error) {
	text, rights := make([]byte, maxMessage+1), make([]byte, syscall.CmsgSpace(4))
	n, rn, _, _, err := l.conn.ReadMsgUnix(text, rights)
	if err != nil {
		return Message{}, nil, fmt.Errorf("handover: %w", err)
	}
	if n == 0 && rn == 0 {
		return Message{}, nil, errors.New("handover: the other process has ended the link")
	}
	var file *os.File
	if controls, err := syscall.ParseSocketControlMessage(rights[:rn]); err == nil && len(controls) > 0 {
		if fds, err := syscall.ParseUnixRights(&controls[0]); err == nil && len(fds) > 0 {
			syscall.CloseOnExec(fds[0])
			file = os.NewFile(uintptr(fds[0]), "handed over")
		}
	}
	m, err := Decode(text[:n])
	if err != nil && file != nil {
		file.Close()
		file = nil
	}
	return m, file, err
}

// Close ends the link.
func (l *Link) Close() error { return l.conn.Close() }

// SetReadDeadline bounds Receive.
func (l *Link) SetReadDeadline(t time.Time) error { return l.conn.SetReadDeadline(t) }

// Dial connects to the process that listens at a path.
func Dial(path string) (*Link, error) {
	path, done, err := short(path)
	if err != nil {
		return nil, err
	}
	defer done()
	c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Link{conn: c}, nil
}

// Listener takes links.
type Listener struct{ l *net.UnixListener }

// Listen listens at a path, in the place of whoever did before.
func Listen(path string) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	path, done, err := short(path)
	if err != nil {
		return nil, err
	}
	defer done()
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the path is the next process's
	return &Listener{l}, nil
}

// Accept waits for a link.
func (l *Listener) Accept() (*Link, error) {
	c, err := l.l.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return &Link{conn: c}, nil
}

// Close ends the listening. Links go on.
func (l *Listener) Close() error { return l.l.Close() }

// short returns a path that fits a socket's address: through a descriptor of the folder where it is too long.
func short(path string) (string, func(), error) {
	if len(path) <= maxPath {
		return path, func() {}, nil
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, fmt.Errorf("handover: %w", err)
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), filepath.Base(path)), func() { folder.Close() }, nil
}
