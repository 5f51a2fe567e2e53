package discovery

import (
	"strconv"
	"strings"

	"olivearch/balancer"
)

// Numbering maps the ids of a discovery service to the numbers by which the decision module knows upstreams. It is
// not safe for concurrent use.
//
// The module orders upstreams by these numbers, so all balancers must come to the same: an id of "s-" and up to eight
// hex digits has that number, and any other id the FNV-1a hash of its text. If two ids come to one number, the later
// one is hashed again with a count appended until a number is free. The entries of a list get their numbers in the
// order of their ids, so balancers differ at most in which of two such ids came first: their rings differ then, but no
// two upstreams are ever mixed up. An id keeps its number until Forget.
type Numbering struct {
	owners   map[balancer.UpstreamID]string // the id that has the number
	rehashed map[string]balancer.UpstreamID // ids whose own number was another's
}

// NewNumbering returns a Names without ids.
func NewNumbering() *Numbering { return NewNumberingWithCapacity(0) }

// NewNumberingWithCapacity returns a Names without ids, with room for so many.
func NewNumberingWithCapacity(capacity int) *Numbering {
	return &Numbering{
		owners:   make(map[balancer.UpstreamID]string, capacity),
		rehashed: map[string]balancer.UpstreamID{},
	}
}

// ID returns the number of an id, which gets one if it has none.
func (n *Numbering) ID(text string) balancer.UpstreamID {
	number, free, known := n.lookup(text)
	if known {
		return number
	}
	for attempt := 0; !free; attempt++ {
		number = HashID(text + "#" + strconv.Itoa(attempt))
		_, taken := n.owners[number]
		free = !taken
		if free {
			n.rehashed[text] = number
		}
	}
	n.owners[number] = text
	return number
}

// lookup returns the number of an id if it has one (known), and else its own number and whether that is free.
func (n *Numbering) lookup(text string) (id balancer.UpstreamID, free, known bool) {
	if len(n.rehashed) > 0 {
		id, known = n.rehashed[text]
		if known {
			return id, false, true
		}
	}
	id = ownNumber(text)
	owner, taken := n.owners[id]
	return id, !taken, taken && owner == text
}

// Known returns the number of an id, and whether it has one.
func (n *Numbering) Known(text string) (id balancer.UpstreamID, ok bool) {
	id, _, ok = n.lookup(text)
	if !ok {
		id = 0
	}
	return id, ok
}

// Len returns how many ids have a number.
func (n *Numbering) Len() int { return len(n.owners) }

// Forget frees the number of an id that is removed and has no attempt in flight: upstreams come and go all day under
// ids that are always new. An id that comes back gets the number that its text gives.
func (n *Numbering) Forget(text string) {
	if id, known := n.Known(text); known {
		delete(n.owners, id)
		delete(n.rehashed, text)
	}
}

// ownNumber returns the number that an id has unless that is another's.
func ownNumber(text string) balancer.UpstreamID {
	digits, ok := strings.CutPrefix(text, "s-")
	if !ok {
		return HashID(text)
	}
	number, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return HashID(text)
	}
	return balancer.UpstreamID(number)
}

// The parameters of the 32-bit FNV-1a hash (http://www.isthe.com/chongo/tech/comp/fnv/).
const (
	fnvOffsetBasis = 2166136261
	fnvPrime       = 16777619
)

// HashID returns the 32-bit FNV-1a hash of a text.
func HashID(text string) balancer.UpstreamID {
	hash := uint32(fnvOffsetBasis)
	for i := range len(text) {
		hash = (hash ^ uint32(text[i])) * fnvPrime
	}
	return balancer.UpstreamID(hash)
}
