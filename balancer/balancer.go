// The decisions of the balancer: every rule and every constant is in this file and in slowstart.go. Its
// interface (types, events, actions) is in api.go, what it keeps in state.go; docs/design gives the reasons.

package balancer

import (
	"math/rand/v2"
	"time"
)

// Constants. Those without a unit are ratios.
const (
	bandWindow            = 8           // N: readings in an upstream's moving window
	muteLeast             = 64          // answers in a row without a report: then utilisation is estimated
	bandAlpha             = 2.0         // α: half the band gap in standard deviations, as usual for these bands
	bandPeriod            = time.Second // the band gap is integrated over it, then shares move
	areaFloor             = 0.4         // areas below it are noise: a deviation of a tenth of full use
	areaRatio             = 1.25        // saturated: an area over this multiple of the fleet's median
	areaSpread            = 4.0         // and so many times as far over it as the lowest quarter is under it
	fullUse               = 0.8         // mean use over which more attempts out bring no more
	levelFloor            = 0.5         // use below it never counts as excess level
	cutMost               = 0.8         // the deepest cut in one period: reports lag, so steps are small
	restoreStep           = 1.04        // shares come back more slowly than they go
	shareFloor            = 0.1         // a share is never cut below this part of its start
	debtRounds            = 1.0         // turns missed beyond this many rounds are forgotten
	smoothing             = 0.1         // weight of a new sample in running means
	sharers               = 4.0         // balancers that share an upstream, where there are enough
	sharersMost           = 10.0        // and at most, for evenness
	evenTurns             = 4.0         // for it one uses the root of this multiple of its requests a second
	subsetLeast           = 2           // upstreams that a balancer uses at least
	sliceLeast            = 0.125       // part of an upstream that one uses at least, if any
	rateWeight            = 0.25        // weight of a period's requests in the rate that a balancer has
	rateNoise             = 1.5         // changes of the rate within it move nothing
	boundStart            = 3           // attempts out at one upstream, over all balancers, at first
	boundLeast            = 0.25        // over all balancers: with pauses, so that a crowded server can rest
	boundCut              = 0.8         // on a crowded answer; twice on a full queue or a time-out
	boundGrowth           = 0.02        // on an answer while turns are short, times the square of its spare aims
	easy                  = 1.5         // latency for the work, in multiples of its least: no queue
	crowded               = 1.6         // over this multiple: the upstream is crowded or sick
	crowdedShare          = 0.5         // and it takes this part of the aim: far under it crowding hurts nobody
	idleShare             = 0.0625      // under it a bound may grow without waiting for readings
	leastDrift            = 0.005       // how fast the least latency is unlearnt
	patienceDevs          = 5.0         // deviations over its usual latency before an upstream is silent
	errorWeight           = 0.125       // weight of an answer in the share of errors among them
	sickOver              = 0.5         // more errors than the fleet by this share of answers: trials only
	errorNoise            = 0.25        // under it an excess of errors is chance and costs no share
	sickFloor             = 0.015625    // a share is never cut below this part by errors
	tipMargin             = 0.6         // part of the cold budget that is used
	turnsUnder            = 2.0         // a part of it under so many calls is used in turns
	sendSpare             = 2.33        // latencies left to the aim of a held request sent, less its late worth
	budgetNoise           = 16          // a budget shorter by one in this many is a client's later try
	turnWeight            = 0.0625      // weight of a new sample in the mean time between turns of what is held
	ticksPerAim           = 16          // housekeeping runs this often in the shortest aim
	waitGrowth            = 2           // trials, failed connects and discovery calls are spaced by this growth
	logEvery              = 5 * time.Second
	watchWaitMost         = 1500 * time.Millisecond // after failed calls: changes count as told after 6 s
	tickToken, watchToken = 1, 2
)

// New returns a Balancer, or an error that names the setting that is wrong.
func New(s Settings, seed uint64, now time.Duration, host Host) (*Balancer, error) {
	if host == nil {
		return nil, bad("Host is nil")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	b := &Balancer{
		host: host, source: source, rng: rand.New(source), requests: map[RequestID]*request{},
		byID: map[UpstreamID]*upstream{}, senders: map[string]*sender{}, logged: map[string]time.Duration{},
		stepAt: now, tightAt: now, bornAt: now,
	}
	shortest := b.adopt(s, now)
	b.gather(now)
	b.lat = float64(shortest) / 4 // until answers tell
	b.nextTick(now)
	if s.PollDiscovery {
		host.WatchEndpoints(true)
	}
	return b, nil
}

// Configure puts other settings in the place of those that hold, or changes nothing and names the one that is
// wrong. What was learnt of upstreams stays: windows, shares, bounds. Open requests keep their class.
func (b *Balancer) Configure(now time.Duration, s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	b.catchUp(now)
	follows := b.s.PollDiscovery
	b.adopt(s, now)
	if s.PollDiscovery != follows {
		b.host.WatchEndpoints(s.PollDiscovery)
	}
	b.gather(now)
	b.dispatch(now)
	b.rouse(now)
	return nil
}
