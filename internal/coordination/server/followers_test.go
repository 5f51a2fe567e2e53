package server

import (
	"testing"

	"olivearch/internal/coordination/client"
)

// A slow follower is disconnected at the first update that does not fit into its queue, and no later update is queued
// after the gap.
func TestSlowFollowerIsDisconnected(t *testing.T) {
	slow, other := newFollower(), newFollower()
	followers := followerSet{slow: true, other: true}
	for range followerQueueLength {
		slow.push([]byte("update"))
	}
	select {
	case <-slow.closed:
		t.Fatal("the follower was disconnected although its updates fit")
	default:
	}
	followers.broadcast(client.Update{Index: 1})
	select {
	case <-slow.closed:
	default:
		t.Error("the slow follower was not disconnected")
	}
	<-slow.updates
	followers.broadcast(client.Update{Index: 2})
	if len(slow.updates) != followerQueueLength-1 || len(other.updates) != 2 {
		t.Errorf("queued: %d for the slow one, %d for the other", len(slow.updates), len(other.updates))
	}
}
