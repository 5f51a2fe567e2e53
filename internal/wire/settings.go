package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"olivearch/balancer"
)

// params mirrors the settings object of an attach message or of a platform's configuration. Unknown keys are ignored.
type params struct {
	Zone                  string         `json:"az"`
	Balancers             int            `json:"balancers"`
	Rank                  int            `json:"rank"`
	Granularity           int64          `json:"granularity_us"`
	MembershipMode        string         `json:"membership_mode"`
	OverQuotaWeightFactor float64        `json:"over_share_worth"`
	Weights               string         `json:"weights"`
	WeightBy              string         `json:"worth_by"`
	Family                familyParams   `json:"family_info"`
	Limits                limitParams    `json:"limits"`
	Rules                 ruleParams     `json:"obligations"`
	Classes               []classParams  `json:"profiles"`
	Reporting             reportParams   `json:"reporting"`
	Tenants               []tenantParams `json:"tenants"`
}

type familyParams struct {
	WarmKeys bool `json:"warm_keys"`
}

type limitParams struct {
	Cancel         bool  `json:"cancel"`
	ConnectTimeout int64 `json:"connect_timeout_us"`
	KeepAlive      int64 `json:"keepalive_us"`
	MaxAttempts    int   `json:"max_attempts"`
	MaxRetryAfter  int64 `json:"max_retry_after_us"`
	HealthChecks   bool  `json:"probes"`
	RetryAfter     bool  `json:"retry_after"`
	Hedging        bool  `json:"second_copies"`
}

type ruleParams struct {
	AnswerSlack       int64   `json:"answer_slack_us"`
	PollInterval      int64   `json:"ask_within_us"`
	SlowStartFloor    float64 `json:"cold_from"`
	DrainGrace        int64   `json:"drain_grace_us"`
	SlowStartDuration int64   `json:"ramp_time_us"`
	OverloadWindow    int64   `json:"tip_after_us"`
	OverloadMultiple  float64 `json:"tip_multiple"`
}

type classParams struct {
	Deadline            int64   `json:"give_up_us"`
	KeyScope            string  `json:"group"`
	LateWeightFactor    float64 `json:"late_worth"`
	DeduplicationWindow int64   `json:"memory_span_us"`
	Name                string  `json:"name"`
	Idempotency         string  `json:"repeat"`
	Stream              bool    `json:"stream"`
	LatencyObjective    int64   `json:"target_us"`
	PriorityWeight      float64 `json:"worth"`
}

type reportParams struct {
	Via string `json:"via"`
}

type tenantParams struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_rps"`
}

// Values of settings that are enumerations, by their names in JSON.
var (
	idempotencies = map[string]balancer.Idempotency{
		"read_like":       balancer.Idempotent,
		"idempotency_key": balancer.IdempotentWithKey,
		"non_idempotent":  balancer.NonIdempotent,
	}
	keyScopes = map[string]balancer.KeyScope{
		"all":  balancer.KeyScopeAll,
		"zone": balancer.KeyScopeZone,
		"cell": balancer.KeyScopeCell,
	}
	weightKinds = map[string]balancer.WeightKind{
		"silent":  balancer.WeightNone,
		"nominal": balancer.WeightNominal,
		"rough":   balancer.WeightApproximate,
		"live":    balancer.WeightLive,
	}
	reportVias = map[string]balancer.ReportSource{
		"silent":    balancer.ReportNone,
		"piggyback": balancer.ReportAnswers,
		"pull":      balancer.ReportHealthChecks,
	}
	pollsByMembershipMode = map[string]bool{"pushed": false, "on_request": true}
)

// weightByWork is the value of worth_by that makes priority weight count per unit of work instead of per request.
const weightByWork = "work"

func microseconds(count int64) time.Duration { return time.Duration(count) * time.Microsecond }

// settings reads the settings object of an attach message.
func (f *fields) settings(name string) balancer.Settings {
	settings, _, err := DecodeSettings(f.text(name, required))
	if err != nil {
		f.fail(name, err.Error())
	}
	return settings
}

