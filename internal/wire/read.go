// Package wire speaks the text protocol between the simulator and its adapter:
// batches of events in, one reply of actions each out. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"olivearch/balancer"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	Attach Kind = iota
	Exit
	Endpoints
	Inbound
	Established
	Verdict
	Lapsed
	Elapsed
	Health
	Inbox
)

// Event is one event for one instance. Kind tells which fields are set.
type Event struct {
	Kind     Kind
	Instance int
	Seed     uint64
	Settings balancer.Settings
	Mode     balancer.ListMode
	List     []balancer.Upstream
	Request  balancer.Request
	Outcome  balancer.AttemptResult // also Established: ID, Upstream, Attempt, Latency
	Probe    balancer.HealthCheckResult
	Token    uint64
}

// Batch is what happened at one moment.
type Batch struct {
	At     time.Duration
	Serial uint64
	Events []Event
}

// banks is how many numbered lists the protocol has.
const banks = 16

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	long  []byte
	names map[string]string
	lists [banks][]balancer.Upstream
	known [banks]bool
	parts fields
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), names: map[string]string{}}
}

// Next reads a batch into b, whose events are overwritten. It returns io.EOF at the
// end of input and an error that names line and field if the input is malformed.
func (r *Reader) Next(b *Batch) error {
	line, err := r.next()
	if err != nil {
		return err
	}
	if err := r.frame(line, b); err != nil {
		return fmt.Errorf("line %d: %w", r.line, err)
	}
	for {
		line, err := r.next()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: batch %d ends without eob", r.line, b.Serial)
		}
		if err != nil {
			return err
		}
		if string(line) == "eob" {
			return nil
		}
		if err := r.event(line, b); err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
	}
}

// next returns the next line without its end. The slice holds until the next call.
func (r *Reader) next() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.long = append(r.long, line...)
		}
		line = r.long
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, fmt.Errorf("line %d: cut short", r.line+1)
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, fmt.Errorf("line %d: %w", r.line+1, err)
	}
	r.line++
	return line[:len(line)-1], nil
}

func (r *Reader) frame(line []byte, b *Batch) error {
	name, err := r.parts.split(line)
	if err != nil {
		return err
	}
	if string(name) != "frame" {
		return fmt.Errorf("message %q where frame was expected", name)
	}
	f := &r.parts
	b.At = f.span("at_time_us", true)
	b.Serial = f.uint("serial", 64, true)
	b.Events = b.Events[:0]
	return f.err
}

func (r *Reader) event(line []byte, b *Batch) error {
	name, err := r.parts.split(line)
	if err != nil {
		return err
	}
	f := &r.parts
	if string(name) == "sheet" {
		return r.sheet()
	}
	var e Event
	switch string(name) {
	case "attach":
		e.Kind, e.Seed = Attach, f.uint("random_seed", 64, true)
		e.Settings = f.settings("params")
	case "exit":
		e.Kind = Exit
	case "endpoints":
		e.Kind = Endpoints
		e.Mode = f.mode("mode")
		if e.Mode != balancer.ListFailed {
			e.List = r.list()
		}
	case "inbound":
		e.Kind = Inbound
		e.Request = balancer.Request{
			ID: balancer.RequestID(f.hex("id", true)), Budget: f.span("budget_us", true),
			Class: r.name(f.text("class", true)), Tenant: r.name(f.text("org", false)), Key: f.hex("key", false),
			HasKey: f.has("key"), Retry: f.flag("retry"), Cost: f.span("cost_guess_us", false),
		}
	case "established":
		e.Kind = Established
		e.Outcome = f.outcome()
	case "verdict":
		e.Kind = Verdict
		e.Outcome = f.outcome()
		e.Outcome.Status, e.Outcome.Closed, e.Outcome.Load = f.status("disposition"), f.flag("over"), f.load("metrics")
	case "lapsed":
		e.Kind = Lapsed
		e.Request.ID = balancer.RequestID(f.hex("id", true))
	case "elapsed":
		e.Kind, e.Token = Elapsed, f.uint("ctx", 63, true)
	case "health":
		e.Kind = Health
		e.Probe = balancer.HealthCheckResult{
			Upstream: balancer.UpstreamID(f.uint("upstream", 32, true)),
			Latency:  f.span("cost_time_us", true), Status: f.status("disposition"), Load: f.load("metrics"),
		}
	case "inbox":
		e.Kind = Inbox
		f.uint("author", 31, true)
	default:
		return fmt.Errorf("unknown message %q", name)
	}
	e.Instance = int(f.uint("balancer_id", 31, true))
	if f.err != nil {
		return fmt.Errorf("%s: %w", name, f.err)
	}
	b.Events = append(b.Events, e)
	return nil
}

