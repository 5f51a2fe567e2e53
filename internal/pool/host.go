package pool

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"olivearch/balancer"
)

// This file has what the module asks for, but for sends (attempt.go) and what concerns connections (conns.go).

// Reject answers a client that another try is harmless.
func (l *loop) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		if !l.settings.Limits.RetryAfter {
			retryAfter = 0
		}
		l.respond(r, Response{Status: http.StatusServiceUnavailable, RetryAfter: min(retryAfter, l.settings.Limits.MaxRetryAfter)})
	}
}

// Fail answers a client with no promise.
func (l *loop) Fail(id balancer.RequestID) {
	if r := l.requests[id]; r != nil {
		status := http.StatusBadGateway
		if l.now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		l.respond(r, Response{Status: status})
	}
}

// Cancel stops waiting for an attempt.
func (l *loop) Cancel(id balancer.RequestID, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{r.attempts[n], balancer.Cancelled})
	}
}

// SetTimer asks for a Timer event.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.timers.schedule(&timer{at: l.now() + max(after, 0), token: token})
}

// Log writes a line to the log, or drops it rather than wait.
func (l *loop) Log(text string) {
	l.logWriter.add(text)
}

// logWriter are lines on their way to the log. A goroutine writes them, while there are any.
type logWriter struct {
	mu      sync.Mutex
	lines   []string
	writing bool
}

func (g *logWriter) add(text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lines) >= maxQueuedLogLines {
		return
	}
	g.lines = append(g.lines, text)
	if !g.writing {
		g.writing = true
		go g.write()
	}
}

func (g *logWriter) write() {
	for {
		g.mu.Lock()
		lines := g.lines
		g.lines, g.writing = nil, len(lines) > 0
		g.mu.Unlock()
		if len(lines) == 0 {
			return
		}
		for _, text := range lines {
			slog.Info(text)
		}
	}
}

// WatchEndpoints begins to follow discovery, or ends it. Lists that are pushed are followed whether or not the module asks.
func (l *loop) WatchEndpoints(on bool) {
	if l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
	pushed := !l.settings.PollDiscovery
	if (on || pushed) && l.discovery != nil { // else lists are told from outside
		ctx, cancel := context.WithCancel(l.ctx)
		l.stopWatch = cancel
		go l.discovery.Watch(ctx, pushed)
	}
}

// FetchEndpoints asks discovery for the whole list.
func (l *loop) FetchEndpoints() {
	if l.discovery != nil {
		go l.discovery.Fetch()
	}
}
