package checker

import (
	"strings"
	"testing"
	"time"

	"olivearch/internal/faulttest/event"
)

const msec = int64(time.Millisecond)

var rules = Rules{Grace: time.Second, Slack: 50 * time.Millisecond, Cores: 1, ColdFrom: 0.5, Ramp: 10 * time.Second, TipMultiple: 2, TipAfter: time.Second}

// What excuses a balancer, and what does not: the same records with and without it.
func TestExcuses(t *testing.T) {
	asked := Record{Kind: Asked, At: 1000 * msec, ID: 1, Balancer: 3, Limit: 500 * msec}
	got := Record{Kind: Got, At: 1010 * msec, ID: 1, Balancer: 3, Node: 2, SentBegin: 1005 * msec, SentEnd: 1006 * msec, OutUntil: 1100 * msec, Work: msec}
	ran := Record{Kind: Ran, At: 1080 * msec, ID: 1, Node: 2, Stamp: 9}
	answered := func(at int64, status int, stamp uint64) Record {
		return Record{Kind: Answered, At: at * msec, ID: 1, Status: status, Stamp: stamp}
	}
	told := func(at int64, leaves bool) Record {
		return Record{Kind: Told, At: at * msec, Balancer: 3, Node: 2, Leaves: leaves}
	}
	born := Record{Kind: Born, At: -7000 * msec, Balancer: 3}
	due := Record{Kind: Due, At: -200 * msec, Had: -6200 * msec, Balancer: -1, Node: 2, Leaves: true}
	for _, c := range []struct {
		name    string
		records []Record
		excuse  *Window
		hold    *Window
		lag     time.Duration
		want    string // a breach; "blurred"; empty: none
	}{
		{name: "served", records: []Record{asked, got, ran, answered(1100, 200, 9)}},
		{name: "answered late", records: []Record{asked, got, ran, answered(1560, 200, 9)}, want: "after its deadline"},
		{name: "late and stopped meanwhile", records: []Record{asked, got, ran, answered(1560, 200, 9)}, excuse: &Window{3, 1400 * msec, 1450 * msec}},
		{name: "late and another one stopped", records: []Record{asked, got, ran, answered(1560, 200, 9)}, excuse: &Window{4, 1400 * msec, 1450 * msec}, want: "after its deadline"},
		{name: "late by less than the ground is slow", records: []Record{asked, got, ran, answered(1560, 200, 9)}, lag: 20 * time.Millisecond, want: "blurred"},
		{name: "late by more", records: []Record{asked, got, ran, answered(1600, 200, 9)}, lag: 20 * time.Millisecond, want: "after its deadline"},
		{name: "lost", records: []Record{asked, got, ran, answered(1100, 0, 0)}, lag: time.Hour, want: "has no answer"},
		{name: "lost with its process", records: []Record{asked, got, ran, answered(1100, 0, 0)}, excuse: &Window{3, 1090 * msec, 1200 * msec}},
		{name: "lost after its process was back", records: []Record{asked, got, ran, answered(1100, 0, 0)}, excuse: &Window{3, 500 * msec, 900 * msec}, want: "has no answer"},
		{name: "crossed a close", records: []Record{asked, answered(1001, 0, 0)}},
		{name: "closed on the first request of a connection", records: []Record{asked, {Kind: Answered, At: 1001 * msec, ID: 1, Fresh: true}}, want: "has no answer"},
		{name: "a second answer", records: []Record{asked, got, ran, answered(1100, 200, 9), answered(1101, 200, 9)}, want: "second answer"},
		{name: "told long before", records: []Record{told(0, true), asked, got, ran, answered(1100, 200, 9)}},
		{name: "told too long before", records: []Record{told(-200, true), asked, got, ran, answered(1100, 200, 9)}, want: "after it was told"},
		{name: "told, and then that it is up", records: []Record{told(-200, true), told(500, false), asked, got, ran, answered(1100, 200, 9)}},
		{name: "told while it was stopped", records: []Record{told(-200, true), asked, got, ran, answered(1100, 200, 9)}, hold: &Window{3, -300 * msec, 100 * msec}},
		{name: "told while it was cut off, and meanwhile that it is up", records: []Record{told(-200, true), told(500, false), asked, got, ran, answered(1100, 200, 9)}, hold: &Window{3, -300 * msec, 2000 * msec}},
		{name: "told that it is up, and while it was cut off that it leaves", records: []Record{told(-500, false), told(-200, true), asked, got, ran, answered(1100, 200, 9)}, hold: &Window{3, -300 * msec, -100 * msec}, want: "after it was told"},
		{name: "told its predecessor", records: []Record{told(-200, true), {Kind: Born, At: 100 * msec, Balancer: 3}, asked, got, ran, answered(1100, 200, 9)}},
		{name: "due, and it had not come", records: []Record{born, due, asked, got, ran, answered(1100, 200, 9)}, want: "after it was told"},
		{name: "due to one that was born meanwhile", records: []Record{{Kind: Born, At: -6000 * msec, Balancer: 3}, due, asked, got, ran, answered(1100, 200, 9)}},
		{name: "due to one that was cut off for a part of it", records: []Record{born, due, asked, got, ran, answered(1100, 200, 9)}, hold: &Window{3, -6500 * msec, -6100 * msec}},
		{name: "due to one that was cut off before", records: []Record{born, due, asked, got, ran, answered(1100, 200, 9)}, hold: &Window{3, -6500 * msec, -6300 * msec}, want: "after it was told"},
		{name: "sent after its client had gone", records: []Record{asked, {Kind: Answered, At: 1001 * msec, ID: 1}, {
			Kind: Got, At: 1200 * msec, ID: 1, Balancer: 3, Node: 2,
			SentBegin: 1160 * msec, SentEnd: 1160 * msec, OutUntil: 1300 * msec,
		}}, excuse: &Window{3, 1300 * msec, 1300 * msec}, want: "after its client had gone"},
		{name: "sent as its client left", records: []Record{asked, {Kind: Answered, At: 1001 * msec, ID: 1}, {
			Kind: Got, At: 1200 * msec, ID: 1, Balancer: 3, Node: 2,
			SentBegin: 1100 * msec, SentEnd: 1100 * msec, OutUntil: 1300 * msec,
		}}, excuse: &Window{3, 1300 * msec, 1300 * msec}},
		{name: "sent after a client had gone that was cut off", records: []Record{asked, {Kind: Answered, At: 1001 * msec, ID: 1}, {
			Kind: Got, At: 1200 * msec, ID: 1, Balancer: 3, Node: 2,
			SentBegin: 1160 * msec, SentEnd: 1160 * msec, OutUntil: 1300 * msec,
		}}, excuse: &Window{3, 900 * msec, 1300 * msec}},
		{name: "from the dead", records: []Record{{Kind: Died, At: 900 * msec, Balancer: 3}, asked, got, ran, answered(1100, 200, 9)}, want: "after its process had ended"},
		{name: "sent before its death and late on its way", records: []Record{asked, {Kind: Died, At: 1009 * msec, Balancer: 3}, got, ran, answered(1100, 200, 9)}},
		{name: "turned off and sent again", records: []Record{
			asked, got,
			{Kind: TurnedOff, At: 1011 * msec, ID: 1, Node: 2},
			{Kind: Got, At: 1030 * msec, ID: 1, Balancer: 3, Node: 5, SentBegin: 1025 * msec, SentEnd: 1025 * msec, OutUntil: 1090 * msec},
			ran, answered(1100, 200, 9),
		}},
		{name: "held back by the ground until after the answer", records: []Record{
			asked, answered(1400, 504, 0),
			{Kind: Got, At: 2500 * msec, ID: 1, Balancer: 3, Node: 2, SentBegin: 1005 * msec, SentEnd: 1006 * msec, OutUntil: 1400 * msec},
		}},
		{name: "refused, and come after all", records: []Record{
			asked, answered(1400, 503, 0),
			{Kind: Got, At: 2500 * msec, ID: 1, Balancer: 3, Node: 2, SentBegin: 1005 * msec, SentEnd: 1006 * msec, OutUntil: 1400 * msec},
		}, want: "was refused"},
	} {
		j := New(rules, func(int64, int64) time.Duration { return c.lag })
		for _, r := range c.records {
			j.Add(r)
		}
		if c.excuse != nil {
			j.Excuse(*c.excuse)
		}
		if c.hold != nil {
			j.Hold(*c.hold)
		}
		v := j.Verdict(10_000 * msec)
		switch {
		case c.want == "blurred":
			if len(v.Breaches) != 0 || len(v.Blurred) != 1 {
				t.Errorf("%s: %v, blurred %v", c.name, v.Breaches, v.Blurred)
			}
		case c.want == "" && len(v.Breaches)+len(v.Blurred) > 0:
			t.Errorf("%s: %v %v", c.name, v.Breaches, v.Blurred)
		case c.want != "" && (len(v.Breaches) != 1 || !strings.Contains(v.Breaches[0].What, c.want)):
			t.Errorf("%s: %v, want %q", c.name, v.Breaches, c.want)
		}
	}
}

// The cold rule sums the work of all balancers in a window, and compares it with the node's present speed.
func TestColdWorkOfAllBalancers(t *testing.T) {
	send := func(each int64, every int64) int {
		j := New(rules, nil)
		j.Add(Record{Kind: Started, At: 0, Node: 1})
		for i := int64(1); i <= 100; i++ {
			j.Add(Record{Kind: Asked, At: i * every * msec, ID: uint64(i), Balancer: int(i % 7), Effect: event.Safe, Limit: int64(time.Hour)})
			j.Add(Record{Kind: Got, At: i * every * msec, SentBegin: i * every * msec, SentEnd: i * every * msec, ID: uint64(i), Balancer: int(i % 7), Node: 1, Work: each * msec})
		}
		return len(j.Verdict(100_000 * msec).Breaches)
	}
	if n := send(9, 10); n != 0 { // 0.9 core seconds a second; it bears one and more
		t.Errorf("under what it bears: %d", n)
	}
	if n := send(14, 10); n != 1 {
		t.Errorf("over what it bears: %d breaches, want the one", n)
	}
	if n := send(14, 130); n != 0 { // the same over more than its cold time
		t.Errorf("slowly: %d", n)
	}
}