// sheet reads a numbered list and its entries.
func (r *Reader) sheet() error {
	f := &r.parts
	bank, n := f.uint("bank", 31, true), f.uint("items", 31, true)
	if f.err == nil && bank >= banks {
		f.fail("bank", "out of range")
	}
	if f.err != nil {
		return fmt.Errorf("sheet: %w", f.err)
	}
	list := make([]balancer.Upstream, 0, min(n, 1<<12))
	for range n {
		line, err := r.next()
		if err != nil {
			return fmt.Errorf("sheet: items=%d, but %d follow: %w", n, len(list), err)
		}
		name, err := f.split(line)
		if err != nil {
			return err
		}
		if string(name) != "m" {
			return fmt.Errorf("sheet: items=%d, but %d follow", n, len(list))
		}
		u := balancer.Upstream{
			ID: balancer.UpstreamID(f.uint("upstream", 32, true)), Cell: int(f.uint("block", 62, false)),
			Zone: r.name(f.text("region_part", false)), Weight: f.real("nominal", 1),
			StartedAt: f.span("came_up_us", false), State: f.state("availability"),
		}
		if f.err != nil {
			return fmt.Errorf("m: %w", f.err)
		}
		list = append(list, u)
	}
	r.lists[bank], r.known[bank] = list, true
	return nil
}

func (r *Reader) list() []balancer.Upstream {
	bank := r.parts.uint("bank", 31, true)
	if bank >= banks || !r.known[bank] {
		r.parts.fail("bank", "no such list")
		return nil
	}
	return r.lists[bank]
}

// name returns b as a string, the same one each time, so that requests allocate none.
func (r *Reader) name(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	s, ok := r.names[string(b)]
	if !ok {
		s = string(b)
		r.names[s] = s
	}
	return s
}

// fields holds the name=value parts of one line; the first error stays.
type fields struct {
	parts [][2][]byte
	err   error
}

// split takes a line apart and returns the message's name.
func (f *fields) split(line []byte) ([]byte, error) {
	f.parts, f.err = f.parts[:0], nil
	name, rest, more := bytes.Cut(line, []byte{' '})
	for more {
		var part []byte
		eq := bytes.IndexByte(rest, '=')
		if eq > 0 && (string(rest[:eq]) == "params" || string(rest[:eq]) == "note_text") {
			part, more = rest, false // text runs to the end of the line
		} else {
			part, rest, more = bytes.Cut(rest, []byte{' '})
			eq = bytes.IndexByte(part, '=')
		}
		if eq <= 0 {
			return nil, fmt.Errorf("%s: part %q is not name=value", name, part)
		}
		f.parts = append(f.parts, [2][]byte{part[:eq], part[eq+1:]})
	}
	return name, nil
}

func (f *fields) fail(name, why string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", name, why)
	}
}

func (f *fields) has(name string) bool {
	for i := range f.parts {
		if string(f.parts[i][0]) == name {
			return true
		}
	}
	return false
}

func (f *fields) text(name string, need bool) []byte {
	for i := range f.parts {
		if string(f.parts[i][0]) == name {
			return f.parts[i][1]
		}
	}
	if need {
		f.fail(name, "missing")
	}
	return nil
}

func (f *fields) uint(name string, bits int, need bool) uint64 {
	v := f.text(name, need)
	if v == nil {
		return 0
	}
	x, ok := digits(v)
	if !ok || (bits < 64 && x>>bits != 0) {
		f.fail(name, fmt.Sprintf("%q is not a number in range", v))
	}
	return x
}

func digits(v []byte) (uint64, bool) {
	if len(v) == 0 || len(v) > 20 {
		return 0, false
	}
	if len(v) > 18 {
		x, err := strconv.ParseUint(string(v), 10, 64)
		return x, err == nil
	}
	var x uint64
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, false
		}
		x = x*10 + uint64(c-'0')
	}
	return x, true
}