// ConnectionSettings holds the settings of connections to upstreams. The simulator ignores them; a platform's balancer
// applies them.
type ConnectionSettings struct {
	KeepAlive      time.Duration // an upstream closes a connection that has been idle for this time
	ConnectTimeout time.Duration // a connection attempt that takes longer fails
}

// DecodeSettings decodes the settings object of an attach message or of a platform's configuration.
func DecodeSettings(text []byte) (balancer.Settings, ConnectionSettings, error) {
	var decoded params
	if err := json.Unmarshal(text, &decoded); err != nil {
		return balancer.Settings{}, ConnectionSettings{}, fmt.Errorf("settings: %w", err)
	}
	connections := ConnectionSettings{
		KeepAlive:      microseconds(decoded.Limits.KeepAlive),
		ConnectTimeout: microseconds(decoded.Limits.ConnectTimeout),
	}
	settings, err := decoded.settings()
	return settings, connections, err
}

// settings returns the balancer's settings. An error names the key whose value is unknown.
func (p *params) settings() (balancer.Settings, error) {
	settings := balancer.Settings{
		Zone:                  p.Zone,
		Balancers:             p.Balancers,
		Rank:                  p.Rank,
		OverQuotaWeightFactor: p.OverQuotaWeightFactor,
		WeightByWork:          p.WeightBy == weightByWork,
		WarmKeys:              p.Family.WarmKeys,
		Granularity:           microseconds(p.Granularity),
		Limits:                p.Limits.limits(),
		Rules:                 p.Rules.rules(),
	}
	var ok bool
	if settings.PollDiscovery, ok = pollsByMembershipMode[p.MembershipMode]; !ok {
		return settings, fmt.Errorf("settings: membership_mode %q is unknown", p.MembershipMode)
	}
	if settings.Weights, ok = weightKinds[p.Weights]; !ok {
		return settings, fmt.Errorf("settings: weights %q is unknown", p.Weights)
	}
	if settings.Reports, ok = reportVias[p.Reporting.Via]; !ok {
		return settings, fmt.Errorf("settings: reporting.via %q is unknown", p.Reporting.Via)
	}
	for i := range p.Classes {
		class, err := p.Classes[i].class()
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	tenants := make([]balancer.Tenant, 0, len(p.Tenants))
	for _, tenant := range p.Tenants {
		tenants = append(tenants, balancer.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	settings.Tenants = balancer.NewTenants(tenants)
	return settings, nil
}

func (p *limitParams) limits() balancer.Limits {
	return balancer.Limits{
		Cancel:        p.Cancel,
		HealthChecks:  p.HealthChecks,
		Hedging:       p.Hedging,
		RetryAfter:    p.RetryAfter,
		MaxRetryAfter: microseconds(p.MaxRetryAfter),
		MaxAttempts:   p.MaxAttempts,
	}
}

func (p *ruleParams) rules() balancer.Rules {
	return balancer.Rules{
		PollInterval:      microseconds(p.PollInterval),
		SlowStartFloor:    p.SlowStartFloor,
		SlowStartDuration: microseconds(p.SlowStartDuration),
		OverloadMultiple:  p.OverloadMultiple,
		OverloadWindow:    microseconds(p.OverloadWindow),
		DrainGrace:        microseconds(p.DrainGrace),
		AnswerSlack:       microseconds(p.AnswerSlack),
	}
}

func (p *classParams) class() (balancer.Class, error) {
	class := balancer.Class{
		Name:                p.Name,
		LatencyObjective:    microseconds(p.LatencyObjective),
		Deadline:            microseconds(p.Deadline),
		DeduplicationWindow: microseconds(p.DeduplicationWindow),
		Stream:              p.Stream,
		PriorityWeight:      p.PriorityWeight,
		LateWeightFactor:    p.LateWeightFactor,
	}
	var ok bool
	if class.Idempotency, ok = idempotencies[p.Idempotency]; !ok {
		return class, fmt.Errorf("settings: profiles: repeat %q is unknown", p.Idempotency)
	}
	class.KeyScope, ok = keyScopes[p.KeyScope]
	if !ok && class.Idempotency == balancer.IdempotentWithKey {
		return class, fmt.Errorf("settings: profiles: group %q is unknown", p.KeyScope)
	}
	return class, nil
}
