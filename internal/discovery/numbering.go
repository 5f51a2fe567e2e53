package discovery

import (
	"strconv"
	"strings"

	"olivearch/balancer"
)

// Numbering maps the ids of a discovery service to the numbers that identify upstreams in the decision module. It is
// not safe for concurrent use.
//
// The decision module orders upstreams by number, so all balancers must give an id the same number. An id of "s-" and
// up to eight hex digits has the number that these digits spell. Any other id has the FNV-1a hash of its text. If
// another id already has that number, the id is hashed again with a counter appended until a number is free.
//
// The entries of a list get their numbers in the order of their ids. Balancers can still disagree on two colliding ids
// if they received these in a different order: their rings then differ, but two upstreams never share a number. An id
// keeps its number until Forget.
type Numbering struct {
	owners   map[balancer.UpstreamID]string // id of each number in use
	rehashed map[string]balancer.UpstreamID // ids whose default number was taken
}

// NewNumbering returns a Numbering without ids.
func NewNumbering() *Numbering { return NewNumberingWithCapacity(0) }

// NewNumberingWithCapacity returns a Numbering without ids, with space for the given number of them.
func NewNumberingWithCapacity(capacity int) *Numbering {
	return &Numbering{
		owners:   make(map[balancer.UpstreamID]string, capacity),
		rehashed: map[string]balancer.UpstreamID{},
	}
}

// ID returns the number of an id. An id without a number is given one.
func (n *Numbering) ID(memberID string) balancer.UpstreamID {
	number, free, known := n.lookup(memberID)
	if known {
		return number
	}
	for attempt := 0; !free; attempt++ {
		number = HashID(memberID + "#" + strconv.Itoa(attempt))
		_, taken := n.owners[number]
		free = !taken
		if free {
			n.rehashed[memberID] = number
		}
	}
	n.owners[number] = memberID
	return number
}

// lookup returns the number of an id, with known set, if the id has one. Else it returns the default number of the id
// and whether that is free.
func (n *Numbering) lookup(memberID string) (number balancer.UpstreamID, free, known bool) {
	if len(n.rehashed) > 0 {
		number, known = n.rehashed[memberID]
		if known {
			return number, false, true
		}
	}
	number = defaultNumber(memberID)
	owner, taken := n.owners[number]
	return number, !taken, taken && owner == memberID
}

// Known returns the number of an id, or 0 and false if the id has none.
func (n *Numbering) Known(memberID string) (number balancer.UpstreamID, ok bool) {
	number, _, ok = n.lookup(memberID)
	if !ok {
		number = 0
	}
	return number, ok
}

// Len returns how many ids have a number.
func (n *Numbering) Len() int { return len(n.owners) }

// Forget frees the number of an id. The id must be removed and have no attempt in flight. Without Forget the maps would
// grow without limit, as new upstreams keep arriving under new ids. An id that returns later is numbered as a new one.
func (n *Numbering) Forget(memberID string) {
	if number, known := n.Known(memberID); known {
		delete(n.owners, number)
		delete(n.rehashed, memberID)
	}
}

// defaultNumber returns the number of an id that collides with no other.
func defaultNumber(memberID string) balancer.UpstreamID {
	digits, ok := strings.CutPrefix(memberID, "s-")
	if !ok {
		return HashID(memberID)
	}
	number, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return HashID(memberID)
	}
	return balancer.UpstreamID(number)
}

// The parameters of the 32-bit FNV-1a hash (http://www.isthe.com/chongo/tech/comp/fnv/).
const (
	fnvOffsetBasis = 2166136261
	fnvPrime       = 16777619
)

// HashID returns the 32-bit FNV-1a hash of a text, such as an id or the value of a cookie.
func HashID(text string) balancer.UpstreamID {
	hash := uint32(fnvOffsetBasis)
	for i := range len(text) {
		hash = (hash ^ uint32(text[i])) * fnvPrime
	}
	return balancer.UpstreamID(hash)
}
