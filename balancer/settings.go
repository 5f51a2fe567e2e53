package balancer

import (
	"errors"
	"fmt"
	"math"
	"reflect"
)

// ErrSettings is wrapped by every error that New returns for its settings.
var ErrSettings = errors.New("bad settings")

// bad reports a setting that is missing or out of range.
func bad(format string, args ...any) error {
	return fmt.Errorf("balancer: %w: %s", ErrSettings, fmt.Sprintf(format, args...))
}

// amount tells whether x is a finite figure that is not negative.
func amount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Validate names what is missing or out of range. New and Configure refuse the same.
func (s Settings) Validate() error {
	r := s.Rules
	for _, x := range []struct {
		name string
		ok   bool
	}{
		{"Classes", len(s.Classes) > 0},
		{"Balancers", s.Balancers >= 1},
		{"Rank", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"OverShareWorth", amount(s.OverQuotaWeightFactor)},
		{"Granularity", s.Granularity >= 0},
		{"Weights", s.Weights <= WeightLive},
		{"Reports", s.Reports <= ReportHealthChecks},
		{"Limits.MaxAttempts", s.Limits.MaxAttempts >= 1},
		{"Limits.Out", s.Limits.MaxInFlight >= 0},
		{"Limits.MaxRetry", s.Limits.MaxRetryAfter >= 0},
		{"Rules.DrainGrace", r.DrainGrace >= 0},
		{"Rules.AnswerWithin", r.AnswerSlack >= 0},
		{"Rules.TipAfter", r.OverloadWindow > 0},
		{"Rules.RampTime", r.SlowStartDuration > 0},
		{"Rules.TipMultiple", amount(r.OverloadMultiple) && r.OverloadMultiple > 0},
		{"Rules.ColdFrom", r.SlowStartFloor > 0 && r.SlowStartFloor <= 1},
		{"Rules.AskWithin", r.PollInterval > 0 || (r.PollInterval == 0 && !s.PollDiscovery)},
	} {
		if !x.ok {
			return bad("%s is missing or out of range", x.name)
		}
	}
	names := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case names[c.Name]:
			return bad("class %q is set twice", c.Name)
		case !amount(c.PriorityWeight) || !amount(c.LateWeightFactor):
			return bad("class %q: Worth and LateWorth must be finite and not negative", c.Name)
		case c.LatencyObjective <= 0:
			return bad("class %q: Aim must be over zero", c.Name)
		case c.Deadline < c.LatencyObjective:
			return bad("class %q: Deadline is before Aim", c.Name)
		case c.Idempotency > NonIdempotent:
			return bad("class %q: Repeat is of no known kind", c.Name)
		case c.Idempotency == IdempotentWithKey && c.KeyScope > KeyScopeCell:
			return bad("class %q: Group is of no known kind", c.Name)
		case c.Idempotency == IdempotentWithKey && c.DeduplicationWindow <= 0:
			return bad("class %q: Memory must be over zero", c.Name)
		}
		names[c.Name] = true
	}
	if s.Tenants != nil {
		return s.Tenants.err
	}
	return nil
}

// What owners tell while running is not refused but cleaned, so that no figure poisons a mean.

// clean returns l without the values that are negative or not finite.
func (l Load) clean() Load {
	for i, x := range []*float64{&l.Util, &l.Inflight, &l.Queue, &l.Service, &l.Rate, &l.Errors} {
		if !amount(*x) || *x > math.MaxInt32 {
			*x, l.Fields = 0, l.Fields&^(1<<i)
		}
	}
	return l
}

// clean returns o with a latency over zero and a clean load.
func (o AttemptResult) clean() AttemptResult {
	o.Latency, o.Load = max(o.Latency, 1), o.Load.clean()
	return o
}

// clean returns u with a weight that can be set against others: 1 if it is not finite or not over zero.
func (u Upstream) clean() Upstream {
	if !amount(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}

// Equal reports whether two settings say the same. Tables of tenants are compared by what they do not share.
func (s Settings) Equal(o Settings) bool {
	if !s.Tenants.Equal(o.Tenants) {
		return false
	}
	s.Tenants, o.Tenants = nil, nil
	return reflect.DeepEqual(s, o)
}
