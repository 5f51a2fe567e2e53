package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"olivearch/internal/coordination/state"
	"olivearch/internal/disk"
	"olivearch/internal/protomsg"
)

// View is what a Copy has at a moment. It never changes.
type View struct {
	Known           bool // it has something: from a voter, or from its file
	Overrides       []state.Override
	Cluster         uint64
	Index           uint64
	Voter           string // that it follows; empty: none can be reached
	Leader          string
	Voters          int
	ReachableVoters int // of these, as the leader hears them; 0: not known
	Fault           string
	held            time.Time // a quorum confirmed then that nothing newer was promised
}

// Age is how long ago a quorum confirmed that nothing newer was promised than what is here.
func (v *View) Age(now time.Time) time.Duration {
	if v.held.IsZero() {
		return maxAge
	}
	return max(0, now.Sub(v.held))
}

// Follower follows what the ledger holds. What it has stays what holds, however old, until a voter says otherwise: it never goes back to an
// earlier state, nor to another cluster's.
type Follower struct {
	name    string
	voters  map[string]string
	path    string // of the file that keeps it; empty: none
	changed func([]state.Override)
	view    atomic.Pointer[View]
	end     context.CancelFunc
	ended   chan struct{}

	state   *state.State // belongs to run, as all below
	cluster uint64
	index   uint64
	held    time.Time
	kept    uint64 // revision that the file has
	keptAt  time.Time
	why     string // the file could not be written
}

const (
	updateWithin = 2 * time.Second // a voter says something four times as often
	keepEvery    = 200 * time.Millisecond
	followPause  = 100 * time.Millisecond
	followMost   = time.Second
)

// StartFollower begins to follow the voters, from what the file has, if there is one. The voter that is followed is chosen by the copy's own name,
// so that many copies spread over the voters. changed is called with all words whenever some have changed, from one goroutine, and
// before Follow returns with those of the file; it may not wait.
func StartFollower(name string, voters map[string]string, path string, changed func([]state.Override)) *Follower {
	c := &Follower{name: name, voters: maps.Clone(voters), path: path, changed: changed, ended: make(chan struct{}), state: state.NewState()}
	known := false
	if path != "" {
		switch err := c.load(); {
		case err == nil:
			known = true
			changed(c.state.Overrides())
		case !errors.Is(err, os.ErrNotExist): // a damaged copy must not keep the process from serving
			slog.Warn("starting without the kept promises", "file", path, "err", err)
		}
	}
	c.view.Store(&View{Known: known, Overrides: c.state.Overrides(), Cluster: c.cluster, Index: c.index, Fault: "no voter has been reached yet"})
	ctx, cancel := context.WithCancel(context.Background())
	c.end = cancel
	go c.run(ctx)
	return c
}

// Close ends the following.
func (c *Follower) Close() {
	c.end()
	<-c.ended
}

// View is what the copy has now.
func (c *Follower) View() *View { return c.view.Load() }

