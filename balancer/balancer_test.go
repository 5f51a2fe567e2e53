package balancer

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// Odd figures from owners are passed over; a mean that took one in would stay poisoned.
func TestOddFiguresPoisonNothing(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, math.MaxFloat64}
	list := fleet(len(odd))
	for i := range list {
		list[i].Weight = odd[i]
	}
	b, h := start(t, settings(), append(list, list[0], Upstream{ID: 99, State: Removed, Weight: 1}))
	now := time.Hour
	for i := range 400 {
		now += 20 * ms
		id := RequestID(i + 1)
		b.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second, Cost: time.Duration(odd[i%3+2])})
		if r := b.requests[id]; r != nil && r.inFlight > 0 {
			l := Load{Fields: HasUtil | HasInflight | HasQueue, Util: odd[i%6], Inflight: odd[(i+1)%6], Queue: odd[(i+2)%6]}
			o := AttemptResult{
				ID: id, Upstream: r.attempts[0].upstream.ID, Latency: time.Duration(i%3-1) * 30 * ms,
				Status: OK, Closed: true, Load: l,
			}
			b.AttemptFinished(now, o)
			b.AttemptFinished(now, o)
		}
		b.HealthCheckFinished(now, HealthCheckResult{Upstream: 99, Load: Load{Fields: HasUtil, Util: 1}})
		b.HealthCheckFinished(now, HealthCheckResult{Upstream: 2, Load: Load{Fields: HasUtil, Util: odd[i%6]}})
		b.TimerFired(now, tickToken)
		b.TimerFired(now, 12345)
	}
	for _, u := range b.upstreams {
		for name, x := range map[string]float64{
			"mean": u.band.mean, "dev": u.band.deviation, "weight": u.share.weight, "latency": u.latency.mean,
			"bound": u.limit.allowed, "due": u.nextTurn, "area": u.band.area, "factor": u.share.factor,
		} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Errorf("upstream %d: %s is %v", u.ID, name, x)
			}
		}
	}
	if h.count("send") < 300 || h.count("timer") > 401 {
		t.Errorf("%d sends of 400, %d timers", h.count("send"), h.count("timer"))
	}
}

// maxFileLines and maxColumns keep each file of the decisions to one job that can be read at a sitting.
const maxFileLines, maxColumns = 300, 120

// TestModuleSize holds each file of the decisions to a length and a width, and the deploy file to naming all of them.
func TestModuleSize(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, policy, _ := strings.Cut(string(deploy), "\npolicy = [")
	policy, _, _ = strings.Cut(policy, "]")
	named := map[string]bool{}
	for name := range strings.SplitSeq(policy, ",") {
		named[strings.Trim(name, " \"")] = true
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if !named["balancer/"+name] {
			t.Errorf("%s is not among the policy files of deploy/balancer.toml", name)
		}
		delete(named, "balancer/"+name)
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(text, []byte("\n"))
		if len(lines)-1 > maxFileLines {
			t.Errorf("%s: %d lines, at most %d", name, len(lines)-1, maxFileLines)
		}
		for i, line := range lines {
			if utf8.RuneCount(line) > maxColumns {
				t.Errorf("%s: line %d has %d characters, at most %d", name, i+1, utf8.RuneCount(line), maxColumns)
			}
		}
	}
	for name := range named {
		t.Errorf("deploy/balancer.toml names %s, and there is no such file", name)
	}
}

func BenchmarkRequest(b *testing.B) {
	bal, err := New(settings(), 1, 0, &silentHost{})
	if err != nil {
		b.Fatal(err)
	}
	bal.EndpointsUpdated(0, ListCached, fleet(20))
	now := time.Duration(0)
	for i := range b.N {
		now += ms
		id := RequestID(i + 1)
		bal.RequestArrived(now, Request{ID: id, Class: "write", Budget: time.Second})
		answerIfSent(bal, now, id, 50*ms)
	}
}

// silentHost carries out nothing, for the benchmark.
type silentHost struct{ Host }

func (silentHost) Send(RequestID, UpstreamID, time.Duration) {}
func (silentHost) Reject(RequestID, time.Duration)           {}
func (silentHost) SetTimer(time.Duration, uint64)            {}

// Thousands of upstreams come and go under ids that are ever new, with ever new requests and keys: what is kept returns
// to its size.
func TestStateReturnsToItsSize(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range 3000 {
		now += 400 * ms
		list := fleet(4)
		for j := range list {
			list[j].ID = UpstreamID(i + j + 1) // the first goes, a new one comes
			list[j].StartedAt = now - time.Duration(4-j)*400*ms
		}
		b.EndpointsUpdated(now, ListFull, list)
		b.TimerFired(now, tickToken)
		for k := range 3 {
			id := RequestID(3*i + k + 1)
			b.RequestArrived(now, Request{
				ID: id, Class: "write", Tenant: "none", Key: uint64(id), HasKey: true, Budget: 300 * ms,
			})
			if r := b.requests[id]; r != nil && r.inFlight == 1 {
				answerIfSent(b, now, id, 50*ms)
			}
		}
		h.lines = nil
	}
	now += time.Minute
	b.TimerFired(now, tickToken)
	b.TimerFired(now+bandPeriod, tickToken)
	for what, n := range map[string]int{
		"upstreams": len(b.byID), "their list": len(b.upstreams), "the subset": len(b.subset.upstreams),
	} {
		if n != 4 {
			t.Errorf("%s: %d, want 4", what, n)
		}
	}
	left := len(b.requests) + len(b.queue.waiting) + len(b.quota.levels) + len(b.quota.sweepOrder)
	if left > 0 || len(b.lastLoggedAt) > 5 {
		t.Errorf("left: %d requests, %d queued, %d tenants, %d kinds of log line",
			len(b.requests), len(b.queue.waiting), len(b.quota.levels), len(b.lastLoggedAt))
	}
}
