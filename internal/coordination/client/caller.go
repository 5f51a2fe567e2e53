package client

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"olivearch/internal/coordination/state"
)

// ErrUnsure is wrapped by errors of calls of which nobody can say whether they were carried out, or will be.
var ErrUnsure = errors.New("it may be held, or may yet be")

// ErrNobody is wrapped by errors of calls that were certainly not carried out: no voter could.
var ErrNobody = errors.New("no voter could take it")

// ErrRefused is wrapped by errors of calls that the ledger's rules refuse.
var ErrRefused = errors.New("refused")

// pause is between two rounds over all voters.
const pause = 25 * time.Millisecond

// Client asks voters. Its methods may be called from many goroutines, and each returns by its context's end.
type Client struct {
	name   string
	voters map[string]string // name -> address
	mu     sync.Mutex
	conns  map[string]*conn
	hint   string // the voter that led when it was last asked
	failed map[string]time.Time
	closed bool
}

// New returns a caller of the voters, by name and address; its own name is for their logs.
func New(name string, voters map[string]string) *Client {
	return &Client{name: name, voters: maps.Clone(voters), conns: map[string]*conn{}, failed: map[string]time.Time{}}
}

// Voters are the names that it knows.
func (c *Client) Voters() []string { return slices.Sorted(maps.Keys(c.voters)) }

// Close closes its connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, x := range c.conns {
		x.c.Close()
	}
}

// connection is one to a voter: the one that there is, or a new one.
func (c *Client) connection(ctx context.Context, voter string) (*conn, error) {
	c.mu.Lock()
	x, address := c.conns[voter], c.voters[voter]
	c.mu.Unlock()
	if x != nil && x.usable() {
		return x, nil
	}
	if address == "" {
		return nil, fmt.Errorf("no address of a voter %q is known", voter)
	}
	ctx, cancel := context.WithTimeout(ctx, c.patience(ctx))
	defer cancel()
	x, err := open(ctx, address, c.name)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.conns[voter]; old != nil && old.usable() || c.closed { // another was quicker
		x.c.Close()
		if c.closed {
			return nil, errors.New("the caller is closed")
		}
		return old, nil
	} else if old != nil {
		old.c.Close()
	}
	c.conns[voter] = x
	return x, nil
}

// patience is how long one voter's connection is waited for: others have to have their turn.
func (c *Client) patience(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return dialWithin
	}
	return max(time.Until(end)/3, time.Millisecond)
}

// Call sends a request to one voter. The error wraps ErrNobody if it reached nobody, else ErrUnsure.
func (c *Client) Call(ctx context.Context, voter string, r Request) (Response, error) {
	x, err := c.connection(ctx, voter)
	if err != nil {
		c.fails(voter)
		return Response{}, fmt.Errorf("%w: %s: %w", ErrNobody, voter, err)
	}
	if end, ok := ctx.Deadline(); ok && r.Within == 0 {
		r.Within = time.Until(end)
	}
	a, err := x.ask(ctx, r)
	switch {
	case errors.Is(err, errNotSent):
		return a, fmt.Errorf("%w: %s: %w", ErrNobody, voter, err)
	case err != nil:
		c.fails(voter)
		return a, fmt.Errorf("%w: %s: %w", ErrUnsure, voter, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failed, voter)
	if a.Leader != "" {
		c.hint = a.Leader
	}
	return a, nil
}

// avoided is for how long a voter that could not be reached, or did not answer, is asked after the others.
const avoided = 2 * time.Second

func (c *Client) fails(voter string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[voter] = time.Now()
}

// order is in which order voters are asked: the leader first, the others by chance, last those that have just failed.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.Collect(maps.Keys(c.voters))
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if i := slices.Index(names, c.hint); i > 0 {
		names[0], names[i] = names[i], names[0]
	}
	now := time.Now()
	slices.SortStableFunc(names, func(a, b string) int {
		return int(min(1, max(0, c.failed[a].Add(avoided).Sub(now)))) - int(min(1, max(0, c.failed[b].Add(avoided).Sub(now))))
	})
	return names
}

// anywhere asks one voter after the other until one can do it, or the context ends. What is not sure is not asked again.
func (c *Client) anywhere(ctx context.Context, r Request) (Response, error) {
	why := map[string]string{} // by voter, what it said last
	for {
		for _, voter := range c.order() {
			r.Within = 0
			a, err := c.Call(ctx, voter, r)
			switch {
			case errors.Is(err, ErrUnsure):
				return a, err
			case err != nil:
				if ctx.Err() == nil || why[voter] == "" { // that there was no time left says nothing of the voter
					why[voter] = strings.TrimPrefix(err.Error(), ErrNobody.Error()+": ")
				}
			case a.Outcome == OutcomeNotAttempted:
				why[voter] = voter + ": " + a.Message
			case a.Outcome == OutcomeUncertain:
				return a, fmt.Errorf("%w: %s: %s", ErrUnsure, voter, a.Message)
			case a.Outcome == OutcomeRejected:
				return a, fmt.Errorf("%w: %s", ErrRefused, a.Message)
			case a.Outcome == OutcomeDone:
				return a, nil
			default:
				return a, fmt.Errorf("%w: voter %s gives an answer of a kind that this version does not know", ErrUnsure, voter)
			}
			if ctx.Err() != nil {
				return Response{}, nobody(why)
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return Response{}, nobody(why)
		}
	}
}

// nobody joins what the voters said.
func nobody(why map[string]string) error {
	var all []string
	for _, voter := range slices.Sorted(maps.Keys(why)) {
		all = append(all, why[voter])
	}
	return fmt.Errorf("%w: %s", ErrNobody, strings.Join(all, "; "))
}

// Propose asks for a promise. A nil error says that it is held by Held of Of voters, on their disks. An error wraps ErrRefused,
// ErrNobody or ErrUnsure; what is not sure is not proposed again, as it could then hold twice or undo what came between.
func (c *Client) Propose(ctx context.Context, command state.Command) (Response, error) {
	if err := command.Check(); err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return c.anywhere(ctx, Request{Operation: OpPropose, Command: state.Encode(command)})
}

// Read returns what is held: all that was promised before the call. The error wraps ErrNobody if no quorum answers.
func (c *Client) Read(ctx context.Context) (*state.State, Response, error) {
	for {
		a, err := c.anywhere(ctx, Request{Operation: OpRead})
		if errors.Is(err, ErrUnsure) && ctx.Err() == nil { // a reading may be asked again
			continue
		}
		if err != nil {
			return nil, a, err
		}
		s, err := state.DecodeState(a.Body)
		return s, a, err
	}
}

// DeclareLost tells the ledger that the machine of a voter has gone for good, so that an empty one of its name need not wait.
func (c *Client) DeclareLost(ctx context.Context, voter string) error {
	_, err := c.anywhere(ctx, Request{Operation: OpDeclareLost, Name: voter})
	return err
}

// ReadLocal returns what one voter has, however old: Age says since when no quorum has confirmed it.
func (c *Client) ReadLocal(ctx context.Context, voter string) (*state.State, Response, error) {
	asked := time.Now()
	a, err := c.Call(ctx, voter, Request{Operation: OpReadLocal})
	a.Age += time.Since(asked) // it was told at some moment since
	if err != nil {
		return nil, a, err
	}
	if a.Outcome != OutcomeDone {
		return nil, a, fmt.Errorf("%w: %s", ErrNobody, a.Message)
	}
	s, err := state.DecodeState(a.Body)
	return s, a, err
}
