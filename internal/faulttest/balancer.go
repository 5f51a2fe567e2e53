package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"olivearch/internal/faulttest/event"
)

// balancer is a machine with a balancer.
type balancer struct {
	*host
	index int
	zone  string
}

func (w *world) newBalancer(i int) (*balancer, error) {
	h, err := w.newHost(fmt.Sprintf("b-%d", i), i)
	if err != nil {
		return nil, err
	}
	b := &balancer{host: h, index: i, zone: w.f.Balancers.Zones[i%len(w.f.Balancers.Zones)]}
	h.command, h.healthy, h.died = b.makeReady, b.answers, func(at int64) { w.died(i, at) }
	h.excuse, h.hold = func() func() { return w.excuse(i) }, func() func() { return w.hold(i) }
	return b, nil
}

// answers tells whether the process is ready for clients.
func (b *balancer) answers() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, b.address)
	}}}
	r, err := c.Get("http://" + b.address + "/healthz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// makeReady makes ready what a process finds on its disk, and says how to start it.
func (b *balancer) makeReady(life int) (*exec.Cmd, error) {
	temporary := filepath.Join(b.folder, "tmp")
	if err := os.MkdirAll(temporary, 0o755); err != nil {
		return nil, err
	}
	if b.f.Balancers.Run == "serve" {
		return b.serving(temporary)
	}
	known := listing{Revision: 0, Complete: true, Members: []entry{}}
	switch last, ok := b.list.known(b.index); {
	case b.f.Balancers.Known == "none":
	case b.f.Balancers.Known == "first" || !ok:
		known = b.firstList[b.index]
	default:
		known = last
	}
	b.born(b.index)
	b.list.forget(b.index, known)
	b.wordsHold(b.index)
	text, err := json.Marshal(map[string]any{
		"name": b.name, "listen": b.address, "discovery": b.listService.At(b.index),
		"seed": fmt.Sprintf("%016x", uint64(b.f.Seed)<<32|uint64(b.index)<<16|uint64(life)), "known": known,
		"limits":   map[string]any{"cores": 1, "memory_mb": int64(b.f.Balancers.Memory) >> 20, "sockets": b.f.Balancers.Descriptors},
		"settings": b.settings(),
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(b.folder, "config.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	cmd := exec.Command(b.program)
	cmd.Env = append(b.environment(temporary), "RELAY_CONFIG="+path)
	if len(b.voters) > 0 {
		promises := filepath.Join(b.folder, "promises.yaml")
		if err := os.WriteFile(promises, b.promises(), 0o644); err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, "RELAY_PROMISES="+promises)
	}
	return cmd, nil
}

// promises are the keys that say where the ledger's voters are.
func (b *balancer) promises() []byte {
	text := fmt.Sprintf("copy: '%s'\nvoters:\n", filepath.Join(b.folder, "promises.kept"))
	for _, v := range b.voters {
		text += fmt.Sprintf("  %s: '%s'\n", v.name, v.service.At(b.index))
	}
	return []byte(text)
}

var repeats = map[event.Effect]string{event.Unsafe: "non_idempotent", event.Keyed: "idempotency_key", event.Safe: "read_like"}

// quotaTimes is how much more than is asked at the usual rate the one tenant has bought.
const quotaTimes = 1.3

// settings are a platform's, for the script's class and nodes.
func (b *balancer) settings() map[string]any {
	f, us := b.f, func(d time.Duration) int64 { return d.Microseconds() }
	total := 0.0
	for _, rate := range f.Rates() {
		total += rate
	}
	class := map[string]any{
		"name": "c", "target_us": us(time.Duration(f.Load.Aim)), "give_up_us": us(time.Duration(f.Load.Deadline)),
		"repeat": repeats[effects[f.Load.Repeat]], "worth": 1,
	}
	if f.Load.Repeat == "keyed" {
		class["group"], class["memory_span_us"] = "all", us(keyMemory)
	}
	return map[string]any{
		"az": b.zone, "balancers": f.Balancers.Count, "rank": b.index, "membership_mode": "on_request", "weights": "nominal", "worth_by": "work",
		"over_share_worth": 0.1, "granularity_us": 1000,
		"limits": map[string]any{
			"max_attempts": 5, "cancel": true, "connect_timeout_us": 250000, "keepalive_us": 60000000, "retry_after": true,
			"max_retry_after_us": 1000000,
		},
		"obligations": map[string]any{
			"ask_within_us": 10000000, "cold_from": f.Nodes.ColdFrom, "ramp_time_us": us(time.Duration(f.Nodes.RampTime)),
			"tip_after_us": us(time.Duration(f.Nodes.TipAfter)), "tip_multiple": f.Nodes.TipMultiple, "drain_grace_us": us(grace), "answer_slack_us": 0,
		},
		"profiles":  []any{class},
		"tenants":   []any{map[string]any{"name": "t", "quota_rps": quotaTimes * total}},
		"reporting": map[string]any{"via": "piggyback"},
	}
}
