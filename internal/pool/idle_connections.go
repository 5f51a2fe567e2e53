package pool

import (
	"slices"
	"time"
)

// idleConnections holds the open connections to an endpoint that carry no attempt, in the order in which they became
// idle. The zero value is empty. The connectionPool counts and closes the connections.
type idleConnections struct {
	list []*connection // most recently used last
}

// oldest returns the connection that has been idle longest, nil if there is none.
func (i *idleConnections) oldest() *connection {
	if len(i.list) == 0 {
		return nil
	}
	return i.list[0]
}

// add adds a connection that becomes idle now.
func (i *idleConnections) add(c *connection, now time.Duration) {
	c.idleSince = now
	i.list = append(i.list, c)
}

// takeOldest removes and returns the connection that has been idle longest, nil if there is none.
func (i *idleConnections) takeOldest() *connection {
	oldest := i.oldest()
	if oldest != nil {
		i.list = slices.Delete(i.list, 0, 1)
	}
	return oldest
}

// takeReady removes and returns the most recently used of the connections that have been idle for long enough, nil if
// there is none.
func (i *idleConnections) takeReady(now time.Duration, minimum restTimes) *connection {
	for index := len(i.list) - 1; index >= 0; index-- {
		candidate := i.list[index]
		if now-candidate.idleSince >= minimum[candidate.last] {
			i.list = slices.Delete(i.list, index, index+1)
			return candidate
		}
	}
	return nil
}

// takeExpired removes and returns the connections that have been idle for at least timeout.
func (i *idleConnections) takeExpired(now, timeout time.Duration) []*connection {
	count := 0
	for count < len(i.list) && now-i.list[count].idleSince >= timeout {
		count++
	}
	if count == 0 {
		return nil
	}
	expired := i.list[:count]
	i.list = append([]*connection(nil), i.list[count:]...) // a copy, so that the removed connections can be freed
	return expired
}

// takeCreatedBefore removes and returns the connections that were created before a time.
func (i *idleConnections) takeCreatedBefore(at time.Duration) (older []*connection) {
	kept := i.list[:0]
	for _, candidate := range i.list {
		if candidate.createdAt < at {
			older = append(older, candidate)
			continue
		}
		kept = append(kept, candidate)
	}
	clear(i.list[len(kept):]) // so that the removed connections can be freed
	i.list = kept
	return older
}

// takeAll removes and returns all connections.
func (i *idleConnections) takeAll() []*connection {
	all := i.list
	i.list = nil
	return all
}
