// Quotas: tenants' requests are counted against this balancer's part of them.

package balancer

import "time"

// sender counts a tenant's requests against this balancer's part of its quota. One whose level has run dry
// counts as one
// that has not sent.
type sender struct {
	name  string
	rate  float64 // that part, requests a second
	level float64
	at    time.Duration // of the level
}

// drain lowers the level to what it is by now.
func (s *sender) drain(now time.Duration) {
	s.level, s.at = max(0, s.level-s.rate*(now.Seconds()-s.at.Seconds())), now
}

// dry reports whether the level has come to nothing by now.
func (s *sender) dry(now time.Duration) bool {
	return s.level <= s.rate*(now.Seconds()-s.at.Seconds())
}

// sweptAtOnce is how many senders are looked at for each request: more than the one that it may add.
const sweptAtOnce = 2

// overQuota counts a request and reports whether its tenant is over its quota.
func (b *Balancer) overQuota(name string, now time.Duration) bool {
	s := b.senders[name]
	if s == nil {
		quota, known := b.s.Tenants.Quota(name)
		if !known {
			return false
		}
		s = &sender{name: name, rate: quota / float64(b.s.Balancers), at: now}
		b.senders[name], b.ring = s, append(b.ring, s)
	}
	s.drain(now)
	s.level++
	b.sweep(now)
	return s.level > max(s.rate, 1)
}

// sweep looks at the next few senders and lets go of those whose level has run dry.
func (b *Balancer) sweep(now time.Duration) {
	for range min(sweptAtOnce, len(b.ring)) {
		if b.hand >= len(b.ring) {
			b.hand = 0
		}
		if b.ring[b.hand].dry(now) {
			b.forget(b.hand)
		} else {
			b.hand++
		}
	}
}

// forget lets go of a sender.
func (b *Balancer) forget(at int) {
	last := len(b.ring) - 1
	delete(b.senders, b.ring[at].name)
	b.ring[at], b.ring[last] = b.ring[last], nil
	b.ring = b.ring[:last]
}

// owing reports whether some tenant's level has not run dry, so that it must not be forgotten.
func (b *Balancer) owing(now time.Duration) bool {
	for n := -1; len(b.ring) > 0 && len(b.ring) != n; { // until those at the hand are owing
		n = len(b.ring)
		b.sweep(now)
	}
	return len(b.ring) > 0
}

// requote moves to other quotas. A level that has been counted stays as it is by now, and goes on at the new rate.
func (b *Balancer) requote(s Settings, now time.Duration) {
	for i := len(b.ring) - 1; i >= 0; i-- {
		x := b.ring[i]
		quota, known := s.Tenants.Quota(x.name)
		if !known {
			b.forget(i)
		} else if rate := quota / float64(s.Balancers); rate != x.rate {
			x.drain(now)
			x.rate = rate
		}
	}
	b.fair = s.Tenants.evenPart(s.Balancers)
}
