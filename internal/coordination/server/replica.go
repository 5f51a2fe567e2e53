// Package replica is a voter of the ledger: the replicated log, by the Raft library of etcd (go.etcd.io/raft; Ongaro and Ousterhout, "In
// Search of an Understandable Consensus Algorithm", 2014), its folder on a disk, its links to the other voters, and the service to
// callers and followers. One goroutine owns the state and never waits: for the disk, a link or a caller others do.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// Config is what a voter is told.
type Config struct {
	Name         string
	Address      string            // under which the other voters reach it
	Voters       map[string]string // name -> address at which this process reaches them, its own among them
	Folder       string
	WriteQuorum  int           // disks that have a promise before it is answered; 0: those of a majority
	ReplaceAfter time.Duration // without a word for so long, a voter may be replaced by an empty one of its name
}

const (
	tick          = 50 * time.Millisecond
	electionTicks = 12 // 0.6 to 1.2 s without a leader's word
	beatTicks     = 3
	decideEvery   = 5  // ticks
	beatEvery     = 10 // ticks: followers hear how fresh their copies are
	learnerIdle   = time.Minute
	maxPending    = 8192 // proposals without an answer
	maxUnsettled  = 8 << 20
	maxMessage    = 1 << 20
	maxInflight   = 256
	snapshotAfter = 8192     // entries
	snapshotBytes = 16 << 20 // or bytes of log
	keepEntries   = 2048     // before a snapshot, for those who lag a little
	stalledAfter  = time.Second
)

// Server runs until its context ends or it can't go on.
type Server struct {
	core     *core
	listener net.Listener
}

// New opens the folder. The listener is closed when Run ends.
func New(c Config, listener net.Listener) (*Server, error) {
	s, held, err := openStore(c.Folder, c.Name, generateMemberID)
	if err != nil {
		return nil, err
	}
	x, err := newCore(c, s, held)
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	return &Server{core: x, listener: listener}, nil
}

// Run serves. It returns nil once the context has ended; an error says why it could not go on, and that nothing is to be trusted that
// it had not answered.
func (v *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := v.core
	x.ctx, x.fail = ctx, cancel
	serving := make(chan struct{})
	go func() { defer close(serving); x.serve(v.listener) }()
	go x.writer.run(x.written)
	x.run()
	cancel(nil)
	v.listener.Close()
	<-serving
	x.writer.stop()
	err := x.store.close()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// quietLogger hands the library's lines on: elections are of interest, the rest is detail.
type quietLogger struct{ *slog.Logger }

func (l quietLogger) Debug(...any)                {}
func (l quietLogger) Debugf(string, ...any)       {}
func (l quietLogger) Info(v ...any)               { l.Logger.Debug(fmt.Sprint(v...)) }
func (l quietLogger) Infof(f string, v ...any)    { l.Logger.Debug(fmt.Sprintf(f, v...)) }
func (l quietLogger) Warning(v ...any)            { l.Warn(fmt.Sprint(v...)) }
func (l quietLogger) Warningf(f string, v ...any) { l.Warn(fmt.Sprintf(f, v...)) }
func (l quietLogger) Error(v ...any)              { l.Logger.Error(fmt.Sprint(v...)) }
func (l quietLogger) Errorf(f string, v ...any)   { l.Logger.Error(fmt.Sprintf(f, v...)) }
func (l quietLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l quietLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (l quietLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l quietLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }

// reachable is at which address a voter is reached from here.
func (c *Config) reachable(m state.Member) string {
	if a := c.Voters[m.Name]; a != "" {
		return a
	}
	return m.Address
}

// answerTo is where a request's answer goes; it does not wait.
type answerTo func(client.Response)
