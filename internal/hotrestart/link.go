package hotrestart

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// maxMessageSize bounds a message, in bytes. The buffer of a socket holds a message of that size.
	maxMessageSize = 128 << 10
	// sendTimeout bounds a send, as the other process may hang.
	sendTimeout = time.Second
	// descriptorSize is the size in bytes of a file descriptor in a control message (cmsg(3), SCM_RIGHTS).
	descriptorSize = 4
)

// Link is a connection between the two processes. It preserves message boundaries.
type Link struct {
	conn *net.UnixConn
	mu   sync.Mutex // held while a message is sent
}

// Dial connects to the process that listens at a path. The error wraps os.ErrNotExist if there is no socket at the
// path.
func Dial(path string) (*Link, error) {
	address, release, err := socketAddress(path)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialUnix(network, nil, address)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Link{conn: conn}, nil
}

// Send sends a message, and with it the descriptor of source unless source is nil. The descriptor stays open in this
// process. A message that cannot be written within a second is an error. Send is safe for concurrent use.
func (l *Link) Send(message Message, source syscall.Conn) error {
	text, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(text) > maxMessageSize {
		return fmt.Errorf("handover: a message of %d bytes", len(text))
	}
	if source == nil {
		return l.write(text, nil)
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var writeErr error
	err = raw.Control(func(descriptor uintptr) {
		writeErr = l.write(text, syscall.UnixRights(int(descriptor)))
	})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return writeErr
}

// write sends the text of a message with a control message, which may be nil.
func (l *Link) write(text, control []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // if it fails, so does the write
	_, _, err := l.conn.WriteMsgUnix(text, control, nil)
	return err
}

// Receive waits for a message, and returns it with the file of the descriptor that it carries; nil if it carries none.
// The caller closes the file. The error wraps io.EOF once the other process has closed the link. Receive is not safe
// for concurrent use.
func (l *Link) Receive() (Message, *os.File, error) {
	text := make([]byte, maxMessageSize+1)
	control := make([]byte, syscall.CmsgSpace(descriptorSize))
	textSize, controlSize, _, _, err := l.conn.ReadMsgUnix(text, control)
	if err != nil {
		return Message{}, nil, fmt.Errorf("handover: %w", err)
	}
	file := receivedFile(control[:controlSize])
	message, err := Decode(text[:textSize])
	if err != nil && file != nil {
		file.Close()
		file = nil
	}
	return message, file, err
}

// receivedFile returns the file of the descriptor in a control message; nil if there is none.
func receivedFile(control []byte) *os.File {
	controls, err := syscall.ParseSocketControlMessage(control)
	if err != nil || len(controls) == 0 {
		return nil
	}
	descriptors, err := syscall.ParseUnixRights(&controls[0])
	if err != nil || len(descriptors) == 0 {
		return nil
	}
	syscall.CloseOnExec(descriptors[0])
	return os.NewFile(uintptr(descriptors[0]), "handed over")
}

// SetReadDeadline sets the time at which a waiting Receive fails. The zero time means never.
func (l *Link) SetReadDeadline(at time.Time) error { return l.conn.SetReadDeadline(at) }

// Close closes the link. A Receive that is waiting in either process returns an error.
func (l *Link) Close() error { return l.conn.Close() }
