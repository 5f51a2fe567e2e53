package balancer

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"
)

// flow sends requests one by one, 5 ms apart, and has each answered after 20 ms, or with an error at once where sick
// says so. It tells how many came to the first upstream, how many failed and how many were sent.
func flow(
	t *testing.T, b *Balancer, from time.Duration, first RequestID, n int, sick func(u *upstreamState) bool,
) (atFirst, failed, sent int) {
	t.Helper()
	f := flowing{b: b, sick: sick, now: from, seen: map[*attempt]bool{}}
	for i := range n {
		f.now += 5 * ms
		for len(f.due) > 0 && f.due[0].at <= f.now {
			b.AttemptFinished(f.now, f.due[0].o)
			f.due = f.due[1:]
		}
		if i%3 == 0 {
			b.TimerFired(f.now, tickToken)
		}
		b.RequestArrived(f.now, Request{ID: first + RequestID(i), Class: "write", Budget: time.Second})
		for f.answerNew(i) { // an outcome may send what is queued
		}
	}
	for _, d := range f.due {
		b.AttemptFinished(f.now+20*ms, d.o)
	}
	return f.atFirst, f.failed, f.sent
}

// flowing is the state of a flow.
type flowing struct {
	b                     *Balancer
	sick                  func(u *upstreamState) bool
	now                   time.Duration
	due                   []outcomeDue
	seen                  map[*attempt]bool
	atFirst, failed, sent int
}

// answerNew decides how the attempts end that it has not seen, and reports whether there were any.
func (f *flowing) answerNew(i int) (found bool) {
	for _, u := range f.b.upstreams {
		for _, a := range slices.Clone(u.inFlight) {
			if f.seen[a] {
				continue
			}
			f.seen[a], found = true, true
			f.answer(a, i)
		}
	}
	return found
}

// answer lets an attempt fail at once, or has it answered later.
func (f *flowing) answer(a *attempt, i int) {
	f.sent++
	if a.upstream == f.b.upstreams[0] {
		f.atFirst++
	}
	o := AttemptResult{
		ID: a.request.ID, Upstream: a.upstream.ID, Latency: 20 * ms, Status: OK, Closed: true,
		Load: Load{Fields: HasUtil, Util: 0.3 + float64(i%7)/1000},
	}
	if f.sick(a.upstream) {
		o.Status, o.Latency, o.Closed = Error, ms, false
		f.failed++
		f.b.AttemptFinished(f.now, o)
		return
	}
	f.due = append(f.due, outcomeDue{f.now + 20*ms, o})
}

// An upstream that answers every request with an error at once gets trials only, the rarer the longer it lasts, and its
// share again once it is well.
func TestErrorsTurnAnUpstreamIntoATrial(t *testing.T) {
	b, _ := start(t, settings(), fleet(5))
	none := func(*upstreamState) bool { return false }
	flow(t, b, time.Hour, 1, 1000, none)
	first := func(u *upstreamState) bool { return u == b.upstreams[0] }
	_, failed, sent := flow(t, b, time.Hour+10*time.Second, 10000, 2000, first)
	if failed == 0 || failed > 20 || sent < 1990 {
		t.Errorf("%d of %d sent failed within 10 s, want a few trials", failed, sent)
	}
	flow(t, b, time.Hour+30*time.Second, 20000, 2000, none)
	at, _, sent := flow(t, b, time.Hour+50*time.Second, 30000, 1000, none)
	if at < sent/8 {
		t.Errorf("%d of %d at it once it is well, want a fifth or so", at, sent)
	}
}

// Errors that all upstreams make are of the requests: nobody is cut, and everything is still sent.
func TestErrorsOfAllCutNobody(t *testing.T) {
	for _, n := range []int{1, 2, 5} {
		b, _ := start(t, settings(), fleet(n))
		flow(t, b, time.Hour, 1, 600, func(*upstreamState) bool { return true })
		_, _, sent := flow(t, b, time.Hour+10*time.Second, 10000, 600, func(*upstreamState) bool { return true })
		if sent < 590 {
			t.Errorf("%d upstreams: %d of 600 sent", n, sent)
		}
	}
}

// What one Balancer has learnt goes on in another, through JSON, but for an upstream that has been started since.
func TestMemory(t *testing.T) {
	list := fleet(4)
	b, _ := start(t, settings(), list)
	flow(t, b, time.Hour, 1, 2000, func(u *upstreamState) bool { return u == b.upstreams[0] })
	b.upstreams[1].limit.allowed, b.upstreams[1].share.factor = 7, 0.5
	text, err := json.Marshal(b.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var m Snapshot
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}
	now := time.Hour + 12*time.Second
	list[2].StartedAt = now - time.Second
	next, _ := start(t, settings(), nil)
	next.EndpointsUpdated(now, ListFull, list)
	next.Restore(now, m)
	second := next.upstreams[1]
	if second.limit.allowed != 7 || second.share.factor != 0.5 ||
		second.latency.mean != b.upstreams[1].latency.mean || next.latency != b.latency {
		t.Errorf("bound %v, share left %v: want what was learnt", second.limit.allowed, second.share.factor)
	}
	if !next.upstreams[0].outlier.unresponsive {
		t.Error("one that had trials only has them no more")
	}
	if u := next.upstreams[2]; !u.slowStart.warming || u.limit.allowed != next.limits.initial || u.band.readings != 0 {
		t.Errorf("one that has been started since: warming up %v, limit %v, %d readings",
			u.slowStart.warming, u.limit.allowed, u.band.readings)
	}
	_, failed, sent := flow(t, next, now, 50000, 500, func(u *upstreamState) bool { return u == next.upstreams[0] })
	if failed > 8 || sent < 490 {
		t.Errorf("%d of %d failed", failed, sent)
	}
}

// Figures from outside poison nothing, whatever they are.
func FuzzRecall(f *testing.F) {
	f.Add([]byte(`{"figures":{"lat":-1,"carry":1e300},"classes":{"write":1e999},` +
		`"upstreams":[{"id":1,"window":[1,2,3,4,5,6,7,8,9],"readings":-4}]}`))
	f.Add([]byte(`{"upstreams":[{"id":1,"readings":8,"window":[1,1],"wait":-5,"silent":true,"trial_at":9e18,` +
		`"figures":{"bound":0,"factor":90,"lat":1e18,"units":0}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var m Snapshot
		if json.Unmarshal(text, &m) != nil {
			return
		}
		b, _ := start(t, settings(), fleet(3))
		b.Restore(time.Hour, m)
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
			t.Errorf("%d requests without an answer", len(b.requests))
		}
		for _, u := range b.upstreams {
			for name, x := range u.figures() {
				if !amount(*x) {
					t.Errorf("%s is %v", name, *x)
				}
			}
		}
	})
}

// Two runs of one memory are alike: it holds no order of a map.
func TestMemoryIsTheSameTwice(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	flow(t, b, time.Hour, 1, 300, func(*upstreamState) bool { return false })
	one, _ := json.Marshal(b.Snapshot())
	two, _ := json.Marshal(b.Snapshot())
	if !reflect.DeepEqual(one, two) {
		t.Error("they differ")
	}
}
