package lbpolicy

import "time"

// Passive health as Envoy's outlier detection has it (consecutive_gateway_failure is 5): a server that fails so often in a
// row gets nothing for a time, unless all have failed. Envoy's 30 s would outlast a scene; nginx's fail_timeout is 10 s.
const (
	failsInARow = 5
	failTimeout = 10 * time.Second
)

// Outcome is how a request ended at a server.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota
	Failed           // no connection, or none kept until the answer, or no answer in time
)

// Dispatch is a plain proxy's core: a picker, a cap on what is out at each server, and one queue, first in first out, for
// what finds none (as HAProxy's backend queue with maxconn).
type Dispatch struct {
	picker  Picker
	cap     int
	names   map[string]int
	up      []bool
	out     []int
	fails   []int           // in a row
	failed  []time.Duration // when the last of these was; below zero: it is well
	waiting []uint64        // in order of arrival
}

// NewDispatch returns a Dispatch with no servers.
func NewDispatch(p Picker, most int) *Dispatch {
	return &Dispatch{picker: p, cap: most, names: map[string]int{}}
}

// List sets the servers that new requests may go to, and returns the number of each.
func (d *Dispatch) List(names []string) []int {
	clear(d.up)
	var numbers []int
	for _, name := range names {
		i, ok := d.names[name]
		if !ok {
			i = len(d.up)
			d.names[name] = i
			d.up, d.out, d.fails, d.failed = append(d.up, true), append(d.out, 0), append(d.fails, 0), append(d.failed, -1)
		}
		d.up[i] = true
		numbers = append(numbers, i)
	}
	return numbers
}

// Arrive takes a request, and returns where it goes; ok is false if it waits.
func (d *Dispatch) Arrive(now time.Duration, id uint64) (server int, ok bool) {
	if len(d.waiting) > 0 {
		d.waiting = append(d.waiting, id)
		return 0, false
	}
	if server = d.pick(now); server < 0 {
		d.waiting = append(d.waiting, id)
		return 0, false
	}
	return server, true
}

// Again picks another server for a request that never ran: its connection was refused.
func (d *Dispatch) Again(now time.Duration) (server int, ok bool) {
	server = d.pick(now)
	return server, server >= 0
}

func (d *Dispatch) pick(now time.Duration) int {
	open := func(i int) bool {
		return d.up[i] && d.out[i] < d.cap && (d.failed[i] < 0 || now-d.failed[i] >= failTimeout)
	}
	server := d.picker.Pick(now, len(d.up), open)
	if server < 0 && d.allFailed(now) {
		server = d.picker.Pick(now, len(d.up), func(i int) bool { return d.up[i] && d.out[i] < d.cap })
	}
	if server >= 0 {
		d.out[server]++
		d.picker.Sent(now, server)
	}
	return server
}

func (d *Dispatch) allFailed(now time.Duration) bool {
	for i, up := range d.up {
		if up && (d.failed[i] < 0 || now-d.failed[i] >= failTimeout) {
			return false
		}
	}
	return true
}

// Done notes the end of a request at a server.
func (d *Dispatch) Done(now time.Duration, server int, latency time.Duration, o Outcome, r Report) {
	d.out[server]--
	d.picker.Done(now, server, latency, r)
	if o != Failed {
		d.fails[server], d.failed[server] = 0, -1
	} else if d.fails[server]++; d.fails[server] >= failsInARow {
		d.failed[server] = now
	}
}

// Next returns the first that waits, if there is a server for it.
func (d *Dispatch) Next(now time.Duration) (id uint64, server int, ok bool) {
	if len(d.waiting) == 0 {
		return 0, 0, false
	}
	if server = d.pick(now); server < 0 {
		return 0, 0, false
	}
	id = d.waiting[0]
	d.waiting = d.waiting[1:]
	return id, server, true
}

// Waiting tells how many wait.
func (d *Dispatch) Waiting() int { return len(d.waiting) }

// Gone forgets a request that waits: its client's time is over.
func (d *Dispatch) Gone(id uint64) bool {
	for i, x := range d.waiting {
		if x == id {
			d.waiting = append(d.waiting[:i:i], d.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Probes returns the servers to probe now.
func (d *Dispatch) Probes(now time.Duration) []int {
	if p, ok := d.picker.(Prober); ok {
		return p.Probes(now, len(d.up), func(i int) bool { return d.up[i] })
	}
	return nil
}

// Probed takes a probe's answer.
func (d *Dispatch) Probed(now time.Duration, server, inflight int, latency time.Duration) {
	if p, ok := d.picker.(Prober); ok {
		p.Probed(now, server, inflight, latency)
	}
}
