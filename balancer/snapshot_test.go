package balancer

import (
	"encoding/json"
	"maps"
	"math"
	"reflect"
	"testing"
	"time"
)

func TestUpstreamSnapshotIsValid(t *testing.T) {
	for _, c := range []struct {
		name     string
		snapshot UpstreamSnapshot
		valid    bool
	}{
		{"no statistics", UpstreamSnapshot{}, true},
		{"a full window", UpstreamSnapshot{Readings: 100, Window: make([]float64, 8)}, true},
		{"window too long", UpstreamSnapshot{Readings: 100, Window: make([]float64, 9)}, false},
		{"window longer than the number of readings", UpstreamSnapshot{Readings: 2, Window: make([]float64, 3)}, false},
		{"negative answers", UpstreamSnapshot{Answers: -1}, false},
		{"negative unreported answers", UpstreamSnapshot{Unreported: -1}, false},
		{"negative wait", UpstreamSnapshot{Wait: -1}, false},
	} {
		if c.snapshot.isValid() != c.valid {
			t.Errorf("%s: valid %v", c.name, !c.valid)
		}
	}
}

func TestRestoreFigures(t *testing.T) {
	figures := map[string]float64{"a": 1, "zero": 2, "nan": 3, "huge": 4, "negative": 5, "missing": 6}
	to := map[string]*float64{}
	for name, figure := range figures {
		to[name] = &figure
	}
	restoreFigures(to, map[string]float64{"a": 7, "zero": 0, "nan": math.NaN(), "huge": 1e16, "negative": -1, "other": 8})
	want := map[string]float64{"a": 7, "zero": 2, "nan": 3, "huge": 4, "negative": 5, "missing": 6}
	if got := copyFigures(to); !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	*to["a"] = math.Inf(1)
	if _, found := copyFigures(to)["a"]; found {
		t.Error("an infinite figure is copied, which JSON can't encode")
	}
}

// A Balancer takes over another's statistics through JSON, except those of an upstream that has restarted since.
func TestRestoreSnapshot(t *testing.T) {
	list := fleet(4)
	b, _ := start(t, settings(), list)
	flow(t, b, time.Hour, 1, 2000, func(u *upstreamState) bool { return u == b.upstreams[0] })
	b.upstreams[1].limit.allowed, b.upstreams[1].share.factor = 7, 0.5
	text, err := json.Marshal(b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	now := time.Hour + 12*time.Second
	list[2].StartedAt = now - time.Second
	next, _ := start(t, settings(), nil)
	next.EndpointsUpdated(now, ListFull, list)
	next.Restore(now, snapshot)
	restored := next.upstreams[1]
	if restored.limit.allowed != 7 || restored.share.factor != 0.5 ||
		restored.latency.mean != b.upstreams[1].latency.mean || next.latency != b.latency {
		t.Errorf("limit %v, share factor %v, want 7, 0.5 and the snapshot's latencies",
			restored.limit.allowed, restored.share.factor)
	}
	if !next.upstreams[0].outlier.unresponsive {
		t.Error("an ejected upstream is not ejected after Restore")
	}
	if u := next.upstreams[2]; !u.slowStart.warming || u.limit.allowed != next.limits.initial || u.band.readings != 0 {
		t.Errorf("restarted upstream: warming up %v, limit %v, %d readings; want true, the initial limit, 0",
			u.slowStart.warming, u.limit.allowed, u.band.readings)
	}
	_, failed, sent := flow(t, next, now, 50000, 500, func(u *upstreamState) bool { return u == next.upstreams[0] })
	if failed > 8 || sent < 490 {
		t.Errorf("%d of %d failed, want at most 8 of at least 490", failed, sent)
	}
}

// No value in a snapshot may make a statistic invalid or leave requests unanswered.
func FuzzRecall(f *testing.F) {
	f.Add([]byte(`{"figures":{"lat":-1,"carry":1e300},"classes":{"write":1e999},` +
		`"upstreams":[{"id":1,"window":[1,2,3,4,5,6,7,8,9],"readings":-4}]}`))
	f.Add([]byte(`{"upstreams":[{"id":1,"readings":8,"window":[1,1],"wait":-5,"silent":true,"trial_at":9e18,` +
		`"figures":{"bound":0,"factor":90,"lat":1e18,"units":0}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var snapshot Snapshot
		if json.Unmarshal(text, &snapshot) != nil {
			return
		}
		b, _ := start(t, settings(), fleet(3))
		b.Restore(time.Hour, snapshot)
		now := time.Hour
		for id := range RequestID(200) {
			now += 10 * ms
			b.TimerFired(now, tickToken)
			b.RequestArrived(now, Request{ID: id + 1, Class: "write", Budget: 500 * ms})
			if r := b.requests[id+1]; r != nil && len(r.attempts) > 0 {
				up := r.attempts[0].upstream.ID
				b.AttemptFinished(now, AttemptResult{ID: id + 1, Upstream: up, Latency: 20 * ms, Status: OK, Closed: true})
			}
		}
		if len(b.requests) > 60 {
			t.Errorf("%d open requests, want at most 60", len(b.requests))
		}
		for _, u := range b.upstreams {
			for name, x := range u.figures() {
				if !isFiniteNonNegative(*x) {
					t.Errorf("%s is %v, want it finite and not negative", name, *x)
				}
			}
		}
	})
}

// A snapshot must not depend on the iteration order of a map.
func TestSnapshotIsDeterministic(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	flow(t, b, time.Hour, 1, 300, func(*upstreamState) bool { return false })
	one, _ := json.Marshal(b.Snapshot())
	two, _ := json.Marshal(b.Snapshot())
	if !reflect.DeepEqual(one, two) {
		t.Error("two snapshots of the same state differ")
	}
}
