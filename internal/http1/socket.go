package http1

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxInterruptedPeeks bounds the calls of Peek that a signal interrupts, one after another.
const maxInterruptedPeeks = 100

// PeerState is what a socket tells of the other side.
type PeerState uint8

const (
	// PeerSilent means that nothing is known: no byte, end or error has arrived.
	PeerSilent PeerState = iota
	// PeerSent means that bytes are ready to be read, and that no end or error has arrived behind them.
	PeerSent
	// PeerSentLast means that bytes are ready to be read, and that the other side sends nothing more or the
	// connection is broken behind them.
	PeerSentLast
	// PeerEnded means that the other side sends nothing more.
	PeerEnded
	// PeerBroken means that the connection is broken, or closed on this side.
	PeerBroken
)

// Gone reports whether the other side can't be reached any more, or has ended the connection.
func (s PeerState) Gone() bool { return s == PeerSentLast || s.AtEnd() }

// HasUnread reports whether bytes are ready to be read.
func (s PeerState) HasUnread() bool { return s == PeerSent || s == PeerSentLast }

// AtEnd reports whether the next read returns the end of the connection or its error.
func (s PeerState) AtEnd() bool { return s == PeerEnded || s == PeerBroken }

// inconclusiveErrors are errors of a read that say nothing of the connection.
var inconclusiveErrors = []error{syscall.EAGAIN, syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS}

// receive and poll are the system calls of Peek; tests replace them.
var (
	receive = syscall.Recvfrom
	poll    = unix.Poll
)

// Peek returns the state of the other side of a connection, without waiting and without consuming a byte. A connection
// that is not a socket is PeerSilent.
func Peek(c net.Conn) PeerState {
	if _, isSocket := Innermost(c).(syscall.Conn); !isSocket {
		return PeerSilent
	}
	state := PeerBroken
	if err := control(c, func(descriptor int) { state = peekDescriptor(descriptor) }); err != nil {
		return PeerBroken
	}
	return state
}

// errNoSocket is the error of control for a connection that is not a socket.
var errNoSocket = errors.New("connection is not a socket")

// control calls use with the descriptor of a connection's socket. It does not wait, and deadlines don't apply.
func control(c net.Conn, use func(descriptor int)) error {
	socket, ok := Innermost(c).(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(descriptor uintptr) { use(int(descriptor)) })
}

// Undelivered reports whether the system still holds bytes written to a connection that the other side's system has not
// acknowledged. It returns false if that is unknown.
func Undelivered(c net.Conn) bool {
	var unacknowledged int
	var queueErr error
	err := control(c, func(descriptor int) {
		unacknowledged, queueErr = unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
	})
	return err == nil && queueErr == nil && unacknowledged > 0
}

func peekDescriptor(descriptor int) PeerState {
	var next [1]byte
	for range maxInterruptedPeeks {
		received, _, err := receive(descriptor, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		state := peerState(received, err)
		if state == PeerSent && endsBehindUnread(descriptor) {
			return PeerSentLast
		}
		return state
	}
	return PeerSilent
}

// endsBehindUnread reports whether the end or an error of a connection has arrived behind its unread bytes, which a
// read can't tell before it has returned them all.
func endsBehindUnread(descriptor int) bool {
	states := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for range maxInterruptedPeeks {
		ready, err := poll(states, 0)
		if !errors.Is(err, syscall.EINTR) {
			return err == nil && ready > 0
		}
	}
	return false
}

// peerState returns what the result of a read says of the other side.
func peerState(received int, err error) PeerState {
	isInconclusive := func(inconclusive error) bool { return errors.Is(err, inconclusive) }
	switch {
	case err == nil && received > 0:
		return PeerSent
	case err == nil:
		return PeerEnded
	case slices.ContainsFunc(inconclusiveErrors, isInconclusive):
		return PeerSilent
	default:
		return PeerBroken
	}
}

// Acknowledged returns how many bytes written to a connection the other side's system has acknowledged (tcp(7),
// TCP_INFO).
func Acknowledged(c net.Conn) (bytes uint64, err error) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, err
	}
	return info.Bytes_acked, nil
}

// tcpInfo returns what the system tells of a connection.
func tcpInfo(c net.Conn) (info *unix.TCPInfo, err error) {
	var infoErr error
	err = control(c, func(descriptor int) {
		info, infoErr = unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, infoErr); err != nil {
		return nil, fmt.Errorf("read the connection's state: %w", err)
	}
	return info, nil
}

// maxReceivedReads bounds the reads of Received until two agree.
const maxReceivedReads = 10

// Received returns how many bytes have arrived on a connection since it was opened, and how many of them nobody has
// read (tcp(7), TCP_INFO and SIOCINQ). No other goroutine may read from the connection meanwhile.
func Received(c net.Conn) (arrived uint64, unread int, err error) {
	for range maxReceivedReads {
		if arrived, err = Arrived(c); err != nil {
			return 0, 0, err
		}
		var queueErr error
		err = control(c, func(descriptor int) { unread, queueErr = unix.IoctlGetInt(descriptor, unix.SIOCINQ) })
		again, againErr := Arrived(c)
		if err := errors.Join(err, queueErr, againErr); err != nil {
			return 0, 0, err
		}
		if again == arrived {
			return arrived, unread, nil
		}
	}
	return 0, 0, errors.New("read the connection's state: bytes arrive without a pause")
}

// Arrived returns how many bytes have arrived on a connection since it was opened. Any goroutine may call it.
func Arrived(c net.Conn) (bytes uint64, err error) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, err
	}
	return info.Bytes_received, nil
}

// Innermost returns the innermost connection that c wraps. Between two sockets io.Copy can use splice(2).
func Innermost(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ Underlying() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.Underlying()
	}
}

// Abort makes the close of a connection send a reset, so that the other side does not take a truncated message for a
// complete one.
func Abort(c net.Conn) {
	if tcp, ok := Innermost(c).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}
