package client

import (
	"context"
	"time"

	"olivearch/internal/coordination/state"
)

// maxClockDrift bounds the difference between two monotonic clocks, as a fraction of the time that they measure. The
// holder of a lease shortens its duration by that fraction, so that the lease does not end for the cluster first.
// Oscillators are accurate to 0.0001, and a clock that is being slewed is off by up to 0.0005.
const maxClockDrift = 0.01

// Lease is a lease on units of a resource that this process holds. Its end is measured by the process's own monotonic
// clock, from before the request was sent. The cluster clock measures from a later moment and never runs ahead, so the
// lease ends later for the cluster.
type Lease struct {
	Resource, Holder string
	Units            int64
	FencingToken     uint64    // sent with each operation under the lease; rejected where a higher one was seen
	Until            time.Time // with a monotonic clock reading
}

// Valid reports whether the lease is still held at now. A holder checks this before each use, as its process may have
// been suspended since the last check. A nil lease is not valid.
func (l *Lease) Valid(now time.Time) bool { return l != nil && now.Before(l.Until) }

// AcquireLease acquires a lease on units of a resource. If renewed is not nil, it renews that lease. The error of a
// failed proposal wraps ErrRejected, ErrNotAttempted or ErrUncertain. After ErrUncertain the new lease may or may not
// have been granted, and renewed stays valid until its end.
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
