package discovery

import (
	"strconv"
	"strings"

	"olivearch/balancer"
)

// Names maps discovery's ids to the module's. The module orders upstreams by these
// numbers, so all balancers must come to the same: "s-" and up to eight hex digits
// gives that number, and any other id the FNV-1a hash of its text. If two ids come
// to one number, the later one is hashed on with a count behind it until a number
// is free. The entries of a list are named in the order of their ids, so balancers
// differ at most in which of two such ids came first: their rings differ then, but
// no two upstreams are ever mixed up. An id keeps its number until it is gone and nothing is out there.
type Names struct {
	of    map[balancer.UpstreamID]string
	moved map[string]balancer.UpstreamID // those whose own number was another's
}

// NewNames returns a Names without ids.
func NewNames() *Names { return NewNamesFor(0) }

// NewNamesFor returns a Names without ids, with room for n.
func NewNamesFor(n int) *Names {
	return &Names{of: make(map[balancer.UpstreamID]string, n), moved: map[string]balancer.UpstreamID{}}
}

// ID returns an id's number.
func (n *Names) ID(text string) balancer.UpstreamID {
	id, free, known := n.find(text)
	if known {
		return id
	}
	for i := 0; !free; i++ {
		id = Hashed(text + "#" + strconv.Itoa(i))
		_, taken := n.of[id]
		if free = !taken; free {
			n.moved[text] = id
		}
	}
	n.of[id] = text
	return id
}

// find returns an id's number, if it has one, and else its own and whether that is free.
func (n *Names) find(text string) (id balancer.UpstreamID, free, known bool) {
	if len(n.moved) > 0 {
		if id, known = n.moved[text]; known {
			return id, false, true
		}
	}
	id = plainID(text)
	owner, taken := n.of[id]
	return id, !taken, taken && owner == text
}

// Known returns the number of an id that has one.
func (n *Names) Known(text string) (id balancer.UpstreamID, ok bool) {
	id, _, ok = n.find(text)
	if !ok {
		id = 0
	}
	return id, ok
}

// Len is how many ids have a number.
func (n *Names) Len() int { return len(n.of) }

// Forget frees the number of an id that is gone for good: upstreams come and go all day under ids that are ever new.
// Should it come back it gets the number that its text gives.
func (n *Names) Forget(text string) {
	if id, known := n.Known(text); known {
		delete(n.of, id)
		delete(n.moved, text)
	}
}

func plainID(text string) balancer.UpstreamID {
	if digits, ok := strings.CutPrefix(text, "s-"); ok {
		if x, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return balancer.UpstreamID(x)
		}
	}
	return Hashed(text)
}

// Hashed is the FNV-1a hash of a text.
func Hashed(text string) balancer.UpstreamID {
	h := uint32(2166136261)
	for i := range len(text) {
		h = (h ^ uint32(text[i])) * 16777619
	}
	return balancer.UpstreamID(h)
}
