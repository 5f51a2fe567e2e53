package pool

import (
	"log/slog"
	"sync"
)

// maxQueuedLogLines bounds the lines that wait to be written. Further ones are dropped.
const maxQueuedLogLines = 256

// Log writes the balancer's line to the log, or drops it rather than wait. Part of balancer.Host.
func (l *loop) Log(text string) { l.log.add(logLine{message: text}) }

// logInfo writes a line with attributes to the log, or drops it rather than wait.
func (l *loop) logInfo(message string, attributes ...any) {
	l.log.add(logLine{message: message, attributes: attributes})
}

// logLine is a line on its way to the log.
type logLine struct {
	message    string
	attributes []any // as slog.Info takes them
}

// logWriter writes lines to the log from a goroutine of its own, which runs while there are any: the log may block, the
// loop must not. Any goroutine may add lines.
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

// write writes lines until none is queued.
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

// takeQueued returns the queued lines. After none the writer has ended.
func (w *logWriter) takeQueued() []logLine {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.queued
	w.queued = nil
	w.writing = len(lines) > 0
	return lines
}
