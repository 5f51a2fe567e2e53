package discovery

import (
	"hash/fnv"
	"io"
	"strconv"
	"strings"

	"clayladder"
)

// Names maps discovery's ids to the module's. The module orders upstreams by these
// numbers, so all balancers must come to the same: "s-" and up to eight hex digits
// gives that number, and any other id the FNV-1a hash of its text. If two ids come
// to one number, the later one is hashed on with a count behind it until a number
// is free. The entries of a list are named in the order of their ids, so balancers
// differ at most in which of two such ids came first: their rings differ then, but
// no two upstreams are ever mixed up. An id keeps its number until it is gone and nothing is out there.
type Names struct {
	ids   map[string]clayladder.UpstreamID
	taken map[clayladder.UpstreamID]bool
}

// NewNames returns a Names without ids.
func NewNames() *Names { return NewNamesFor(0) }

// NewNamesFor returns a Names without ids, with room for n.
func NewNamesFor(n int) *Names {
	return &Names{ids: make(map[string]clayladder.UpstreamID, n), taken: make(map[clayladder.UpstreamID]bool, n)}
}

// ID returns an id's number.
func (n *Names) ID(text string) clayladder.UpstreamID {
	if id, ok := n.ids[text]; ok {
		return id
	}
	id := plainID(text)
	for i := 0; n.taken[id]; i++ {
		id = Hashed(text + "#" + strconv.Itoa(i))
	}
	n.ids[text], n.taken[id] = id, true
	return id
}

// Known returns the number of an id that has one.
func (n *Names) Known(text string) (id clayladder.UpstreamID, ok bool) {
	id, ok = n.ids[text]
	return id, ok
}

// Len is how many ids have a number.
func (n *Names) Len() int { return len(n.taken) }

// Forget frees the number of an id that is gone for good: upstreams come and go all day under ids that are ever new.
// Should it come back it gets the number that its text gives.
func (n *Names) Forget(text string) {
	delete(n.taken, n.ids[text])
	delete(n.ids, text)
}

func plainID(text string) clayladder.UpstreamID {
	if digits, ok := strings.CutPrefix(text, "s-"); ok {
		if x, err := strconv.ParseUint(digits, 16, 32); err == nil {
			return clayladder.UpstreamID(x)
		}
	}
	return Hashed(text)
}

// Hashed is the FNV-1a hash of a text.
func Hashed(text string) clayladder.UpstreamID {
	h := fnv.New32a()
	io.WriteString(h, text) // never fails
	return clayladder.UpstreamID(h.Sum32())
}
