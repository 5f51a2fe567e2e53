package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"olivearch/internal/coordination/state"
)

// set sets an override.
func (c *promisesCall) set(ctx context.Context, args []string) error {
	subject, err := parseSubject(args[0], args[1])
	if err != nil {
		return err
	}
	override := &state.SetOverride{
		Subject: subject, By: c.by, Reason: c.reason, At: time.Now().UnixMilli(), Duration: c.duration,
	}
	hasValue := len(args) == 3
	if (subject.Kind == state.OutOfService) == hasValue {
		return fmt.Errorf("%w: out takes only a target; cap and share take a number after the target", errUsage)
	}
	if hasValue {
		if override.Value, err = parseNumber(args[2]); err != nil {
			return err
		}
	}
	return c.propose(ctx, override)
}

// clear clears an override.
func (c *promisesCall) clear(ctx context.Context, args []string) error {
	subject, err := parseSubject(args[0], args[1])
	if err != nil {
		return err
	}
	return c.propose(ctx, &state.ClearOverride{Subject: subject, By: c.by})
}

// bound sets the limit of a resource, or removes the resource.
func (c *promisesCall) bound(ctx context.Context, args []string) error {
	limit, err := parseNumber(args[1])
	if err != nil {
		return err
	}
	return c.propose(ctx, &state.SetResource{Name: args[0], PerSecond: c.slots, Limit: limit})
}

// propose proposes a command and prints how many voters have stored it.
func (c *promisesCall) propose(ctx context.Context, command state.Command) error {
	response, err := c.client.Propose(ctx, command)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "held by %d of %d voters, revision %d\n",
		response.Stored, response.Voters, response.Result.Revision)
	return err
}

// parseSubject reads the kind of an override and its target.
func parseSubject(kind, target string) (subject state.Subject, err error) {
	if subject.Kind, err = state.ParseKind(kind); err == nil {
		subject.Scope, subject.Target, err = state.ParseTarget(target)
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", errUsage, err)
	}
	return subject, err
}

func parseNumber(text string) (int64, error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is not a whole number", errUsage, text)
	}
	return number, nil
}
