package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"olivearch/balancer"
)

// params mirrors the settings that the module uses; other keys are ignored.
type params struct {
	Zone        string  `json:"az"`
	Balancers   int     `json:"balancers"`
	Rank        int     `json:"rank"`
	Granularity int64   `json:"granularity_us"`
	Mode        string  `json:"membership_mode"`
	OverShare   float64 `json:"over_share_worth"`
	Weights     string  `json:"weights"`
	WorthBy     string  `json:"worth_by"`
	Family      struct {
		WarmKeys bool `json:"warm_keys"`
	} `json:"family_info"`
	Limits struct {
		Cancel         bool  `json:"cancel"`
		ConnectTimeout int64 `json:"connect_timeout_us"`
		KeepAlive      int64 `json:"keepalive_us"`
		MaxAttempts    int   `json:"max_attempts"`
		MaxRetry       int64 `json:"max_retry_after_us"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retry_after"`
		SecondCopies   bool  `json:"second_copies"`
	} `json:"limits"`
	Rules struct {
		Slack       int64   `json:"answer_slack_us"`
		AskWithin   int64   `json:"ask_within_us"`
		ColdFrom    float64 `json:"cold_from"`
		DrainGrace  int64   `json:"drain_grace_us"`
		RampTime    int64   `json:"ramp_time_us"`
		TipAfter    int64   `json:"tip_after_us"`
		TipMultiple float64 `json:"tip_multiple"`
	} `json:"obligations"`
	Classes []struct {
		GiveUp    int64   `json:"give_up_us"`
		Group     string  `json:"group"`
		LateWorth float64 `json:"late_worth"`
		Memory    int64   `json:"memory_span_us"`
		Name      string  `json:"name"`
		Repeat    string  `json:"repeat"`
		Stream    bool    `json:"stream"`
		Target    int64   `json:"target_us"`
		Worth     float64 `json:"worth"`
	} `json:"profiles"`
	Reporting struct {
		Via string `json:"via"`
	} `json:"reporting"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
}

var (
	repeats = map[string]balancer.Idempotency{
		"read_like": balancer.Idempotent, "idempotency_key": balancer.IdempotentWithKey,
		"non_idempotent": balancer.NonIdempotent,
	}
	groups = map[string]balancer.KeyScope{"all": balancer.KeyScopeAll, "zone": balancer.KeyScopeZone, "cell": balancer.KeyScopeCell}
	weigh  = map[string]balancer.WeightKind{
		"silent": balancer.WeightNone, "nominal": balancer.WeightNominal,
		"rough": balancer.WeightRough, "live": balancer.WeightLive,
	}
	vias = map[string]balancer.ReportVia{
		"silent": balancer.ReportNone, "piggyback": balancer.ReportAnswers,
		"pull": balancer.ReportHealthChecks,
	}
	asks = map[string]bool{"pushed": false, "on_request": true}
)

func us(x int64) time.Duration { return time.Duration(x) * time.Microsecond }

// settings reads the JSON of a start message.
func (f *fields) settings(name string) balancer.Settings {
	s, _, err := DecodeSettings(f.text(name, true))
	if err != nil {
		f.fail(name, err.Error())
	}
	return s
}

// Links is what the settings say of connections to upstreams. The simulator keeps it to itself; a real balancer
// has to act on it.
type Links struct {
	KeepAlive      time.Duration // an upstream closes a connection that has idled for so long
	ConnectTimeout time.Duration // a connection not up by then counts as failed
}

// DecodeSettings reads the settings object of a start message or of a real balancer's configuration.
func DecodeSettings(text []byte) (balancer.Settings, Links, error) {
	var p params
	var s balancer.Settings
	var links Links
	if err := json.Unmarshal(text, &p); err != nil {
		return s, links, fmt.Errorf("settings: %w", err)
	}
	s = balancer.Settings{
		Zone: p.Zone, Balancers: p.Balancers, Rank: p.Rank, OverQuotaWeightFactor: p.OverShare,
		WeightByWork: p.WorthBy == "work", WarmKeys: p.Family.WarmKeys, Granularity: us(p.Granularity),
		Limits: balancer.Limits{
			Cancel: p.Limits.Cancel, HealthChecks: p.Limits.Probes, Hedging: p.Limits.SecondCopies,
			RetryAfter: p.Limits.RetryAfter, MaxRetryAfter: us(p.Limits.MaxRetry), MaxAttempts: p.Limits.MaxAttempts,
		},
		Rules: balancer.Rules{
			PollInterval: us(p.Rules.AskWithin), SlowStartFloor: p.Rules.ColdFrom, SlowStartDuration: us(p.Rules.RampTime),
			OverloadMultiple: p.Rules.TipMultiple, OverloadWindow: us(p.Rules.TipAfter), DrainGrace: us(p.Rules.DrainGrace),
			AnswerSlack: us(p.Rules.Slack),
		},
	}
	links = Links{KeepAlive: us(p.Limits.KeepAlive), ConnectTimeout: us(p.Limits.ConnectTimeout)}
	var ok bool
	if s.PollDiscovery, ok = asks[p.Mode]; !ok {
		return s, links, fmt.Errorf("settings: membership_mode %q is unknown", p.Mode)
	}
	if s.Weights, ok = weigh[p.Weights]; !ok {
		return s, links, fmt.Errorf("settings: weights %q is unknown", p.Weights)
	}
	if s.Reports, ok = vias[p.Reporting.Via]; !ok {
		return s, links, fmt.Errorf("settings: reporting.via %q is unknown", p.Reporting.Via)
	}
	for _, c := range p.Classes {
		class := balancer.Class{
			Name: c.Name, LatencyObjective: us(c.Target), Deadline: us(c.GiveUp), DeduplicationWindow: us(c.Memory),
			Stream: c.Stream, PriorityWeight: c.Worth, LateWeightFactor: c.LateWorth,
		}
		if class.Idempotency, ok = repeats[c.Repeat]; !ok {
			return s, links, fmt.Errorf("settings: profiles: repeat %q is unknown", c.Repeat)
		}
		if class.KeyScope, ok = groups[c.Group]; !ok && class.Idempotency == balancer.IdempotentWithKey {
			return s, links, fmt.Errorf("settings: profiles: group %q is unknown", c.Group)
		}
		s.Classes = append(s.Classes, class)
	}
	tenants := make([]balancer.Tenant, 0, len(p.Tenants))
	for _, t := range p.Tenants {
		tenants = append(tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	s.Tenants = balancer.NewTenants(tenants)
	return s, links, nil
}
