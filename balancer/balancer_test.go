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

// Values that are negative, too large or not finite must not reach a running mean, since NaN or infinity would stay in
// it. A weight of zero is invalid too.
func TestInvalidValuesDoNotReachStatistics(t *testing.T) {
	invalid := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, math.MaxFloat64}
	list := fleet(len(invalid))
	for i := range list {
		list[i].Weight = invalid[i]
	}
	b, h := start(t, settings(), append(list, list[0], Upstream{ID: 99, State: Removed, Weight: 1}))
	now := time.Hour
	for i := range 400 {
		now += 20 * ms
		id := RequestID(i + 1)
		b.RequestArrived(now, Request{ID: id, Class: "read", Budget: time.Second, Cost: time.Duration(invalid[i%3+2])})
		if r := b.requests[id]; r != nil && r.inFlight > 0 {
			l := Load{
				Fields:      HasUtilisation | HasInFlight | HasQueue,
				Utilisation: invalid[i%6], InFlight: invalid[(i+1)%6], Queue: invalid[(i+2)%6],
			}
			o := AttemptResult{
				ID: id, Upstream: r.attempts[0].upstream.ID, Latency: time.Duration(i%3-1) * 30 * ms,
				Status: OK, Closed: true, Load: l,
			}
			b.AttemptFinished(now, o)
			b.AttemptFinished(now, o)
		}
		b.HealthCheckFinished(now, HealthCheckResult{Upstream: 99, Load: Load{Fields: HasUtilisation, Utilisation: 1}})
		b.HealthCheckFinished(now, HealthCheckResult{
			Upstream: 2, Load: Load{Fields: HasUtilisation, Utilisation: invalid[i%6]},
		})
		b.TimerFired(now, tickToken)
		b.TimerFired(now, 12345)
	}
	for _, u := range b.upstreams {
		for name, x := range map[string]float64{
			"mean": u.band.mean, "deviation": u.band.deviation, "weight": u.share.weight, "latency": u.latency.mean,
			"limit": u.limit.allowed, "next turn": u.nextTurn, "area": u.band.area, "factor": u.share.factor,
		} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Errorf("upstream %d: %s is %v, want it finite and not negative", u.ID, name, x)
			}
		}
	}
	if h.count("send") < 300 || h.count("timer") > 401 {
		t.Errorf("%d sends for 400 requests, want at least 300; %d timers set, want at most 401",
			h.count("send"), h.count("timer"))
	}
}

// maxFileLines and maxColumns keep each source file of the package short enough to read in one go.
const maxFileLines, maxColumns = 300, 120

// TestModuleSize checks that each source file of the package stays within maxFileLines and maxColumns, and
// that deploy/balancer.toml lists exactly these files.
func TestModuleSize(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, listed, _ := strings.Cut(string(deploy), "\npolicy = [")
	listed, _, _ = strings.Cut(listed, "]")
	unseen := map[string]bool{}
	for name := range strings.SplitSeq(listed, ",") {
		unseen[strings.Trim(name, " \"")] = true
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		if !unseen["balancer/"+name] {
			t.Errorf("%s is not listed under policy in deploy/balancer.toml", name)
		}
		delete(unseen, "balancer/"+name)
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(text, []byte("\n"))
		if len(lines)-1 > maxFileLines {
			t.Errorf("%s: %d lines, want at most %d", name, len(lines)-1, maxFileLines)
		}
		for i, line := range lines {
			if utf8.RuneCount(line) > maxColumns {
				t.Errorf("%s: line %d has %d characters, want at most %d", name, i+1, utf8.RuneCount(line), maxColumns)
			}
		}
	}
	for name := range unseen {
		t.Errorf("deploy/balancer.toml lists %s, which does not exist", name)
	}
}

// BenchmarkRequest measures the arrival of a request and the end of its attempt, with 20 upstreams.
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

// silentHost is a Host that ignores sends, rejections and timers.
type silentHost struct{ Host }

func (silentHost) Send(RequestID, UpstreamID, time.Duration) {}
func (silentHost) Reject(RequestID, time.Duration)           {}
func (silentHost) SetTimer(time.Duration, uint64)            {}

// State must not leak: after 3,000 list changes, each with a new upstream ID, and 9,000 requests, each with a new key,
// only the state of the four listed upstreams is left.
func TestStateShrinksAfterUpstreamsAndRequestsEnd(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range 3000 {
		now += 400 * ms
		list := fleet(4)
		for j := range list {
			list[j].ID = UpstreamID(i + j + 1) // each list drops the oldest upstream and adds one
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
	for name, n := range map[string]int{
		"upstreams by ID": len(b.byID), "listed upstreams": len(b.upstreams), "subset": len(b.subset.upstreams),
	} {
		if n != 4 {
			t.Errorf("%s: %d, want 4", name, n)
		}
	}
	left := len(b.requests) + len(b.queue.waiting) + len(b.quota.levels) + len(b.quota.sweepOrder)
	if left > 0 || len(b.lastLoggedAt) > 5 {
		t.Errorf("left: %d requests, %d queued, %d tenant levels, %d kinds of log line; want 0, 0, 0 and at most 5",
			len(b.requests), len(b.queue.waiting), len(b.quota.levels), len(b.lastLoggedAt))
	}
}
