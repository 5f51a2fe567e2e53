package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
)

// Propose proposes a command and waits until it is committed and applied. The response tells how many voters have
// stored it on their disks. The error wraps ErrRejected, ErrNotAttempted or ErrUncertain. A command whose outcome is
// uncertain is not proposed again, as it could take effect twice or undo a later command.
func (c *Client) Propose(ctx context.Context, command state.Command) (Response, error) {
	if err := command.Check(); err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return c.callAny(ctx, Request{Operation: OpPropose, Command: state.Encode(command)})
}

// Read returns the state by a linearizable read, so it includes all that was committed before the call. The error wraps
// ErrNotAttempted if no quorum answers, and ErrUncertain if the context ends while a server has the request.
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

// ReadLocal returns one server's copy of the state, however old. Response.Age bounds the time since a quorum
// confirmed it. The error wraps ErrNotAttempted or ErrUncertain.
func (c *Client) ReadLocal(ctx context.Context, server string) (*state.State, Response, error) {
	sentAt := time.Now()
	response, err := c.Call(ctx, server, Request{Operation: OpReadLocal})
	response.Age += time.Since(sentAt) // the server measured the age after sentAt
	if err != nil {
		return nil, response, err
	}
	if response.Outcome != OutcomeDone {
		return nil, response, fmt.Errorf("%w: %s", ErrNotAttempted, response.Message)
	}
	decoded, err := state.DecodeState(response.Body)
	return decoded, response, err
}

// DeclareLost records that a server's machine is lost for good, so that a server of the same name with an empty folder
// may replace it without waiting. The error wraps ErrRejected, ErrNotAttempted or ErrUncertain.
func (c *Client) DeclareLost(ctx context.Context, server string) error {
	_, err := c.callAny(ctx, Request{Operation: OpDeclareLost, Name: server})
	return err
}
