// Package server is a server of the coordination cluster: the replicated log, by the Raft library of etcd
// (go.etcd.io/raft; Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), its folder on a
// disk (bbolt), its links to the other servers, and the service to clients and followers.
//
// One goroutine owns the state and never blocks: see core. Others wait for the disk (diskWriter), for peers
// (peerLinks), for clients and for followers, and hand the core events.
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

// Config configures a server.
type Config struct {
	Name    string
	Address string // at which the other servers reach it
	// Addresses maps the name of each server, this one among them, to the address at which this process reaches it.
	Addresses map[string]string
	Folder    string // must exist; it belongs to this server alone
	// WriteQuorum is how many voters must have a command on their disks before its client gets an answer; 0: a majority.
	WriteQuorum int
	// ReplaceAfter is for how long a voter must have been silent before an empty one of its name may replace it.
	ReplaceAfter time.Duration
}

// reachableAt returns the address at which a member is reached from here.
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

// Server runs until its context ends or it can't go on.
type Server struct {
	core     *core
	listener net.Listener
}

// New opens the folder, which must exist. Run closes the listener when it ends. Errors wrap ErrDamaged,
// ErrForeignFolder or ErrDisk where these are the cause.
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

// Run serves. It returns nil once the context has ended. An error says why the server had to stop;
// requests that it had not answered by then may or may not have taken effect. Run is called once.
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

// raftLogger passes the Raft library's log lines on: warnings and errors at their level, the rest as details. Where the
// library wants the process to end it panics, which the core turns into an error.
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
