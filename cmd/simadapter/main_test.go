package main

import (
	"bytes"
	"strings"
	"testing"
)

const params = `{"az":"z1","balancers":1,"granularity_us":5000,"membership_mode":"pushed","weights":"nominal",` +
	`"worth_by":"request","limits":{"max_attempts":3,"cancel":true},"obligations":{"cold_from":0.3,` +
	`"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3.0},"profiles":[{"name":"c","target_us":160000,` +
	`"give_up_us":750000,"repeat":"non_idempotent","worth":1}],"reporting":{"via":"piggyback"}}`

func runAdapter(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(strings.NewReader(in), &out)
	return out.String(), err
}

func TestExchange(t *testing.T) {
	in := "frame at_time_us=1000 serial=1\neob\n" +
		"frame at_time_us=1000000 serial=2\n" +
		"sheet bank=0 items=1\nm upstream=9 availability=active\n" +
		"attach balancer_id=3 random_seed=5 params=" + params + "\n" +
		"endpoints balancer_id=3 mode=C rev=1 bank=0\n" +
		"inbound balancer_id=3 id=912855b15d3a91c4 budget_us=750000 class=c\neob\n" +
		"frame at_time_us=1040000 serial=3\n" +
		"verdict balancer_id=3 id=912855b15d3a91c4 upstream=9 go=0 cost_time_us=40000 disposition=251\neob\n" +
		"frame at_time_us=1050000 serial=4\nexit balancer_id=3\nelapsed balancer_id=3 ctx=1\neob\n"
	want := "ok serial=1\n" +
		"timer balancer_id=3 from_now_us=10000 ctx=1\nsubmit_to balancer_id=3 id=912855b15d3a91c4 upstream=9\nok serial=2\n" +
		"report_failure balancer_id=3 id=912855b15d3a91c4\nok serial=3\n" +
		"ok serial=4\n"
	got, err := runAdapter(t, in)
	if err != nil || got != want {
		t.Errorf("error %v, got\n%s", err, got)
	}
}

func TestBadSettingsAreReportedAsCrash(t *testing.T) {
	bad := strings.Replace(params, `"max_attempts":3`, `"max_attempts":0`, 1)
	got, err := runAdapter(t, "frame at_time_us=1 serial=1\nattach balancer_id=3 random_seed=5 params="+bad+"\neob\n")
	if err != nil || !strings.HasPrefix(got, "crash balancer_id=3 note_text=balancer: bad settings: Limits.MaxAttempts") {
		t.Errorf("error %v, got %q", err, got)
	}
}

// TestAttachAgainAndUnknownInstances: a second attach replaces the running instance, and events for an unknown instance
// are ignored.
func TestAttachAgainAndUnknownInstances(t *testing.T) {
	attach := "attach balancer_id=3 random_seed=5 params=" + params + "\nendpoints balancer_id=3 mode=C rev=1 bank=0\n"
	in := "frame at_time_us=1000000 serial=1\nsheet bank=0 items=1\nm upstream=9 availability=active\n" + attach +
		"inbound balancer_id=3 id=912855b15d3a91c4 budget_us=750000 class=c\neob\n" +
		"frame at_time_us=1010000 serial=2\n" + attach +
		"verdict balancer_id=3 id=912855b15d3a91c4 upstream=9 go=0 cost_time_us=1 disposition=251\n" +
		"lapsed balancer_id=8 id=912855b15d3a91c4\nhealth balancer_id=8 upstream=9 disposition=0 cost_time_us=1\neob\n"
	got, err := runAdapter(t, in)
	want := "timer balancer_id=3 from_now_us=10000 ctx=1\nsubmit_to balancer_id=3 id=912855b15d3a91c4 upstream=9\n" +
		"ok serial=1\ntimer balancer_id=3 from_now_us=10000 ctx=1\nok serial=2\n"
	if err != nil || got != want {
		t.Errorf("error %v, got\n%s", err, got)
	}
}

func TestMalformedInputStopsWithoutAReply(t *testing.T) {
	got, err := runAdapter(t, "frame at_time_us=1 serial=1\nbogus balancer_id=1\neob\n")
	if err == nil || got != "" {
		t.Errorf("error %v, got %q", err, got)
	}
}
