package cpushare

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// eventBytes is the size of a value that is written to an eventfd (eventfd(2)).
	eventBytes = 8
	// pollerCheckTime bounds the check of a new poller.
	pollerCheckTime = time.Second
	// timerInterval is the pause of a timerPoller.
	timerInterval = time.Millisecond
)

// poller lets one goroutine wait until the runtime has polled the network.
type poller interface {
	// signal ends the next wait, or the current one, once the network has been polled.
	signal()
	wait()
}

// newPoller returns a poller for the process.
func newPoller() poller {
	created, err := newEventPoller()
	if err != nil {
		slog.Warn("polls of the network replaced by a timer", "err", err)
		return timerPoller{make(chan struct{}, 1)}
	}
	return created
}

// eventPoller waits by a descriptor (eventfd(2)) that is one of those which the runtime polls.
type eventPoller struct{ file *os.File }

// newEventPoller returns an eventPoller that has been tried out.
func newEventPoller() (eventPoller, error) {
	descriptor, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return eventPoller{}, fmt.Errorf("create an eventfd: %w", err)
	}
	created := eventPoller{os.NewFile(uintptr(descriptor), "eventfd")}
	if err := created.check(); err != nil {
		created.file.Close()
		return eventPoller{}, fmt.Errorf("wait for an eventfd: %w", err)
	}
	return created, nil
}

// check tries out a wait. Without support for deadlines the descriptor is none that the runtime polls.
func (p eventPoller) check() error {
	if err := p.file.SetReadDeadline(time.Now().Add(pollerCheckTime)); err != nil {
		return err
	}
	time.AfterFunc(0, p.signal)
	if err := p.read(); err != nil {
		return err
	}
	return p.file.SetReadDeadline(time.Time{})
}

func (p eventPoller) signal() {
	var one [eventBytes]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	_, _ = p.file.Write(one[:]) // can't fail: the counter does not overflow, since it is read after each signal
}

func (p eventPoller) wait() {
	if p.read() != nil { // not expected after check
		time.Sleep(timerInterval)
	}
}

func (p eventPoller) read() error {
	var count [eventBytes]byte
	_, err := p.file.Read(count[:])
	return err
}

// timerPoller waits for a timer instead, during which the network is polled.
type timerPoller struct{ signals chan struct{} }

func (p timerPoller) signal() {
	select {
	case p.signals <- struct{}{}:
	default:
	}
}

func (p timerPoller) wait() {
	<-p.signals
	time.Sleep(timerInterval)
}
