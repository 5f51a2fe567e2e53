package pool

import (
	"math"
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

const (
	// distinctiveRest is the minimum time between two requests on a connection whose responses would all be recognised
	// if they came again.
	distinctiveRest = time.Millisecond
	// refusalRest is the same after a rejection or an error. The transport concludes nothing from two of them in quick
	// succession; the rest makes such a succession rare.
	refusalRest = 100 * time.Millisecond
	// neverReused is the same for any other connection. HTTP/1.1 responses don't identify their request: a second
	// response that arrives after the next request has been written, however late, would be taken for that request's
	// response.
	neverReused time.Duration = math.MaxInt64
	// unsolicitedMemory is how long the pool takes into account that an endpoint has sent unsolicited bytes.
	unsolicitedMemory = time.Minute
)

// responseKind is what can be said of the last response on a connection, should it come again.
type responseKind uint8

const (
	// noResponse: none yet.
	noResponse responseKind = iota
	// notServed: a rejection, an error or none. Taken for the response to another request, it would decide whether
	// that request is sent again.
	notServed
	// anonymous: a response on the connection, this one or an earlier one, can't be told from others by its body.
	anonymous
	// distinctive: all responses on the connection are recognised by their bodies, if those of the service differ.
	distinctive
)

// after returns the kind after an attempt or health check.
func (k responseKind) after(result *upstream.Result) responseKind {
	switch {
	case result.Status == balancer.NotSent:
		return k
	case result.Status != balancer.OK:
		return notServed
	case result.Distinctive:
		return distinctive
	default:
		return anonymous
	}
}

// reusePolicy decides whether a connection is reused, and how long it stays unused between two requests. The loop owns
// it.
type reusePolicy struct {
	onlyAfterUnsolicited bool // Spec.ReuseDelayOnlyAfterUnsolicited
	recognition          *upstream.Recognition
	unsolicitedUntil     time.Duration // end of the time in which endpoints are expected to send unsolicited bytes
}

// sawUnsolicited records that an endpoint has sent unsolicited bytes.
func (p *reusePolicy) sawUnsolicited(now time.Duration) { p.unsolicitedUntil = now + unsolicitedMemory }

// expectsUnsolicited reports whether an endpoint of the pool has recently sent unsolicited bytes.
func (p *reusePolicy) expectsUnsolicited(now time.Duration) bool { return now < p.unsolicitedUntil }

// trustsEndpoints reports whether endpoints are taken to send no second responses.
func (p *reusePolicy) trustsEndpoints(now time.Duration) bool {
	return p.onlyAfterUnsolicited && !p.expectsUnsolicited(now)
}

// mayReuse reports whether a connection may be reused after a response of a kind, now or later.
func (p *reusePolicy) mayReuse(last responseKind, now time.Duration) bool {
	switch {
	case last == notServed:
		return !p.expectsUnsolicited(now)
	case p.trustsEndpoints(now):
		return true
	case last == distinctive:
		return p.recognition.Distinguishes() || p.recognition.Learning()
	default:
		return last != anonymous
	}
}

// restTimes holds the minimum time between two requests on a connection, by the kind of its last response.
type restTimes [distinctive + 1]time.Duration

// reuseRules is how connections are reused at some time.
type reuseRules struct {
	rest restTimes
	// skipRepeated means that a second response to an earlier request on the connection is recognised. The request
	// that is sent relies on it, so it holds until its response has arrived.
	skipRepeated bool
}

// rules returns the rules that apply now.
func (p *reusePolicy) rules(now time.Duration) reuseRules {
	rules := reuseRules{skipRepeated: p.recognition.Distinguishes()}
	rules.rest[notServed] = refusalRest
	if p.trustsEndpoints(now) {
		return rules
	}
	rules.rest[anonymous] = neverReused
	rules.rest[distinctive] = neverReused
	if rules.skipRepeated {
		rules.rest[distinctive] = distinctiveRest
	}
	return rules
}
