package wire

import (
	"fmt"

	"olivearch/balancer"
)

// readMessage reads a message of a batch: an event on one line, or an endpoint list with the lines of its entries.
func (r *Reader) readMessage(line []byte, batch *Batch) error {
	name, err := r.fields.split(line)
	if err != nil {
		return err
	}
	if string(name) == "sheet" {
		return r.readEndpointList()
	}
	event, known := r.readEvent(string(name))
	if !known {
		return fmt.Errorf("unknown message %q", name)
	}
	event.Instance = int(r.fields.uint("balancer_id", 31, required))
	if r.fields.err != nil {
		return fmt.Errorf("%s: %w", name, r.fields.err)
	}
	batch.Events = append(batch.Events, event)
	return nil
}

// readEvent reads the fields of an event, except the number of its instance. Errors are left in r.fields.
func (r *Reader) readEvent(message string) (event Event, known bool) {
	switch message {
	case "attach":
		return r.readInstanceStarted(), true
	case "exit":
		return Event{Kind: InstanceStopped}, true
	case "endpoints":
		return r.readEndpointsUpdated(), true
	case "inbound":
		return Event{Kind: RequestArrived, Request: r.readRequest()}, true
	case "established":
		return Event{Kind: ResponseStarted, Attempt: r.readAttempt()}, true
	case "verdict":
		return r.readAttemptFinished(), true
	case "lapsed":
		return Event{Kind: ClientLeft, Request: balancer.Request{ID: r.readRequestID()}}, true
	case "elapsed":
		return Event{Kind: TimerFired, TimerToken: r.fields.uint("ctx", 63, required)}, true
	case "health":
		return Event{Kind: HealthCheckFinished, HealthCheck: r.readHealthCheck()}, true
	case "inbox":
		r.fields.uint("author", 31, required)
		return Event{Kind: MessageReceived}, true
	}
	return Event{}, false
}

func (r *Reader) readInstanceStarted() Event {
	return Event{
		Kind:     InstanceStarted,
		Seed:     r.fields.uint("random_seed", 64, required),
		Settings: r.fields.settings("params"),
	}
}

func (r *Reader) readEndpointsUpdated() Event {
	event := Event{Kind: EndpointsUpdated, ListMode: r.fields.listMode("mode")}
	if event.ListMode != balancer.ListFailed {
		event.Endpoints = r.referencedList()
	}
	return event
}

func (r *Reader) readRequestID() balancer.RequestID {
	return balancer.RequestID(r.fields.hex("id", required))
}

func (r *Reader) readRequest() balancer.Request {
	return balancer.Request{
		ID:     r.readRequestID(),
		Budget: r.fields.duration("budget_us", required),
		Class:  r.intern(r.fields.text("class", required)),
		Tenant: r.intern(r.fields.text("org", optional)),
		Key:    r.fields.hex("key", optional),
		HasKey: r.fields.has("key"),
		Retry:  r.fields.flag("retry"),
		Cost:   r.fields.duration("cost_guess_us", optional),
	}
}

// readAttempt reads the fields that ResponseStarted and AttemptFinished have in common.
func (r *Reader) readAttempt() balancer.AttemptResult {
	return balancer.AttemptResult{
		ID:       r.readRequestID(),
		Upstream: balancer.UpstreamID(r.fields.uint("upstream", 32, required)),
		Attempt:  int(r.fields.uint("go", 31, required)),
		Latency:  r.fields.duration("cost_time_us", required),
	}
}

func (r *Reader) readAttemptFinished() Event {
	attempt := r.readAttempt()
	attempt.Status = r.fields.status("disposition")
	attempt.Closed = r.fields.flag("over")
	attempt.Load = r.fields.load("metrics")
	return Event{Kind: AttemptFinished, Attempt: attempt}
}

func (r *Reader) readHealthCheck() balancer.HealthCheckResult {
	return balancer.HealthCheckResult{
		Upstream: balancer.UpstreamID(r.fields.uint("upstream", 32, required)),
		Latency:  r.fields.duration("cost_time_us", required),
		Status:   r.fields.status("disposition"),
		Load:     r.fields.load("metrics"),
	}
}

// maxPreallocatedEntries bounds the memory allocated for a list by the count in its message, which may be wrong.
const maxPreallocatedEntries = 1 << 12

// readEndpointList reads the rest of an endpoint list: its number and size, and the lines of its entries.
func (r *Reader) readEndpointList() error {
	number := r.fields.uint("bank", 31, required)
	count := r.fields.uint("items", 31, required)
	if r.fields.err == nil && number >= maxLists {
		r.fields.fail("bank", "out of range")
	}
	if r.fields.err != nil {
		return fmt.Errorf("sheet: %w", r.fields.err)
	}
	endpoints := make([]balancer.Upstream, 0, min(count, maxPreallocatedEntries))
	for range count {
		line, err := r.readLine()
		if err != nil {
			return fmt.Errorf("sheet: items=%d, but %d follow: %w", count, len(endpoints), err)
		}
		name, err := r.fields.split(line)
		if err != nil {
			return err
		}
		if string(name) != "m" {
			return fmt.Errorf("sheet: items=%d, but %d follow", count, len(endpoints))
		}
		endpoint := r.readEndpoint()
		if r.fields.err != nil {
			return fmt.Errorf("m: %w", r.fields.err)
		}
		endpoints = append(endpoints, endpoint)
	}
	r.lists[number] = endpointList{defined: true, endpoints: endpoints}
	return nil
}

func (r *Reader) readEndpoint() balancer.Upstream {
	return balancer.Upstream{
		ID:        balancer.UpstreamID(r.fields.uint("upstream", 32, required)),
		Cell:      int(r.fields.uint("block", 62, optional)),
		Zone:      r.intern(r.fields.text("region_part", optional)),
		Weight:    r.fields.float("nominal", 1),
		StartedAt: r.fields.duration("came_up_us", optional),
		State:     r.fields.state("availability"),
	}
}

// referencedList returns the list whose number is in the current message. A later list of the same number doesn't
// change it.
func (r *Reader) referencedList() []balancer.Upstream {
	number := r.fields.uint("bank", 31, required)
	if number >= maxLists || !r.lists[number].defined {
		r.fields.fail("bank", "no such list")
		return nil
	}
	return r.lists[number].endpoints
}
