package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// healthTimeout bounds one health check.
const healthTimeout = 5 * time.Second

// handOverDrain drains an old process and lets a new one take over, which must be drained too until it is told
// otherwise.
func handOverDrain(ctx context.Context, folder string, versions direction) error {
	group := startUpstreams()
	defer group.close()
	site, err := newBalancerSite(folder, group.discovery.Listener.Addr().String())
	if err != nil {
		return err
	}
	old, err := site.start(ctx, versions.old)
	if err != nil {
		return err
	}
	defer func() { _ = old.stop() }() // its error is looked at below
	if err := site.expectHealth(ctx, http.StatusOK); err != nil {
		return fmt.Errorf("before the drain: %w", err)
	}
	if err := old.command(ctx, "standby"); err != nil {
		return err
	}
	next, err := site.start(ctx, versions.next)
	if err != nil {
		return err
	}
	defer func() { _ = next.stop() }() // as above
	if err := old.stop(); err != nil {
		return err
	}
	if err := site.expectHealth(ctx, http.StatusServiceUnavailable); err != nil {
		return fmt.Errorf("after the hot restart: %w", err)
	}
	if err := next.command(ctx, "active"); err != nil {
		return err
	}
	if err := site.expectHealth(ctx, http.StatusOK); err != nil {
		return fmt.Errorf("after the drain: %w", err)
	}
	return next.stop()
}

// expectHealth makes a health check on a new connection and compares its answer.
func (s *balancerSite) expectHealth(ctx context.Context, wanted int) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.listen+"/healthz", nil)
	if err != nil {
		return fmt.Errorf("making a health check: %w", err)
	}
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("health check: %w", err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != wanted {
		return fmt.Errorf("the health check is answered %d in place of %d", answer.StatusCode, wanted)
	}
	return nil
}
