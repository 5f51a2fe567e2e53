package server

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/membership"
	"olivearch/internal/coordination/state"
)

const (
	// inquiryTimeout bounds a question to another server about itself.
	inquiryTimeout = defaultRequestTimeout / 2
	// announceTimeout bounds the announcement of a new cluster to another server.
	announceTimeout = defaultRequestTimeout
)

// bootstrap is how a server without a cluster finds or forms one. Once the folder's cluster is being written, which
// cannot be undone, inProgress is set, and nothing else is begun.
type bootstrap struct {
	reports    map[string]membership.VoterReport // what the configured servers say of themselves, by name
	inProgress bool
	waitReason string // why the server does not take part in a cluster yet; empty: it does
}

// noClusterReason is why a request or connection is not served while the server belongs to no cluster. Clients and
// operators see it.
const noClusterReason = "it belongs to no cluster yet"

func newBootstrap() bootstrap {
	return bootstrap{reports: map[string]membership.VoterReport{}, waitReason: "it has just started"}
}

// clusterExists reports whether some server belongs to a cluster already.
func (b *bootstrap) clusterExists() bool {
	for _, report := range b.reports {
		if report.Cluster != 0 {
			return true
		}
	}
	return false
}

// seekCluster asks the configured servers who they are. It forms a cluster with them, or asks to join theirs.
func (c *core) seekCluster() {
	if c.bootstrap.inProgress {
		return
	}
	for name := range c.Addresses {
		switch {
		case name == c.Name:
			own := membership.VoterReport{Name: name, ID: c.id(), Level: state.NewestFeatureLevel}
			c.bootstrap.reports[name] = own
		case c.bootstrap.reports[name].Cluster != 0:
			c.inquire(name, c.joinRequest())
		default:
			c.inquire(name, client.Request{Operation: client.OpIdentify})
		}
	}
	members, waitReason := membership.Bootstrap(c.Name, c.Addresses, c.bootstrap.reports)
	if members == nil {
		if !c.bootstrap.clusterExists() {
			c.bootstrap.waitReason = waitReason
		}
		return
	}
	cluster := generateClusterID()
	slog.Info("cluster formed", "cluster", formatID(cluster), "voters", len(members))
	for _, member := range members {
		if member.ID != c.id() {
			go c.announceCluster(member.Name, cluster, members)
		}
	}
	c.formCluster(cluster, members)
}

// announceCluster tells another server of the cluster that it is to form with this one. It is a goroutine of its own.
func (c *core) announceCluster(name string, cluster uint64, members []state.Member) {
	ctx, cancel := context.WithTimeout(c.ctx, announceTimeout)
	defer cancel()
	announcement := client.Request{Operation: client.OpBootstrap, Cluster: cluster, Members: members}
	if _, err := c.caller.Call(ctx, name, announcement); err != nil { // that server will ask to join
		slog.Warn("cluster not announced", "name", name, "err", err)
	}
}

// joinRequest returns the request to join.
func (c *core) joinRequest() client.Request {
	return client.Request{
		Operation: client.OpJoin,
		Level:     state.NewestFeatureLevel,
		Members:   []state.Member{{ID: c.id(), Name: c.Name, Address: c.Address}},
	}
}

// inquire sends another server a question about itself, or the request to join.
func (c *core) inquire(name string, question client.Request) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, inquiryTimeout)
		defer cancel()
		response, err := c.caller.Call(ctx, name, question)
		c.submit(eventFunc(func(c *core) { c.inquiryAnswered(name, response, err) }))
	}()
}

// askToJoin asks the configured servers who the members are, until a snapshot says so.
func (c *core) askToJoin() {
	for name := range c.Addresses {
		if name != c.Name {
			c.inquire(name, c.joinRequest())
		}
	}
}

