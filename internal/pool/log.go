package pool

import (
	"log/slog"
	"sync"

	"olivearch/internal/loglimit"
)

// maxQueuedLogLines bounds the lines that wait to be written. Further lines are dropped.
const maxQueuedLogLines = 256

// Log queues a line of the balancer for the log, or drops it if the queue is full. It is part of balancer.Host.
func (l *loop) Log(text string) { l.log.add(logLine{message: text}) }

// logInfo queues a line with attributes for the log, or drops it if the queue is full.
func (l *loop) logInfo(message string, attributes ...any) {
	l.log.add(logLine{message: message, attributes: attributes})
}

// trace logs a line if the limit of its kind allows it.
func (l *loop) trace(limit *loglimit.Limit, message string, attributes ...any) {
	suppressed, ok := limit.Admit(l.now())
	if !ok {
		return
	}
	if suppressed > 0 {
		attributes = append(attributes, "suppressed", suppressed)
	}
	l.logInfo(message, attributes...)
}

// logLine is a line that waits to be written.
type logLine struct {
	message    string
	attributes []any // arguments of slog.Info
}

// logWriter writes lines to the log from a goroutine of its own, because writing may block and the loop must not. The
// goroutine runs only while lines are queued. Any goroutine may add lines.
type logWriter struct {
	mu      sync.Mutex
	queued  []logLine
	writing bool
}

func (w *logWriter) add(line logLine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued) >= maxQueuedLogLines {
		return
	}
	w.queued = append(w.queued, line)
	if !w.writing {
		w.writing = true
		go w.write()
	}
}

// write writes the queued lines until there are none.
func (w *logWriter) write() {
	for {
		lines := w.takeQueued()
		if len(lines) == 0 {
			return
		}
		for _, line := range lines {
			slog.Info(line.message, line.attributes...)
		}
	}
}

// takeQueued returns the queued lines. If there are none, the writing goroutine must end.
func (w *logWriter) takeQueued() []logLine {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.queued
	w.queued = nil
	w.writing = len(lines) > 0
	return lines
}
