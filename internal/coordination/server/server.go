// Package server implements a coordination server: it replicates the log of commands with etcd's Raft library
// (go.etcd.io/raft; Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), stores the log
// in a folder on disk (bbolt), and serves peers, clients and followers. The program olivearch-coordinator runs it.
//
// Package state decides which commands are granted, and package membership who the voters are. Package client has the
// messages and the callers' side.
//
// One goroutine owns the state and never blocks, see core. Other goroutines wait for the disk (diskWriter) and for
// connections, and submit events to it.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"olivearch/internal/coordination/state"
)

// Config is the configuration of a Server.
type Config struct {
	Name    string
	Address string // the address at which the other servers reach this one
	// Addresses maps the name of each server, including this one, to the address at which this process reaches it.
	Addresses map[string]string
	Folder    string // must exist; no other server may use it
	// WriteQuorum is the number of voters that must have stored a command on disk before its client gets a
	// response; 0 means a majority.
	WriteQuorum int
	// ReplaceAfter is how long the leader must have received nothing from a voter before a server of the same name
	// with an empty folder may replace it.
	ReplaceAfter time.Duration
}

// reachableAt returns the address at which this process reaches a member.
func (c *Config) reachableAt(member state.Member) string {
	if address := c.Addresses[member.Name]; address != "" {
		return address
	}
	return member.Address
}

// peerAddresses returns the addresses of the other servers, by name.
func (c *Config) peerAddresses() map[string]string {
	peers := map[string]string{}
	for name, address := range c.Addresses {
		if name != c.Name {
			peers[name] = address
		}
	}
	return peers
}

// Server is a coordination server on a listener.
type Server struct {
	core     *core
	listener net.Listener
}

// New opens the folder, which must exist. Run closes the listener when it returns. Errors wrap ErrDamaged,
// ErrForeignFolder or ErrDisk if one of these is the cause.
func New(config Config, listener net.Listener) (*Server, error) {
	opened, loaded, err := openStore(config.Folder, config.Name, generateMemberID)
	if err != nil {
		return nil, err
	}
	c, err := newCore(config, opened, loaded)
	if err != nil {
		return nil, errors.Join(err, opened.close())
	}
	return &Server{core: c, listener: listener}, nil
}

// Run serves until the context ends, and then returns nil. An error is the reason why the server had to stop earlier:
// requests without a response at that time may or may not have taken effect. Run must be called only once.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.core.ctx, s.core.cancel = ctx, cancel
	serving := make(chan struct{})
	go func() {
		defer close(serving)
		s.core.serve(s.listener)
	}()
	go s.core.writer.run(s.core.writes)
	s.core.run()
	cancel(nil)
	s.listener.Close()
	<-serving
	s.core.writer.stop()
	err := s.core.store.close()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// raftLogger writes the Raft library's log lines to slog: warnings and errors at their own level, information at level
// Debug, and debug lines not at all. Where the library asks for the process to end, the logger panics, and the core
// turns the panic into an error.
type raftLogger struct{ logger *slog.Logger }

const raftLogMessage = "report raft event"

func (l raftLogger) detail(event string) { l.logger.Debug(raftLogMessage, "event", event) }
func (l raftLogger) warn(event string)   { l.logger.Warn(raftLogMessage, "event", event) }
func (l raftLogger) fail(event string)   { l.logger.Error(raftLogMessage, "event", event) }

// Debug implements raft.Logger.
func (l raftLogger) Debug(...any) {}

// Debugf implements raft.Logger.
func (l raftLogger) Debugf(string, ...any) {}

// Info implements raft.Logger.
func (l raftLogger) Info(values ...any) { l.detail(fmt.Sprint(values...)) }

// Infof implements raft.Logger.
func (l raftLogger) Infof(format string, values ...any) { l.detail(fmt.Sprintf(format, values...)) }

// Warning implements raft.Logger.
func (l raftLogger) Warning(values ...any) { l.warn(fmt.Sprint(values...)) }

// Warningf implements raft.Logger.
func (l raftLogger) Warningf(format string, values ...any) { l.warn(fmt.Sprintf(format, values...)) }

// Error implements raft.Logger.
func (l raftLogger) Error(values ...any) { l.fail(fmt.Sprint(values...)) }

// Errorf implements raft.Logger.
func (l raftLogger) Errorf(format string, values ...any) { l.fail(fmt.Sprintf(format, values...)) }

// Fatal implements raft.Logger.
func (l raftLogger) Fatal(values ...any) { panic(fmt.Sprint(values...)) }

// Fatalf implements raft.Logger.
func (l raftLogger) Fatalf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }

// Panic implements raft.Logger.
func (l raftLogger) Panic(values ...any) { panic(fmt.Sprint(values...)) }

// Panicf implements raft.Logger.
func (l raftLogger) Panicf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
