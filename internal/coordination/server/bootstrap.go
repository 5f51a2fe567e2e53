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
	// queryTimeout bounds a request to another server for its identity, or to join its cluster.
	queryTimeout = defaultRequestTimeout / 2
	// announceTimeout bounds the announcement of a new cluster to another server.
	announceTimeout = defaultRequestTimeout
)

// bootstrap is the state of a server without a cluster while it finds or forms one. inProgress is set while the cluster
// is being written to the folder. That can't be undone, so the server does not join or form another one meanwhile.
type bootstrap struct {
	reports    map[string]membership.VoterReport // the configured servers' own reports, by name
	inProgress bool
	waitReason string // why the server is not part of a cluster yet; empty: it is
}

// noClusterReason is the reason for not serving a request or connection while the server belongs to no cluster. Clients
// and operators see this text.
const noClusterReason = "it belongs to no cluster yet"

func newBootstrap() bootstrap {
	return bootstrap{reports: map[string]membership.VoterReport{}, waitReason: "it has just started"}
}

// clusterExists reports whether any server has reported that it belongs to a cluster.
func (b *bootstrap) clusterExists() bool {
	for _, report := range b.reports {
		if report.Cluster != 0 {
			return true
		}
	}
	return false
}

// findOrFormCluster queries the other configured servers: it sends a request to join to those that belong to a cluster,
// and asks the others for their identity. It forms a new cluster once the reports allow that (membership.Bootstrap).
func (c *core) findOrFormCluster() {
	if c.bootstrap.inProgress {
		return
	}
	for name := range c.Addresses {
		switch {
		case name == c.Name:
			own := membership.VoterReport{Name: name, ID: c.id(), Level: state.NewestFeatureLevel}
			c.bootstrap.reports[name] = own
		case c.bootstrap.reports[name].Cluster != 0:
			c.queryServer(name, c.joinRequest())
		default:
			c.queryServer(name, client.Request{Operation: client.OpIdentify})
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

// announceCluster tells another server to form the new cluster together with this one. It runs in its own goroutine.
func (c *core) announceCluster(name string, cluster uint64, members []state.Member) {
	ctx, cancel := context.WithTimeout(c.ctx, announceTimeout)
	defer cancel()
	announcement := client.Request{Operation: client.OpBootstrap, Cluster: cluster, Members: members}
	if _, err := c.caller.Call(ctx, name, announcement); err != nil { // that server will ask to join instead
		slog.Warn("cluster not announced", "name", name, "err", err)
	}
}

func (c *core) joinRequest() client.Request {
	return client.Request{
		Operation: client.OpJoin,
		Level:     state.NewestFeatureLevel,
		Members:   []state.Member{{ID: c.id(), Name: c.Name, Address: c.Address}},
	}
}

// queryServer sends a request to another server, without blocking, and handles the response as an event.
func (c *core) queryServer(name string, query client.Request) {
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, queryTimeout)
		defer cancel()
		response, err := c.caller.Call(ctx, name, query)
		c.submit(eventFunc(func(c *core) { c.handleQueryResponse(name, response, err) }))
	}()
}

// sendJoinRequests asks the other configured servers for the members, which a joining server does not know before its
// first snapshot.
func (c *core) sendJoinRequests() {
	for name := range c.Addresses {
		if name != c.Name {
			c.queryServer(name, c.joinRequest())
		}
	}
}

// handleQueryResponse handles another server's response to a request for its identity or to join.
func (c *core) handleQueryResponse(name string, response client.Response, err error) {
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

// joinCluster assigns the folder to an existing cluster. The log and the state come from the members later.
func (c *core) joinCluster(cluster uint64, members []state.Member) {
	slog.Info("cluster joined", "cluster", formatID(cluster))
	c.bootstrap.inProgress = true
	c.writer.enqueue(writeJob{bootstrap: &clusterBootstrap{
		cluster: cluster,
		onDone:  func() { c.linkToAll(members) },
	}})
}

// formCluster assigns the folder to a new cluster of these members.
func (c *core) formCluster(cluster uint64, members []state.Member) {
	c.bootstrap.inProgress = true
	snapshot, err := firstSnapshot(members)
	if err != nil {
		c.fail(err)
		return
	}
	c.writer.enqueue(writeJob{bootstrap: &clusterBootstrap{cluster: cluster, snapshot: snapshot}})
}

// firstSnapshot returns the snapshot with which all voters of a new cluster start. It depends only on the set of
// members, not on their order.
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
				return nil, fmt.Errorf("first snapshot of a new cluster: %w %s", err, result.Message)
			}
		}
	}
	return &raftpb.Snapshot{Data: first.Encode(), Metadata: &raftpb.SnapshotMetadata{
		Index: new(uint64(1)), Term: new(uint64(1)),
		ConfState: confState,
	}}, nil
}

// bootstrapWritten starts the Raft node after the cluster was written to disk. After an error the server has to stop.
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

// handleBootstrap serves the announcement of a new cluster, and forms that cluster.
func (c *core) handleBootstrap(req request) {
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
