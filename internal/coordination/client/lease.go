package client

import (
	"context"
	"errors"
	"time"

	"olivearch/internal/coordination/state"
)

// Drift is by how much two monotonic clocks may differ, as a part of the time that they measure. A holder's end of a lease comes before
// the ledger's by that. (Oscillators are good to 0.0001; a clock that is being slewed runs up to 0.0005 off.)
const Drift = 0.01

// Lease is a part of a bound that this process holds. Its end goes by this process's own monotonic clock, counted from before it was asked
// for: the ledger's clock, which began to count later and never runs ahead, comes to the end after it.
type Lease struct {
	Resource, Holder string
	Units            int64
	FencingToken     uint64    // whoever acts on the lease names it; under a lower one than was seen, nothing is to be done
	Until            time.Time // with its monotonic part
}

// Valid tells whether the lease still holds. It is asked at every use: a process may have stood still since the last.
func (l *Lease) Valid(now time.Time) bool { return l != nil && now.Before(l.Until) }

// AcquireLease asks for a lease, or renews one. Nothing is known of a lease after an error that wraps ErrUnsure: the one before stays what it
// was until its end.
func (c *Client) AcquireLease(ctx context.Context, bound, holder string, parts int64, d time.Duration, renewed *Lease) (*Lease, error) {
	command := &state.AcquireLease{Resource: bound, Holder: holder, Units: parts, Duration: d}
	if renewed != nil {
		command.FencingToken = renewed.FencingToken
	}
	asked := time.Now()
	a, err := c.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if a.Result.FencingToken == 0 {
		return nil, errors.New("a lease without a fence was given")
	}
	return &Lease{bound, holder, parts, a.Result.FencingToken, asked.Add(time.Duration(float64(d) * (1 - Drift)))}, nil
}