// inquiryAnswered takes what another server has said of itself, or of the request to join.
func (c *core) inquiryAnswered(name string, response client.Response, err error) {
	if c.node != nil {
		membersUnknown := len(c.state.Members()) == 0
		if err == nil && response.Cluster == c.identity.Cluster && membersUnknown {
			c.bootstrap.waitReason = response.Message
			c.linkToAll(response.Members)
		}
		return
	}
	if c.bootstrap.inProgress {
		return
	}
	if err != nil {
		delete(c.bootstrap.reports, name)
		return
	}
	c.bootstrap.reports[name] = membership.VoterReport{
		Name:    response.Name,
		ID:      response.ID,
		Cluster: response.Cluster,
		Level:   response.Level,
	}
	admitted := response.Cluster != 0 && len(response.Members) > 0
	switch {
	case admitted:
		c.joinCluster(response.Cluster, response.Members)
	case response.Message != "":
		c.bootstrap.waitReason = response.Message
	}
}

// joinCluster makes the folder one of an existing cluster; what it is to hold comes from the members.
func (c *core) joinCluster(cluster uint64, members []state.Member) {
	slog.Info("cluster joined", "cluster", formatID(cluster))
	c.bootstrap.inProgress = true
	c.writer.enqueue(writeJob{bootstrap: &clusterBootstrap{
		cluster: cluster,
		onDone:  func() { c.linkToAll(members) },
	}})
}

// formCluster makes the folder one of a new cluster.
func (c *core) formCluster(cluster uint64, members []state.Member) {
	c.bootstrap.inProgress = true
	snapshot, err := firstSnapshot(members)
	if err != nil {
		c.fail(err)
		return
	}
	c.writer.enqueue(writeJob{bootstrap: &clusterBootstrap{cluster: cluster, snapshot: snapshot}})
}

// firstSnapshot returns the state that all voters of a new cluster begin with. It is the same on each of them.
func firstSnapshot(members []state.Member) (*raftpb.Snapshot, error) {
	first := state.NewState()
	confState := &raftpb.ConfState{}
	sorted := slices.SortedFunc(slices.Values(members), func(a, b state.Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, member := range sorted {
		confState.Voters = append(confState.Voters, member.ID)
		commands := []state.Command{
			&state.AddVoter{Name: member.Name, Address: member.Address},
			&state.RegisterMember{Member: member},
		}
		for _, command := range commands {
			result, err := first.Apply(1, 0, command)
			if err != nil || !result.OK() {
				return nil, fmt.Errorf("the first voters: %w %s", err, result.Message)
			}
		}
	}
	return &raftpb.Snapshot{Data: first.Encode(), Metadata: &raftpb.SnapshotMetadata{
		Index: new(uint64(1)), Term: new(uint64(1)),
		ConfState: confState,
	}}, nil
}

// bootstrapWritten begins to take part, now that the disk knows of the cluster. After an error the server can't go on.
func (c *core) bootstrapWritten(written *clusterBootstrap) error {
	c.bootstrap.inProgress, c.identity.Cluster = false, written.cluster
	if written.snapshot != nil {
		if err := c.log.ApplySnapshot(written.snapshot); err != nil {
			return err
		}
		if err := c.log.SetHardState(initialHardState()); err != nil {
			return err
		}
		if err := c.restore(written.snapshot); err != nil {
			return err
		}
	}
	if err := c.startNode(); err != nil {
		return err
	}
	c.stateReplaced()
	if written.onDone != nil {
		written.onDone()
	}
	return nil
}

// joinBootstrap forms the cluster that the first configured server has announced.
func (c *core) joinBootstrap(req request) {
	isSelf := func(member state.Member) bool { return member.ID == c.id() && member.Name == c.Name }
	switch {
	case c.node != nil && c.identity.Cluster == req.Cluster:
		req.respondDone()
	case c.node != nil || c.bootstrap.inProgress:
		req.reject("it belongs to a cluster already")
	case !slices.ContainsFunc(req.Members, isSelf) || req.Cluster == 0:
		req.reject("it is not among the members of that cluster")
	default:
		c.formCluster(req.Cluster, req.Members)
		req.respondDone()
	}
}
