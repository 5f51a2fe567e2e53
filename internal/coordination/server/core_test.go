package server

import (
	"strings"
	"testing"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

const (
	testCluster = 0x63
	testSelf    = 7
)

// testMembers returns the members of the cluster of restoredCore.
func testMembers() []state.Member {
	return []state.Member{
		{ID: testSelf, Name: "k1", Address: "127.0.0.1:1"},
		{ID: 8, Name: "k2", Address: "127.0.0.1:2"},
	}
}

// emptyCore returns the core of a server that belongs to no cluster. It is not running.
func emptyCore(t *testing.T) *core {
	t.Helper()
	return openCore(t, t.TempDir())
}

// restoredCore returns the core of a server whose folder belongs to a cluster. It is not running.
func restoredCore(t *testing.T) *core {
	t.Helper()
	folder := t.TempDir()
	snapshot, err := firstSnapshot(testMembers())
	if err != nil {
		t.Fatal(err)
	}
	s, _, err := openStore(folder, "k1", func() uint64 { return testSelf })
	if err != nil {
		t.Fatal(err)
	}
	if err := s.assignCluster(testCluster, snapshot, initialHardState()); err != nil {
		t.Fatal(err)
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	return openCore(t, folder)
}

func openCore(t *testing.T, folder string) *core {
	t.Helper()
	s, loaded, err := openStore(folder, "k1", func() uint64 { return testSelf })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.close(); err != nil {
			t.Error(err)
		}
	})
	c, err := newCore(Config{Name: "k1", Folder: folder}, s, loaded)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.caller.Close)
	return c
}

// Only a ready leader serves requests itself. Any other server responds that the request was not attempted.
func TestRedirect(t *testing.T) {
	inCluster := restoredCore(t)
	stalled := restoredCore(t)
	stalled.leadership = leadership{leader: testSelf, leading: true, ready: true}
	stalled.writer.enqueue(writeJob{})
	stalled.writer.pendingSince = time.Now().Add(-2 * diskStallTimeout)
	cases := []struct {
		name       string
		core       *core
		leadership leadership
		hops       uint8
		message    string // prefix of the response; empty: served here
	}{
		{"no cluster", emptyCore(t), leadership{}, 0, "it belongs to no cluster yet: it has just started"},
		{"stalled disk", stalled, stalled.leadership, 0, "the disk of k1 has not answered for"},
		{"ready", inCluster, leadership{leader: testSelf, leading: true, ready: true}, 0, ""},
		{"just elected", inCluster, leadership{leader: testSelf, leading: true}, 0, "it has just been elected"},
		{"no leader", inCluster, leadership{}, 0, errNoLeader.Error()},
		{"already forwarded", inCluster, leadership{leader: 8}, maxForwardHops, "it does not lead"},
	}
	for _, c := range cases {
		c.core.leadership = c.leadership
		var responses []client.Response
		redirected := c.core.redirect(request{
			Request: client.Request{Hops: c.hops},
			respond: func(r client.Response) { responses = append(responses, r) },
		})
		if redirected != (c.message != "") {
			t.Errorf("%s: redirected is %v", c.name, redirected)
		}
		if c.message == "" {
			continue
		}
		if len(responses) != 1 || responses[0].Outcome != client.OutcomeNotAttempted ||
			!strings.HasPrefix(responses[0].Message, c.message) {
			t.Errorf("%s: %+v", c.name, responses)
		}
	}
}

