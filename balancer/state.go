package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The types that the decisions in balancer.go keep. Nothing is decided here.

// class is one kind of request, its usual latency, ns, and the longest budget of a try.
type class struct {
	Class
	lat    float64
	budget time.Duration
	ranAt  time.Duration // keyed: when one that may have run last ended
}

// attempt is one send of a request.
type attempt struct {
	r               *request
	up              *upstream
	sentAt          time.Duration
	ended, neverRan bool
}

// request is an entry of the ledger; it stays until its last attempt has ended.
type request struct {
	Request
	class            *class
	worth, units     float64       // worth per unit of work; work in mean requests
	sendBy, deadline time.Duration // sent after sendBy, an answer would come late
	heldAt           time.Duration // when it began to wait
	attempts         []*attempt
	out              int
	done, held       bool
}

// upstream is what this balancer knows of one server.
type upstream struct {
	Upstream
	cold, silent                bool
	member                      bool   // in the subset
	place                       uint64 // on the ring of all upstreams
	met                         met    // by the last gather
	coldAt, trialAt             time.Duration
	answeredAt, cutAt, probedAt time.Duration
	freeAt                      time.Duration // its turns are skipped until then
	wait                        time.Duration // growing wait between trials or failed connects
	due                         float64       // its next turn, in turns of the whole fleet
	weight, factor              float64       // size; share left after cuts
	slice                       float64       // part of it that lies in the stretch
	window                      [bandWindow]float64
	readings                    int
	mute                        int     // answers in a row without a report
	answers                     int     // with and without an error
	failing                     float64 // share of errors among them, the newest first
	mean, dev, area             float64 // of the window; band gap integrated since the last step
	readAt, spentAt             time.Duration
	last                        Load
	outs                        []*attempt // in order of sending
	lat, latDev, units          float64    // usual latency, its mean deviation, ns; usual work of its answers
	least, slow, calm           float64    // least latency for the work seen; its slow mean; the least of that
	bound, most                 float64    // attempts that may be out at once; its top this period
	sentAt                      time.Duration
	carried, work, spent        float64 // work sent this period; its mean; leaky count while cold
}

// Balancer decides for one proxy instance. See the package comment for the contract.
type Balancer struct {
	s                       Settings
	host                    Host
	source                  *rand.PCG // of rng
	rng                     *rand.Rand
	classes                 map[string]*class
	senders                 map[string]*sender // tenants whose level has not run dry, as far as was looked
	ring                    []*sender          // the same
	hand                    int                // where the sweep goes on in it
	fair                    float64            // its even part of what tenants have bought, requests a second
	safest                  Idempotency
	requests                map[RequestID]*request
	byID                    map[UpstreamID]*upstream
	ups                     []*upstream // in order of arrival
	room                    []upstream  // for those of the first list
	near                    []*upstream // the subset, and what left it with attempts still out
	out                     int         // attempts out at all upstreams
	held                    []*request  // in order of their turns
	shortAt                 time.Duration
	short                   bool          // turns are too few for all of them
	spell                   float64       // mean time between requests that come to be held, ns
	gap                     float64       // mean time between turns of what is held, ns
	turnAt                  time.Duration // the last of these, or since when something is held
	turn                    float64       // virtual time of the interleave
	lat, cost               float64       // usual latency, mean cost hint
	pace                    float64       // growth of bounds, as a multiple of what few sharers have
	start                   float64       // an upstream's bound before anything is learnt
	asked, rate             float64       // requests this period; usual ones a second
	warm                    bool          // it uses an upstream that is not cold
	bornAt                  time.Duration // its start
	wide                    float64       // its rate as a multiple of its even part, where that is more
	ceiling                 float64       // the fleet's middle level: what all carry is no one's excess
	carry                   float64       // work a period that warm upstreams carry for their weight and use
	failing                 float64       // usual share of errors among answers
	least, calm             float64       // those of an upstream, as a good part of the fleet has them
	tick, stepAt, watchWait time.Duration
	tightAt                 time.Duration // last time that no upstream could take a request
	logged                  map[string]time.Duration
	active                  []*upstream   // the ring, by place
	went                    ringed        // what the last gather went by
	chosen                  int           // and how many it chose
	gathered                bool          // it found nothing moved
	resting                 bool          // no tick is set
	restAt                  time.Duration // the next tick that is left out
}

// adopt takes settings and returns the shortest aim. What is counted of classes and tenants that stay goes on.
func (b *Balancer) adopt(s Settings, now time.Duration) (shortest time.Duration) {
	classes := make(map[string]*class, len(s.Classes))
	b.safest, shortest = NonIdempotent, s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		n := &class{Class: c}
		if old := b.classes[c.Name]; old != nil {
			n.lat, n.ranAt = old.lat, old.ranAt // its budget may have shrunk with its deadline: that is learnt anew
		}
		classes[c.Name] = n
		b.safest, shortest = min(b.safest, c.Idempotency), min(shortest, c.LatencyObjective)
	}
	b.requote(s, now)
	b.s, b.classes = s, classes
	b.tick = max(s.Granularity, shortest/ticksPerAim, time.Millisecond)
	return shortest
}

// makeRoom makes room for the upstreams of a first list, all at once.
func (b *Balancer) makeRoom(n int) {
	b.byID, b.ups, b.room = make(map[UpstreamID]*upstream, n), make([]*upstream, 0, n), make([]upstream, n)
}

// newUpstream returns an upstream of which nothing is known.
func (b *Balancer) newUpstream() *upstream {
	if len(b.room) == 0 {
		return new(upstream)
	}
	u := &b.room[0]
	b.room = b.room[1:]
	return u
}

// mixed is a fixed hash of x, so that neither numbering nor time of listing orders the ring.
func mixed(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// lattice is a place in [0, 1) for each rank: ranks up to n have places that are evenly spaced, and those of any run
// of ranks are nearly so, by steps near the golden ratio.
func lattice(rank, n int) float64 {
	step := int(math.Round(float64(n) / math.Phi))
	for gcd(step, n) > 1 {
		step++
	}
	return float64(rank%n*step%n) / float64(n)
}

func gcd(x, y int) int {
	for y > 0 {
		x, y = y, x%y
	}
	return x
}

// follow moves a running mean; the first sample sets it.
func follow(mean *float64, x, weight float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += weight * (x - *mean)
}

// log writes a line of a kind, at most one in a while.
func (b *Balancer) log(now time.Duration, kind, format string, args ...any) {
	if at, ok := b.logged[kind]; !ok || now-at >= logEvery {
		b.logged[kind] = now
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
