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
	if err := s.validateFigures(); err != nil {
		return err
	}
	named := map[string]bool{}
	for i := range s.Classes {
		listed := &s.Classes[i]
		if named[listed.Name] {
			return bad("class %q is set twice", listed.Name)
		}
		if err := listed.validate(); err != nil {
			return err
		}
		named[listed.Name] = true
	}
	return s.Tenants.Err()
}

// validateFigures names the first figure that is missing or out of range.
func (s *Settings) validateFigures() error {
	limits, rules := &s.Limits, &s.Rules
	for _, figure := range []struct {
		name  string
		valid bool
	}{
		{"Classes", len(s.Classes) > 0},
		{"Balancers", s.Balancers >= 1},
		{"Rank", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"OverShareWorth", amount(s.OverQuotaWeightFactor)},
		{"Granularity", s.Granularity >= 0},
		{"Weights", s.Weights <= WeightLive},
		{"Reports", s.Reports <= ReportHealthChecks},
		{"Limits.MaxAttempts", limits.MaxAttempts >= 1},
		{"Limits.Out", limits.MaxInFlight >= 0},
		{"Limits.MaxRetry", limits.MaxRetryAfter >= 0},
		{"Rules.DrainGrace", rules.DrainGrace >= 0},
		{"Rules.AnswerWithin", rules.AnswerSlack >= 0},
		{"Rules.TipAfter", rules.OverloadWindow > 0},
		{"Rules.RampTime", rules.SlowStartDuration > 0},
		{"Rules.TipMultiple", amount(rules.OverloadMultiple) && rules.OverloadMultiple > 0},
		{"Rules.ColdFrom", rules.SlowStartFloor > 0 && rules.SlowStartFloor <= 1},
		{"Rules.AskWithin", rules.PollInterval > 0 || (rules.PollInterval == 0 && !s.PollDiscovery)},
	} {
		if !figure.valid {
			return bad("%s is missing or out of range", figure.name)
		}
	}
	return nil
}

// validate names what is out of range in a class.
func (c *Class) validate() error {
	withKey := c.Idempotency == IdempotentWithKey
	switch {
	case !amount(c.PriorityWeight) || !amount(c.LateWeightFactor):
		return bad("class %q: Worth and LateWorth must be finite and not negative", c.Name)
	case c.LatencyObjective <= 0:
		return bad("class %q: Aim must be over zero", c.Name)
	case c.Deadline < c.LatencyObjective:
		return bad("class %q: Deadline is before Aim", c.Name)
	case c.Idempotency > NonIdempotent:
		return bad("class %q: Repeat is of no known kind", c.Name)
	case withKey && c.KeyScope > KeyScopeCell:
		return bad("class %q: Group is of no known kind", c.Name)
	case withKey && c.DeduplicationWindow <= 0:
		return bad("class %q: Memory must be over zero", c.Name)
	}
	return nil
}

// What owners tell while running is not refused but cleaned, so that no figure poisons a mean.

// clean returns l without the values that are negative or not finite.
func (l Load) clean() Load {
	for i, value := range []*float64{&l.Util, &l.Inflight, &l.Queue, &l.Service, &l.Rate, &l.Errors} {
		if !amount(*value) || *value > math.MaxInt32 {
			*value = 0
			l.Fields &^= 1 << i
		}
	}
	return l
}

// clean returns r with a latency over zero and a clean load.
func (r AttemptResult) clean() AttemptResult {
	r.Latency = max(r.Latency, 1)
	r.Load = r.Load.clean()
	return r
}

// clean returns u with a weight that can be set against others: 1 if it is not finite or not over zero.
func (u Upstream) clean() Upstream {
	if !amount(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}

// Equal reports whether two settings say the same. Tables of tenants are compared by what they do not share.
func (s Settings) Equal(other Settings) bool {
	if !s.Tenants.Equal(other.Tenants) {
		return false
	}
	s.Tenants, other.Tenants = nil, nil
	return reflect.DeepEqual(s, other)
}