// Clients are always served. Peers and followers are served only if they match the cluster; others get a reason.
func TestSessionRejections(t *testing.T) {
	outside, inside := emptyCore(t), restoredCore(t)
	inside.applied = 5
	peer := client.Hello{Role: client.RolePeer, Cluster: testCluster, From: 8, Name: "k2"}
	follower := client.Hello{Role: client.RoleFollower, Cluster: testCluster, Applied: 5}
	with := func(hello client.Hello, change func(*client.Hello)) client.Hello {
		change(&hello)
		return hello
	}
	cases := []struct {
		name   string
		core   *core
		hello  client.Hello
		reason string
	}{
		{"a client", outside, client.Hello{Role: client.RoleClient}, ""},
		{"a member", inside, peer, ""},
		{"a member, before the server has a cluster", outside, peer, "it belongs to no cluster yet"},
		{
			"a member of another cluster", inside,
			with(peer, func(h *client.Hello) { h.Cluster = 0x64 }),
			"this is cluster 63, not 64",
		},
		{
			"a member that was replaced", inside,
			with(peer, func(h *client.Hello) { h.From = 9 }),
			"k2 with the id 9 is no member: it was replaced, or is not one yet",
		},
		{
			"a member with another name", inside,
			with(peer, func(h *client.Hello) { h.Name = "k3" }),
			"k3 with the id 8 is no member: it was replaced, or is not one yet",
		},
		{"a follower", inside, follower, ""},
		{"a follower without a cluster", inside, with(follower, func(h *client.Hello) { h.Cluster = 0 }), ""},
		{
			"a follower, before the server has a cluster", outside, follower,
			"it belongs to no cluster yet: it has just started",
		},
		{
			"a follower of another cluster", inside,
			with(follower, func(h *client.Hello) { h.Cluster = 0x64 }),
			"this is cluster 63, not 64",
		},
		{
			"a follower with a higher applied index", inside,
			with(follower, func(h *client.Hello) { h.Applied = 6 }),
			"it has come to 5, and the follower to 6",
		},
		{"an unknown role", inside, client.Hello{Role: 99}, "there is no role 99"},
	}
	for _, c := range cases {
		opened := c.core.openSession(nil, nil, c.hello)
		if opened.welcome.RejectReason != c.reason || (opened.serve == nil) != (c.reason != "") {
			t.Errorf("%s: reject reason %q", c.name, opened.welcome.RejectReason)
		}
	}
	if len(inside.followers) != 2 || len(inside.links.outgoing) != 1 || len(outside.followers) != 0 {
		t.Error("a rejected session was added, or a served one was not")
	}
}

// A server forms an announced cluster if it is one of its members, and only once.
func TestHandleBootstrap(t *testing.T) {
	cases := []struct {
		name     string
		core     *core
		cluster  uint64
		members  []state.Member
		outcome  client.Outcome
		starting bool
	}{
		{"the server's own cluster", restoredCore(t), testCluster, testMembers(), client.OutcomeDone, false},
		{"another cluster", restoredCore(t), testCluster + 1, testMembers(), client.OutcomeRejected, false},
		{"without the server", emptyCore(t), testCluster, testMembers()[1:], client.OutcomeRejected, false},
		{"without an id", emptyCore(t), 0, testMembers(), client.OutcomeRejected, false},
		{"a new cluster", emptyCore(t), testCluster, testMembers(), client.OutcomeDone, true},
	}
	for _, c := range cases {
		var outcomes []client.Outcome
		bootstrapWith := func(cluster uint64) {
			c.core.handleBootstrap(request{
				Request: client.Request{Cluster: cluster, Members: c.members},
				respond: func(r client.Response) { outcomes = append(outcomes, r.Outcome) },
			})
		}
		bootstrapWith(c.cluster)
		if len(outcomes) != 1 || outcomes[0] != c.outcome || c.core.bootstrap.inProgress != c.starting {
			t.Errorf("%s: outcomes %v", c.name, outcomes)
		}
		if !c.starting {
			continue
		}
		bootstrapWith(c.cluster)
		if outcomes[1] != client.OutcomeRejected || len(c.core.writer.queue) != 1 {
			t.Errorf("%s was formed twice: outcomes %v", c.name, outcomes)
		}
	}
}

// All voters of a new cluster write the same first snapshot, whatever the order of the members in the announcement.
func TestFirstSnapshotIsTheSame(t *testing.T) {
	members := testMembers()
	first, err := firstSnapshot(members)
	if err != nil {
		t.Fatal(err)
	}
	members[0], members[1] = members[1], members[0]
	second, err := firstSnapshot(members)
	if err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() || members[0].ID != 8 {
		t.Errorf("snapshots %v and %v", first, second)
	}
	if _, err := firstSnapshot([]state.Member{{ID: 7}}); err == nil {
		t.Error("a member without a name was accepted")
	}
}
