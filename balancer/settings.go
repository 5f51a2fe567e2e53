package balancer

import (
	"errors"
	"fmt"
	"math"
	"reflect"
)

// ErrSettings is wrapped by every error that New, Configure and Settings.Validate return for settings.
var ErrSettings = errors.New("bad settings")

// invalidSetting returns an error, which wraps ErrSettings, for a setting that is missing or out of range.
func invalidSetting(format string, args ...any) error {
	return fmt.Errorf("balancer: %w: %s", ErrSettings, fmt.Sprintf(format, args...))
}

func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Validate returns an error that names the first setting that is missing or out of range, or nil. New and Configure
// make the same check.
func (s Settings) Validate() error {
	if err := s.validateValues(); err != nil {
		return err
	}
	named := map[string]bool{}
	for i := range s.Classes {
		listed := &s.Classes[i]
		if named[listed.Name] {
			return invalidSetting("class %q is set twice", listed.Name)
		}
		if err := listed.validate(); err != nil {
			return err
		}
		named[listed.Name] = true
	}
	return s.Tenants.Err()
}

// validateValues checks all settings but classes and tenants.
func (s *Settings) validateValues() error {
	limits, rules := &s.Limits, &s.Rules
	for _, setting := range []struct {
		name  string
		valid bool
	}{
		{"Classes", len(s.Classes) > 0},
		{"Balancers", s.Balancers >= 1},
		{"Rank", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"OverShareWorth", isFiniteNonNegative(s.OverQuotaWeightFactor)},
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
		{"Rules.TipMultiple", isFiniteNonNegative(rules.OverloadMultiple) && rules.OverloadMultiple > 0},
		{"Rules.ColdFrom", rules.SlowStartFloor > 0 && rules.SlowStartFloor <= 1},
		{"Rules.AskWithin", rules.PollInterval > 0 || (rules.PollInterval == 0 && !s.PollDiscovery)},
	} {
		if !setting.valid {
			return invalidSetting("%s is missing or out of range", setting.name)
		}
	}
	return nil
}

// validate returns an error that names the first field of the class that is out of range, or nil.
func (c *Class) validate() error {
	withKey := c.Idempotency == IdempotentWithKey
	switch {
	case !isFiniteNonNegative(c.PriorityWeight) || !isFiniteNonNegative(c.LateWeightFactor):
		return invalidSetting("class %q: Worth and LateWorth must be finite and not negative", c.Name)
	case c.LatencyObjective <= 0:
		return invalidSetting("class %q: Aim must be over zero", c.Name)
	case c.Deadline < c.LatencyObjective:
		return invalidSetting("class %q: Deadline is before Aim", c.Name)
	case c.Idempotency > NonIdempotent:
		return invalidSetting("class %q: Repeat is of no known kind", c.Name)
	case withKey && c.KeyScope > KeyScopeCell:
		return invalidSetting("class %q: Group is of no known kind", c.Name)
	case withKey && c.DeduplicationWindow <= 0:
		return invalidSetting("class %q: Memory must be over zero", c.Name)
	}
	return nil
}

// Invalid values in events are corrected instead of reported, so that none gets into a running mean.
// clean returns l without the values that are negative or not finite.
func (l Load) clean() Load {
	for i, value := range []*float64{&l.Utilisation, &l.InFlight, &l.Queue, &l.Service, &l.Rate, &l.Errors} {
		if !isFiniteNonNegative(*value) || *value > math.MaxInt32 {
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

// clean returns u with weight 1 if its weight is not finite, not over 0, or too large.
func (u Upstream) clean() Upstream {
	if !isFiniteNonNegative(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}

// Equal reports whether two settings are the same. Parts that two tables of tenants share are not compared again.
func (s Settings) Equal(other Settings) bool {
	if !s.Tenants.Equal(other.Tenants) {
		return false
	}
	s.Tenants, other.Tenants = nil, nil
	return reflect.DeepEqual(s, other)
}
