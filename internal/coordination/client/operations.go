package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
)

// Propose has a command committed and applied. A nil error says that Stored of Voters voters have it on their disks.
// An error wraps ErrRejected, ErrNotAttempted or ErrUncertain; a command whose outcome is uncertain is not proposed
// again, as it could then take effect twice or undo what came between.
func (c *Client) Propose(ctx context.Context, command state.Command) (Response, error) {
	if err := command.Check(); err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return c.callAny(ctx, Request{Operation: OpPropose, Command: state.Encode(command)})
}

// Read returns the state by a linearizable read: it has all that was committed before the call. The error wraps
// ErrNotAttempted if no quorum answers.
func (c *Client) Read(ctx context.Context) (*state.State, Response, error) {
	for {
		response, err := c.callAny(ctx, Request{Operation: OpRead})
		if errors.Is(err, ErrUncertain) && ctx.Err() == nil { // a read is idempotent
			continue
		}
		if err != nil {
			return nil, response, err
		}
		decoded, err := state.DecodeState(response.Body)
		return decoded, response, err
	}
}

// ReadLocal returns one server's copy of the state, however old: Age is how long ago at most a quorum confirmed it. The
// error wraps ErrNotAttempted or ErrUncertain.
func (c *Client) ReadLocal(ctx context.Context, server string) (*state.State, Response, error) {
	sentAt := time.Now()
	response, err := c.Call(ctx, server, Request{Operation: OpReadLocal})
	response.Age += time.Since(sentAt) // the server measured it at some moment since
	if err != nil {
		return nil, response, err
	}
	if response.Outcome != OutcomeDone {
		return nil, response, fmt.Errorf("%w: %s", ErrNotAttempted, response.Message)
	}
	decoded, err := state.DecodeState(response.Body)
	return decoded, response, err
}

// DeclareLost records that a server's machine has gone for good, so that an empty server of that name may replace it
// without waiting. The error wraps ErrRejected, ErrNotAttempted or ErrUncertain.
func (c *Client) DeclareLost(ctx context.Context, server string) error {
	_, err := c.callAny(ctx, Request{Operation: OpDeclareLost, Name: server})
	return err
}
