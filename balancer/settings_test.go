package balancer

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestInvalidSettings(t *testing.T) {
	for text, invalidate := range map[string]func(*Settings){
		"Classes":               func(s *Settings) { s.Classes = nil },
		"Balancers":             func(s *Settings) { s.Balancers = 0 },
		"Limits.MaxAttempts":    func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"Rules.TipAfter":        func(s *Settings) { s.Rules.OverloadWindow = 0 },
		"Rules.RampTime":        func(s *Settings) { s.Rules.SlowStartDuration = 0 },
		"Rules.TipMultiple":     func(s *Settings) { s.Rules.OverloadMultiple = 0 },
		"Rules.ColdFrom":        func(s *Settings) { s.Rules.SlowStartFloor = 0 },
		"Rules.AskWithin":       func(s *Settings) { s.PollDiscovery, s.Rules.PollInterval = true, 0 },
		"Aim":                   func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Deadline":              func(s *Settings) { s.Classes[0].Deadline = ms },
		"Memory":                func(s *Settings) { s.Classes[1].DeduplicationWindow = 0 },
		"\"read\" is set twice": func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"Worth":                 func(s *Settings) { s.Classes[2].PriorityWeight = -1 },
		"Quota":                 func(s *Settings) { s.Tenants = s.Tenants.With([]Tenant{{"small", -1}}, nil) },
		"Rank":                  func(s *Settings) { s.Rank = s.Balancers },
		"OverShareWorth":        func(s *Settings) { s.OverQuotaWeightFactor = math.NaN() },
		"Granularity":           func(s *Settings) { s.Granularity = -1 },
		"Weights":               func(s *Settings) { s.Weights = 9 },
		"Reports":               func(s *Settings) { s.Reports = 9 },
		"Repeat":                func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Group":                 func(s *Settings) { s.Classes[1].KeyScope = 9 },
		"LateWorth":             func(s *Settings) { s.Classes[0].LateWeightFactor = math.Inf(1) },
		"\"small\" is set twice or has a Quota": func(s *Settings) {
			s.Tenants = NewTenants([]Tenant{{"big", 200}, {"small", math.NaN()}})
		},
		"\"big\" is set twice": func(s *Settings) {
			s.Tenants = NewTenants([]Tenant{{"big", 200}, {"small", 20}, {"big", 200}})
		},
	} {
		s := settings()
		invalidate(&s)
		_, err := New(s, 1, 0, &recorder{})
		if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), text) {
			t.Errorf("%s: error %v, want ErrSettings with this text", text, err)
		}
	}
	for _, f := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		s := settings()
		if s.Rules.OverloadMultiple = f; s.Validate() == nil {
			t.Errorf("Rules.TipMultiple %v is accepted", f)
		}
		s = settings()
		if s.Rules.SlowStartFloor = f; s.Validate() == nil {
			t.Errorf("Rules.ColdFrom %v is accepted", f)
		}
	}
	if _, err := New(settings(), 1, 0, nil); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), "Host") {
		t.Errorf("nil Host: error %v", err)
	}
}
