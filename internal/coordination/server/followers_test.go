package server

import (
	"testing"

	"olivearch/internal/coordination/client"
)

// A follower that is too slow is disconnected with the first update that does not fit, and gets none after the gap.
func TestSlowFollowerIsDisconnected(t *testing.T) {
	slow, other := newFollower(), newFollower()
	followers := followerSet{slow: true, other: true}
	for range followerQueueLength {
		slow.push([]byte("update"))
	}
	select {
	case <-slow.closed:
		t.Fatal("disconnected while its updates fit")
	default:
	}
	followers.broadcast(client.Update{Index: 1})
	select {
	case <-slow.closed:
	default:
		t.Error("it is not disconnected")
	}
	<-slow.updates
	followers.broadcast(client.Update{Index: 2})
	if len(slow.updates) != followerQueueLength-1 || len(other.updates) != 2 {
		t.Errorf("queued: %d for the slow one, %d for the other", len(slow.updates), len(other.updates))
	}
}
