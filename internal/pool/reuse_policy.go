package pool

import (
	"time"

	"olivearch/balancer"
	"olivearch/internal/upstream"
)

const (
	// distinctiveRest is the minimum time between two requests on a connection whose last response would be recognised
	// if it came again.
	distinctiveRest = time.Millisecond
	// anonymousRest is the same for any other connection. HTTP/1.1 responses don't identify their request: a second
	// response that arrives after the next request has been written would be taken for that request's response.
	// While the connection is unused, it is known to be unsolicited.
	anonymousRest = 500 * time.Millisecond
	// refusalRest is the same after a rejection or an error. The transport concludes nothing from two of them in quick
	// succession; the rest makes such a succession rare.
	refusalRest = 100 * time.Millisecond
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
	// anonymous: a response that can't be told from others by its body.
	anonymous
	// distinctive: a response that is recognised by its body, if the bodies of the service's responses differ.
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

// mayReuse reports whether a connection may be reused after a response of a kind, however long it rests.
func (p *reusePolicy) mayReuse(last responseKind, now time.Duration) bool {
	return last != notServed || !p.expectsUnsolicited(now)
}

// restTimes holds the minimum time between two requests on a connection, by the kind of its last response.
type restTimes [distinctive + 1]time.Duration

// restTimes returns the times that apply now.
func (p *reusePolicy) restTimes(now time.Duration) restTimes {
	times := restTimes{notServed: refusalRest, anonymous: anonymousRest, distinctive: anonymousRest}
	switch {
	case p.onlyAfterUnsolicited && !p.expectsUnsolicited(now):
		times[anonymous] = 0
		times[distinctive] = 0
	case p.recognition.Distinguishes():
		times[distinctive] = distinctiveRest
	}
	return times
}