// order are the voters' names, in an order of this copy's own (rendezvous hashing; Thaler and Ravishankar, 1998).
func (c *Follower) order() []string {
	weight := func(voter string) uint64 {
		h := fnv.New64a()
		fmt.Fprint(h, c.name, " ", voter)
		return h.Sum64() * 0x9e3779b97f4a7c15 >> 1
	}
	return slices.SortedFunc(maps.Keys(c.voters), func(a, b string) int {
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
}

func (c *Follower) run(ctx context.Context) {
	defer close(c.ended)
	defer c.keep(true)
	pause := followPause
	for ctx.Err() == nil {
		for _, voter := range c.order() {
			began := c.index
			err := c.follow(ctx, voter)
			if ctx.Err() != nil {
				return
			}
			if c.index > began {
				pause = followPause
			}
			c.show(voter, nil, false, err)
			c.keep(false)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, followMost)
	}
}

// follow takes what one voter sends, until it stops.
func (c *Follower) follow(ctx context.Context, voter string) error {
	conn, in, _, err := Dial(ctx, c.voters[voter], Hello{Role: RoleFollower, Cluster: c.cluster, Name: c.name, Applied: c.index, Level: state.NewestFeatureLevel})
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	first := true
	pings := newPinger(conn)
	defer pings.stop()
	for {
		conn.SetReadDeadline(time.Now().Add(updateWithin))
		u, err := readUpdate(in)
		if err != nil {
			return err
		}
		before, spoken := c.state, c.state.OverridesRevision()
		err = c.take(u, first)
		if err != nil {
			return err
		}
		first = false
		if held := pings.sent(u.Ping); held.After(c.held) {
			c.held = held
		}
		said := c.state != before || c.state.OverridesRevision() != spoken
		c.show(voter, &u, said, nil)
		if said {
			c.changed(c.view.Load().Overrides)
		}
		c.keep(said) // what staff have said at once, the rest at times
	}
}

// pinger sends pings and knows when it has sent them. How old a copy is can be told by the follower's own clock alone: what a voter says of
// that may have waited in a stopped process or a cut link.
type pinger struct {
	mu    sync.Mutex
	times map[uint64]time.Time
	end   chan struct{}
}

const pingEvery = 500 * time.Millisecond

func newPinger(conn net.Conn) *pinger {
	p := &pinger{times: map[uint64]time.Time{}, end: make(chan struct{})}
	go func() {
		t := time.NewTicker(pingEvery)
		defer t.Stop()
		for n := uint64(1); ; n++ {
			p.mu.Lock()
			p.times[n] = time.Now()
			p.mu.Unlock()
			conn.SetWriteDeadline(time.Now().Add(updateWithin))
			if WriteFrame(conn, EncodePing(n)) != nil {
				return // whoever reads sees it too
			}
			select {
			case <-t.C:
			case <-p.end:
				return
			}
		}
	}()
	return p
}

func (p *pinger) stop() { close(p.end) }

// sent is when a ping was sent, and forgets those before it; zero: there is none of that number.
func (p *pinger) sent(n uint64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.times[n]
	for k := range p.times {
		if k < n {
			delete(p.times, k)
		}
	}
	return at
}

func readUpdate(in *bufio.Reader) (Update, error) {
	b, err := ReadFrame(in, MaxFrame)
	if err != nil {
		return Update{}, err
	}
	return DecodeUpdate(b)
}

// take applies an update.
func (c *Follower) take(u Update, first bool) error {
	if c.cluster != 0 && u.Cluster != c.cluster {
		return fmt.Errorf("cluster %x answers, and %x is followed: what was promised there still holds here", u.Cluster, c.cluster)
	}
	if u.State != nil {
		s, err := state.DecodeState(u.State)
		if err != nil {
			return err
		}
		if u.Index < c.index {
			return fmt.Errorf("it has come to %d, and %d is known here", u.Index, c.index)
		}
		c.state, c.cluster, c.index = s, u.Cluster, u.Index
		return nil
	}
	if first {
		return fmt.Errorf("%w: no state came first", protomsg.ErrMalformed)
	}
	for _, b := range u.Commands {
		if u.Index <= c.index {
			break // it was in the state already
		}
		e, err := state.DecodeEnvelope(b)
		if errors.Is(err, state.ErrUnknownKind) { // of a newer version: it says nothing about the words that are known here
			continue
		} else if err != nil {
			return err
		}
		c.state.Apply(u.Index, e.Clock, e.Command) // a higher level only brings kinds that are passed over
	}
	c.index = max(c.index, u.Index)
	return nil
}

// show makes what there is now the view.
func (c *Follower) show(voter string, u *Update, said bool, err error) {
	before := c.view.Load()
	v := &View{
		Known: c.cluster != 0, Overrides: before.Overrides, Cluster: c.cluster, Index: c.index, Voter: voter, Leader: before.Leader, Voters: before.Voters, ReachableVoters: before.ReachableVoters,
		held: c.held,
	}
	if said {
		v.Overrides = c.state.Overrides()
	}
	if err != nil {
		v.Voter, v.Fault, v.ReachableVoters = "", fmt.Sprintf("%s: %v", voter, err), 0
	} else if u.Heartbeat {
		v.Leader, v.Voters, v.ReachableVoters = u.Leader, int(u.Voters), int(u.ReachableVoters)
		if u.State != nil {
			v.Voters, v.ReachableVoters = before.Voters, 0
		}
	}
	c.view.Store(v)
}

// file is what the file holds: cluster, index, state.
func (c *Follower) file() []byte {
	var w protomsg.Writer
	w.Uint(1, c.cluster)
	w.Uint(2, c.index)
	w.Raw(3, c.state.Encode())
	return w.Bytes()
}

func (c *Follower) load() error {
	b, err := disk.Read(c.path, MaxFrame)
	if err != nil {
		return err
	}
	var text []byte
	err = protomsg.Each(b, func(f protomsg.Field) error {
		switch f.Number {
		case 1:
			c.cluster = f.Uint
		case 2:
			c.index = f.Uint
		case 3:
			text = f.Raw
		}
		return nil
	})
	if err == nil {
		c.state, err = state.DecodeState(text)
	}
	if err != nil {
		c.state, c.cluster, c.index = state.NewState(), 0, 0
		return fmt.Errorf("%s: %w", c.path, err)
	}
	c.kept = c.index
	return nil
}

// keep writes the file if something is new, at times or now.
func (c *Follower) keep(now bool) {
	if c.path == "" || c.index == c.kept || (!now && time.Since(c.keptAt) < keepEvery) {
		return
	}
	c.keptAt = time.Now()
	err := disk.Replace(c.path, c.file())
	if err == nil {
		c.kept = c.index
		if c.why != "" {
			slog.Info("the promises are kept again", "file", c.path)
			c.why = ""
		}
		return
	}
	if err.Error() != c.why { // once for each cause
		c.why = err.Error()
		slog.Warn("the promises could not be kept: a restart without voters begins with older ones", "file", c.path, "err", err)
	}
}