// span reads a time in microseconds; it may be below zero.
func (f *fields) span(name string, need bool) time.Duration {
	v := f.text(name, need)
	if v == nil {
		return 0
	}
	sign := time.Duration(1)
	if len(v) > 1 && v[0] == '-' {
		sign, v = -1, v[1:]
	}
	x, ok := digits(v)
	if !ok || x > math.MaxInt64/uint64(time.Microsecond) {
		f.fail(name, fmt.Sprintf("%q is not a time", v))
		return 0
	}
	return sign * time.Duration(x) * time.Microsecond
}

func (f *fields) hex(name string, need bool) uint64 {
	v := f.text(name, need)
	if v == nil {
		return 0
	}
	var x uint64
	ok := len(v) == 16
	for _, c := range v {
		switch {
		case '0' <= c && c <= '9':
			x = x<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			x = x<<4 | uint64(c-'a'+10)
		default:
			ok = false
		}
	}
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not 16 hex digits", v))
	}
	return x
}

func (f *fields) flag(name string) bool {
	v := f.text(name, false)
	if v != nil && string(v) != "1" && string(v) != "0" {
		f.fail(name, fmt.Sprintf("%q is not 1 or 0", v))
	}
	return string(v) == "1"
}

func (f *fields) real(name string, absent float64) float64 {
	v := f.text(name, false)
	if v == nil {
		return absent
	}
	return f.number(name, v)
}

func (f *fields) number(name string, v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(name, fmt.Sprintf("%q is not a number", v))
	}
	return x
}

func (f *fields) outcome() balancer.AttemptResult {
	return balancer.AttemptResult{
		ID: balancer.RequestID(f.hex("id", true)), Upstream: balancer.UpstreamID(f.uint("upstream", 32, true)),
		Attempt: int(f.uint("go", 31, true)), Latency: f.span("cost_time_us", true),
	}
}

func (f *fields) mode(name string) balancer.ListMode {
	switch string(f.text(name, true)) {
	case "D":
		return balancer.ListDelta
	case "F":
		return balancer.ListFull
	case "C":
		return balancer.ListCached
	case "X":
		return balancer.ListFailed
	}
	f.fail(name, "unknown list mode")
	return 0
}

func (f *fields) state(name string) balancer.State {
	switch string(f.text(name, true)) {
	case "active":
		return balancer.Active
	case "leaving":
		return balancer.Draining
	case "left":
		return balancer.Removed
	}
	f.fail(name, "unknown state")
	return 0
}

func (f *fields) status(name string) balancer.Status {
	switch x := f.uint(name, 31, true); x {
	case 0:
		return balancer.OK
	case 255:
		return balancer.Error
	case 254:
		return balancer.Rejected
	case 253:
		return balancer.Timeout
	case 252:
		return balancer.ConnectFailed
	case 251:
		return balancer.Reset
	case 250:
		return balancer.Cancelled
	case 249:
		return balancer.NotSent
	default:
		f.fail(name, fmt.Sprintf("unknown status %d", x))
		return 0
	}
}

// load reads a report: name:value pairs. Values of other names are passed over.
func (f *fields) load(name string) balancer.Load {
	var l balancer.Load
	rest := f.text(name, false)
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte{','})
		key, v, ok := bytes.Cut(part, []byte{':'})
		if !ok {
			f.fail(name, fmt.Sprintf("%q is not name:value", part))
			return l
		}
		x := f.number(name, v)
		SetLoad(&l, string(key), x)
	}
	return l
}

// SetLoad puts one value of a load report into l, by its name in the settings or the short one that upstreams use.
// Values of other names are passed over.
func SetLoad(l *balancer.Load, name string, x float64) {
	switch name {
	case "load_share", "util":
		l.Util, l.Fields = x, l.Fields|balancer.HasUtil
	case "concurrent", "inflight":
		l.Inflight, l.Fields = x, l.Fields|balancer.HasInflight
	case "depth", "queue":
		l.Queue, l.Fields = x, l.Fields|balancer.HasQueue
	case "mean_ms", "latency_ms":
		l.Service, l.Fields = x, l.Fields|balancer.HasService
	case "tps", "qps":
		l.Rate, l.Fields = x, l.Fields|balancer.HasRate
	case "err_ps", "eps":
		l.Errors, l.Fields = x, l.Fields|balancer.HasErrors
	}
}
