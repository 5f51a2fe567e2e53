package client

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/protomsg"
)

const (
	// updateTimeout is how long a server may be silent before the follower tries the next one. A server sends at
	// least four messages in that time.
	updateTimeout = 2 * time.Second
	// The pause between two rounds over all servers doubles from minFollowBackoff up to maxFollowBackoff.
	minFollowBackoff = 100 * time.Millisecond
	maxFollowBackoff = time.Second
)

// Follower keeps a copy of the cluster's state. The copy stays in force, however old, until a server sends a newer
// state of the same cluster.
type Follower struct {
	name             string
	servers          map[string]string // addresses by name
	path             string            // file of the stored copy; empty: the copy is not stored
	overridesChanged func([]state.Override)
	view             atomic.Pointer[View]
	cancel           context.CancelFunc // ends run
	done             chan struct{}      // closed when run has ended

	// The fields below belong to the goroutine of run.

	state       *state.State
	cluster     uint64    // ID of the cluster that the state comes from; 0: no state yet
	index       uint64    // index of the last log entry in the state
	confirmedAt time.Time // when the last ping that a quorum confirmed was sent
	stored      storeStatus
}

// StartFollower starts a Follower of the voters, given as addresses by name. It begins with the copy in the file at
// path, if there is one; path may be empty. The order in which it tries the voters depends on its own name, so that
// many followers spread over the voters.
//
// overridesChanged is called with all overrides whenever some have changed, and must not block. With the overrides of
// the file it is called before StartFollower returns; all later calls come from one goroutine.
func StartFollower(
	name string, voters map[string]string, path string, overridesChanged func([]state.Override),
) *Follower {
	follower := &Follower{
		name:             name,
		servers:          maps.Clone(voters),
		path:             path,
		overridesChanged: overridesChanged,
		done:             make(chan struct{}),
		state:            state.NewState(),
	}
	known := follower.startFromCopy()
	follower.view.Store(&View{
		Known:     known,
		Overrides: follower.state.Overrides(),
		Cluster:   follower.cluster,
		Index:     follower.index,
		Fault:     "no voter has been reached yet",
	})
	ctx, cancel := context.WithCancel(context.Background())
	follower.cancel = cancel
	go follower.run(ctx)
	return follower
}

// startFromCopy loads the stored copy, and reports whether there is one. A damaged copy is logged and ignored, so that
// it does not keep the process from serving.
func (f *Follower) startFromCopy() bool {
	if f.path == "" {
		return false
	}
	err := f.loadCopy()
	if err == nil {
		f.overridesChanged(f.state.Overrides())
		return true
	}
	if !errors.Is(err, os.ErrNotExist) {
		slog.Warn("stored copy ignored", "path", f.path, "err", err)
	}
	return false
}

// Close ends the follower and stores its copy.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// View returns the current view. It is safe for concurrent use.
func (f *Follower) View() *View { return f.view.Load() }

// preferenceOrder returns the order in which this follower tries the servers, by rendezvous hashing (Thaler and
// Ravishankar, 1998).
func (f *Follower) preferenceOrder() []string {
	const fibonacciMultiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio: it spreads similar hashes
	weight := func(server string) uint64 {
		hash := fnv.New64a()
		fmt.Fprint(hash, f.name, " ", server)
		return hash.Sum64() * fibonacciMultiplier >> 1
	}
	return slices.SortedFunc(maps.Keys(f.servers), func(a, b string) int {
		return cmp.Compare(weight(b), weight(a))
	})
}

// run follows one server after another until the context ends.
func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	defer f.storeCopy(true)
	backoff := minFollowBackoff
	for ctx.Err() == nil {
		for _, server := range f.preferenceOrder() {
			indexBefore := f.index
			err := f.follow(ctx, server)
			if ctx.Err() != nil {
				return
			}
			if f.index > indexBefore {
				backoff = minFollowBackoff
			}
			f.publishFault(server, err)
			f.storeCopy(false)
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxFollowBackoff)
	}
}

// follow applies the updates of one server until the connection breaks, an update cannot be applied, or the context
// ends. It always returns an error.
func (f *Follower) follow(ctx context.Context, server string) error {
	hello := Hello{
		Role:    RoleFollower,
		Cluster: f.cluster,
		Name:    f.name,
		Applied: f.index,
		Level:   state.NewestFeatureLevel,
	}
	conn, reader, _, err := Dial(ctx, f.servers[server], hello)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	pings := startPinger(conn)
	defer pings.stop()
	for first := true; ; first = false {
		update, err := readUpdate(conn, reader)
		if err != nil {
			return err
		}
		stateBefore, revisionBefore := f.state, f.state.OverridesRevision()
		if err := f.apply(&update, first); err != nil {
			return err
		}
		if sentAt := pings.sentAt(update.Ping); sentAt.After(f.confirmedAt) {
			f.confirmedAt = sentAt
		}
		changed := f.state != stateBefore || f.state.OverridesRevision() != revisionBefore
		f.publishUpdate(server, &update, changed)
		if changed {
			f.overridesChanged(f.view.Load().Overrides)
		}
		f.storeCopy(changed) // at once only if the overrides have changed
	}
}

func readUpdate(conn net.Conn, reader *bufio.Reader) (Update, error) {
	_ = conn.SetReadDeadline(time.Now().Add(updateTimeout)) // if it fails, so does the read
	body, err := ReadFrame(reader, MaxFrame)
	if err != nil {
		return Update{}, err
	}
	return DecodeUpdate(body)
}

// apply applies an update. The first one on a connection must carry a state. apply returns an error if the update is
// malformed or of another cluster, or if its state is older than the copy.
func (f *Follower) apply(update *Update, first bool) error {
	if f.cluster != 0 && update.Cluster != f.cluster {
		return fmt.Errorf("server belongs to cluster %x, and the grants of cluster %x stay in force here",
			update.Cluster, f.cluster)
	}
	if update.State != nil {
		return f.replaceState(update)
	}
	if first {
		return fmt.Errorf("%w: first update has no state", protomsg.ErrMalformed)
	}
	if update.Index <= f.index { // the state includes these commands already
		return nil
	}
	for _, encoded := range update.Commands {
		if err := f.applyCommand(update.Index, encoded); err != nil {
			return err
		}
	}
	f.index = update.Index
	return nil
}

func (f *Follower) replaceState(update *Update) error {
	decoded, err := state.DecodeState(update.State)
	if err != nil {
		return err
	}
	if update.Index < f.index {
		return fmt.Errorf("server's state ends at log index %d, before %d of the copy here",
			update.Index, f.index)
	}
	f.state, f.cluster, f.index = decoded, update.Cluster, update.Index
	return nil
}

// applyCommand applies one command of a log entry. It skips a command of a kind that only a newer version knows, which
// does not change the overrides that this version knows.
func (f *Follower) applyCommand(index uint64, encoded []byte) error {
	envelope, err := state.DecodeEnvelope(encoded)
	if errors.Is(err, state.ErrUnknownKind) {
		return nil
	}
	if err != nil {
		return err
	}
	// Apply fails if the cluster's feature level is above this version's. A server has to stop then. A follower
	// continues, since a higher level only adds kinds of commands, which it skips.
	_, _ = f.state.Apply(index, envelope.Clock, envelope.Command)
	return nil
}
