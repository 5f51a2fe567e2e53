package state

import (
	"testing"
	"time"
)

var (
	upstreamA       = Subject{OutOfService, ScopeUpstream, "a"}
	trafficShareOfA = Subject{TrafficShare, ScopeUpstream, "a"}
)

func TestOverrides(t *testing.T) {
	s := NewState()
	mustApply(t, s, &SetOverride{Subject: upstreamA, By: "eva", Reason: "disk", Duration: 3 * time.Second})
	mustApply(t, s, &SetOverride{Subject: trafficShareOfA, By: "eva", Value: 250})
	want := Override{Subject: upstreamA, By: "eva", Reason: "disk", Until: 4000, Revision: 1}
	if got, ok := s.Override(upstreamA); !ok || got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if all := s.Overrides(); len(all) != 2 {
		t.Errorf("got %+v, want two overrides", all)
	}

	// A later override, here without an end, replaces the earlier one.
	mustApply(t, s, &SetOverride{Subject: upstreamA, By: "ann"})
	mustApply(t, s, &AdvanceClock{})
	mustApply(t, s, &AdvanceClock{})
	if got, ok := s.Override(upstreamA); !ok || got.By != "ann" || got.Until != 0 {
		t.Errorf("got %+v, want the override by ann without an end", got)
	}

	mustApply(t, s, &SetOverride{Subject: upstreamA, By: "ann", Duration: 1500 * time.Millisecond})
	mustApply(t, s, &AdvanceClock{})
	if _, ok := s.Override(upstreamA); !ok {
		t.Error("the override ended early")
	}
	mustApply(t, s, &AdvanceClock{})
	if _, ok := s.Override(upstreamA); ok {
		t.Error("the override did not end")
	}

	if result := apply(t, s, &ClearOverride{Subject: upstreamA, By: "ann"}); !result.OK() {
		t.Errorf("clearing an override that has ended: %+v", result)
	}
	mustApply(t, s, &ClearOverride{Subject: trafficShareOfA, By: "ann"})
	if s.UsedBytes() != 0 || s.NextExpiry() != never {
		t.Errorf("got %d bytes used, next expiry %d; want an empty state", s.UsedBytes(), s.NextExpiry())
	}
}

func TestParseKind(t *testing.T) {
	cases := []struct {
		text string
		want OverrideKind
		err  string
	}{
		{text: "out", want: OutOfService},
		{text: "cap", want: ConcurrencyCap},
		{text: "share", want: TrafficShare},
		{text: "Out", err: `"Out" is none of out, cap and share`},
		{text: "", err: `"" is none of out, cap and share`},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			kind, err := ParseKind(test.text)
			if kind != test.want || errorText(err) != test.err {
				t.Errorf("got %v, %v; want %v, %s", kind, err, test.want, test.err)
			}
		})
	}
}

func TestParseTarget(t *testing.T) {
	cases := []struct {
		text  string
		scope Scope
		name  string
		err   string
	}{
		{text: "s-1", scope: ScopeUpstream, name: "s-1"},
		{text: "upstream/s-1", scope: ScopeUpstream, name: "s-1"},
		{text: "zone/a", scope: ScopeZone, name: "a"},
		{text: "pool/web/eu", scope: ScopePool, name: "web/eu"},
		{text: "zone/", err: `"zone/" is no target: an upstream's id, upstream/ID, zone/NAME or pool/NAME`},
		{text: "rack/a", err: `"rack/a" is no target: an upstream's id, upstream/ID, zone/NAME or pool/NAME`},
	}
	for _, test := range cases {
		t.Run(test.text, func(t *testing.T) {
			scope, name, err := ParseTarget(test.text)
			if scope != test.scope || name != test.name || errorText(err) != test.err {
				t.Errorf("got %v %q, %v; want %v %q, %s", scope, name, err, test.scope, test.name, test.err)
			}
		})
	}
}
