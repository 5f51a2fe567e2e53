package client

import (
	"context"
	"time"

	"olivearch/internal/coordination/state"
)

// maxClockDrift is by how much two monotonic clocks may differ, as a part of the time that they measure: a lease ends
// for its holder earlier than for the cluster by that part. (Oscillators are good to 0.0001; a clock that is being
// slewed runs up to 0.0005 off.)
const maxClockDrift = 0.01

// Lease is a part of a resource that this process holds. It ends by this process's own monotonic clock, counted from
// before the lease was requested: the cluster's clock, which began to count later and never runs ahead, reaches the end
// after that.
type Lease struct {
	Resource, Holder string
	Units            int64
	FencingToken     uint64    // sent with all that is done under the lease: who has seen a higher one rejects it
	Until            time.Time // with its monotonic part
}

// Valid tells whether the lease has not ended yet. A holder checks it at every use, as its process may have been
// stopped since the last one. A nil lease is not valid.
func (l *Lease) Valid(now time.Time) bool { return l != nil && now.Before(l.Until) }

// AcquireLease acquires a lease on units of a resource, or renews one. The error wraps ErrRejected, ErrNotAttempted
// or ErrUncertain; after ErrUncertain nothing is known of the new lease, and the renewed one stays what it was until
// its end.
func (c *Client) AcquireLease(
	ctx context.Context, resource, holder string, units int64, duration time.Duration, renewed *Lease,
) (*Lease, error) {
	command := &state.AcquireLease{Resource: resource, Holder: holder, Units: units, Duration: duration}
	if renewed != nil {
		command.FencingToken = renewed.FencingToken
	}
	sentAt := time.Now()
	response, err := c.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if response.Result.FencingToken == 0 {
		return nil, errNoFencingToken
	}
	return &Lease{
		Resource:     resource,
		Holder:       holder,
		Units:        units,
		FencingToken: response.Result.FencingToken,
		Until:        sentAt.Add(time.Duration(float64(duration) * (1 - maxClockDrift))),
	}, nil
}
