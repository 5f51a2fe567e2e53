package wire

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"olivearch/balancer"
)

// Writer gathers the actions of one reply.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Done ends the reply to a batch and writes it out.
func (w *Writer) Done(serial uint64) error {
	w.buf = append(w.buf, "ok serial="...)
	w.buf = strconv.AppendUint(w.buf, serial, 10)
	w.buf = append(w.buf, '\n')
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

// Port writes the actions of one instance. It is that instance's Host.
type Port struct {
	w    *Writer
	inst string
}

// NewPort returns the Port of an instance.
func NewPort(w *Writer, instance int) *Port {
	return &Port{w: w, inst: " balancer_id=" + strconv.Itoa(instance)}
}

var _ balancer.Host = (*Port)(nil)

func (p *Port) open(name string) {
	p.w.buf = append(p.w.buf, name...)
	p.w.buf = append(p.w.buf, p.inst...)
}

func (p *Port) end() { p.w.buf = append(p.w.buf, '\n') }

func (p *Port) num(name string, x uint64) {
	p.w.buf = append(p.w.buf, name...)
	p.w.buf = strconv.AppendUint(p.w.buf, x, 10)
}

func (p *Port) span(name string, d time.Duration) {
	if d != 0 {
		p.w.buf = append(p.w.buf, name...)
		p.w.buf = strconv.AppendInt(p.w.buf, d.Microseconds(), 10)
	}
}

func (p *Port) id(id balancer.RequestID) {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(id >> (56 - 8*i))
	}
	p.w.buf = append(p.w.buf, " id="...)
	p.w.buf = hex.AppendEncode(p.w.buf, raw[:])
}

// text writes s as one line.
func (p *Port) text(name, s string) {
	p.w.buf = append(p.w.buf, name...)
	p.w.buf = append(p.w.buf, strings.Join(strings.Fields(s), " ")...)
}

// Send writes an attempt.
func (p *Port) Send(id balancer.RequestID, up balancer.UpstreamID, timeout time.Duration) {
	p.open("submit_to")
	p.id(id)
	p.num(" upstream=", uint64(up))
	p.span(" patience_us=", timeout)
	p.end()
}

// Reject writes a refusal.
func (p *Port) Reject(id balancer.RequestID, retryAfter time.Duration) {
	p.open("bounce")
	p.id(id)
	p.span(" hold_off_us=", retryAfter)
	p.end()
}

// Fail writes a failure.
func (p *Port) Fail(id balancer.RequestID) {
	p.open("report_failure")
	p.id(id)
	p.end()
}

// Cancel writes the end of waiting for an attempt.
func (p *Port) Cancel(id balancer.RequestID, attempt int) {
	p.open("withdraw")
	p.id(id)
	p.num(" go=", uint64(attempt))
	p.end()
}

// HealthCheck writes a probe.
func (p *Port) HealthCheck(up balancer.UpstreamID) {
	p.open("ping")
	p.num(" upstream=", uint64(up))
	p.end()
}

// CloseIdle writes the closing of idle connections.
func (p *Port) CloseIdle(up balancer.UpstreamID) {
	p.open("disconnect")
	p.num(" upstream=", uint64(up))
	p.end()
}

// WatchEndpoints writes a subscription to discovery, or its end.
func (p *Port) WatchEndpoints(on bool) {
	p.open("keep_informed")
	if on {
		p.num(" active=", 1)
	} else {
		p.num(" active=", 0)
	}
	p.end()
}

// FetchEndpoints writes a call for the whole list.
func (p *Port) FetchEndpoints() {
	p.open("query_all")
	p.end()
}

// SetTimer writes a timer.
func (p *Port) SetTimer(after time.Duration, token uint64) {
	p.open("timer")
	p.num(" from_now_us=", uint64(max(after, 0).Microseconds()))
	p.num(" ctx=", token)
	p.end()
}

// Log writes a report line.
func (p *Port) Log(text string) {
	p.open("write_log")
	p.text(" note_text=", text)
	p.end()
}

// Crash writes that the decision code has failed.
func (p *Port) Crash(text string) {
	p.open("crash")
	p.text(" note_text=", text)
	p.end()
}
