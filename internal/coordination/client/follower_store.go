package client

import (
	"fmt"
	"log/slog"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/disk"
	"olivearch/internal/protomsg"
)

// Field numbers of the stored copy.
const (
	copyCluster protomsg.Number = 1
	copyIndex   protomsg.Number = 2
	copyState   protomsg.Number = 3
)

// storeInterval is the minimum time between two writes of the copy while no override changes.
const storeInterval = 200 * time.Millisecond

// storeStatus tells which copy is stored, and how the last attempt to store one ended.
type storeStatus struct {
	index       uint64 // the log index of the stored copy
	attemptedAt time.Time
	fault       string // why the last attempt failed; empty: it succeeded
}

// encodeCopy returns the stored form of the copy: cluster, index and state.
func (f *Follower) encodeCopy() []byte {
	var w protomsg.Writer
	w.Uint(copyCluster, f.cluster)
	w.Uint(copyIndex, f.index)
	w.Raw(copyState, f.state.Encode())
	return w.Bytes()
}

// loadCopy sets the follower's state to the stored copy. The error wraps os.ErrNotExist if there is none. After an
// error the state is empty.
func (f *Follower) loadCopy() error {
	encoded, err := disk.Read(f.path, MaxFrame)
	if err != nil {
		return err
	}
	var encodedState []byte
	err = protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case copyCluster:
			f.cluster = field.Uint
		case copyIndex:
			f.index = field.Uint
		case copyState:
			encodedState = field.Raw
		}
		return nil
	})
	if err == nil {
		f.state, err = state.DecodeState(encodedState)
	}
	if err != nil {
		f.state, f.cluster, f.index = state.NewState(), 0, 0
		return fmt.Errorf("%s: %w", f.path, err)
	}
	f.stored.index = f.index
	return nil
}

// storeCopy writes the copy if it is newer than the stored one. Unless atOnce is set, it does nothing within
// storeInterval of the last attempt.
func (f *Follower) storeCopy(atOnce bool) {
	if f.path == "" || f.index == f.stored.index {
		return
	}
	if !atOnce && time.Since(f.stored.attemptedAt) < storeInterval {
		return
	}
	f.stored.attemptedAt = time.Now()
	if err := disk.Replace(f.path, f.encodeCopy()); err != nil {
		f.logStoreFault(err)
		return
	}
	f.stored.index = f.index
	if f.stored.fault != "" {
		slog.Info("copy stored again", "path", f.path)
		f.stored.fault = ""
	}
}

// logStoreFault logs that the copy could not be written, unless the last attempt failed with the same error. Until the
// copy is written, a process that restarts while no server can be reached begins with the older copy.
func (f *Follower) logStoreFault(err error) {
	if err.Error() == f.stored.fault {
		return
	}
	f.stored.fault = err.Error()
	slog.Warn("copy not stored", "path", f.path, "err", err)
}
