// Package scenario is what an experiment plays: a fleet, its troubles, the load, who is compared, and the bounds that must
// hold. It is read from YAML and checked like the configuration: every error names file, line and column.
package scenario

import (
	"olivearch/internal/config"
)

// File is one scenario.
type File struct {
	// Name of the scenario: letters, digits and hyphens.
	Name string `yaml:"name"`
	// What it shows, in a sentence.
	About string `yaml:"about,omitempty"`
	// Seed of arrivals, sizes and pickers; 1 if left out.
	Seed int `yaml:"seed,omitempty" jsonschema:"minimum=1"`
	// Turns of each contender; 3 if left out.
	Repeats int `yaml:"repeats,omitempty" jsonschema:"minimum=1"`
	// Time before the measuring; 1s if left out. Troubles and curves count from its end.
	Warmup config.Duration `yaml:"warmup,omitempty"`
	// Time that is measured.
	Length config.Duration `yaml:"length"`
	// Where it can be played: both (also if left out), sockets or simulated.
	Modes string `yaml:"modes,omitempty" jsonschema:"enum=both,enum=sockets,enum=simulated"`
	// Balancers of each contender that share the load and do not talk to each other; 1 if left out. More are simulated.
	Balancers int `yaml:"balancers,omitempty" jsonschema:"minimum=1"`
	// Some of the balancers have more of the load than the others.
	Busy Busy `yaml:"busy,omitempty"`
	// Connections from one balancer to one node, for every contender alike; 64 if left out.
	Connections int `yaml:"connections,omitempty" jsonschema:"minimum=1"`
	// Requests that a balancer may hold at once, sent or waiting; 500 if left out.
	Queue int `yaml:"queue,omitempty" jsonschema:"minimum=1"`
	// Processor threads of a contender (GOMAXPROCS); 2 if left out.
	Threads int `yaml:"threads,omitempty" jsonschema:"minimum=1"`
	// Groups of equal nodes.
	Fleet []Group `yaml:"fleet"`
	// Who asks.
	Load []Load `yaml:"load"`
	// What goes wrong, and when.
	Troubles []Trouble `yaml:"troubles,omitempty"`
	// Who is compared: olivearch, reverse (net/http/httputil's ReverseProxy, on sockets alone) and the pickers of a plain
	// proxy. All if left out.
	Contenders []string `yaml:"contenders,omitempty"`
	// What must hold.
	Bounds []Bound `yaml:"bounds,omitempty"`
}

// Busy is how uneven the load is among balancers. Which ones are busy is drawn by the seed.
type Busy struct {
	// How many; none if left out.
	Count int `yaml:"count,omitempty"`
	// Requests of each, as a multiple of what each of the others has; 1 if left out.
	Times float64 `yaml:"times,omitempty"`
}

// Group is a number of equal nodes, named NAME-0, NAME-1 and so on.
type Group struct {
	// Name of the group.
	Name string `yaml:"name"`
	// How many; 1 if left out.
	Count int `yaml:"count,omitempty" jsonschema:"minimum=1"`
	// Data centre or the like.
	Zone string `yaml:"zone,omitempty"`
	// Time that each way between balancer and node takes, over that of loopback.
	Delay config.Duration `yaml:"delay,omitempty"`
	// Requests that are worked on at once; 1 if left out.
	Cores int `yaml:"cores,omitempty" jsonschema:"minimum=1"`
	// Time that a request of size 1 takes on a core.
	Service config.Duration `yaml:"service"`
	// Requests that wait for a core; one more is turned away unseen. 1,000 if left out.
	Queue int `yaml:"queue,omitempty" jsonschema:"minimum=1"`
	// How often its load report (X-Load) is refreshed; left out: it reports nothing.
	Reports config.Duration `yaml:"reports,omitempty"`
	// Size that the list tells, compared with others; 1 if left out.
	Weight float64 `yaml:"weight,omitempty"`
	// Part of its speed at which it starts after a crash; 1 if left out.
	ColdFrom float64 `yaml:"cold_from,omitempty" jsonschema:"maximum=1"`
	// Time until it is warm.
	RampTime config.Duration `yaml:"ramp_time,omitempty"`
	// Cold and sent more than this multiple of what it can do, for tip_after, it falls over; left out: it never does.
	TipMultiple float64 `yaml:"tip_multiple,omitempty"`
	// See tip_multiple; 1.5s if left out.
	TipAfter config.Duration `yaml:"tip_after,omitempty"`
}

// Load is one class of requests. Exactly one of rate and closed is set.
type Load struct {
	// Name of the class: letters, digits and hyphens.
	Name string `yaml:"name"`
	// Requests a second, at random times whatever becomes of those before (open loop).
	Rate float64 `yaml:"rate,omitempty"`
	// The rate as a multiple, over time: linear between points, which begin at 0 and go on as the last one.
	Curve []Point `yaml:"curve,omitempty"`
	// Short multiples of the rate.
	Burst *Burst `yaml:"burst,omitempty"`
	// Clients that ask again as soon as they are answered (closed loop).
	Closed int `yaml:"closed,omitempty" jsonschema:"minimum=1"`
	// Work of a request, compared with others; the mean is 1.
	Sizes Sizes `yaml:"sizes,omitempty"`
	// Whether it may run more than once: safe or unsafe, which is also meant if it is left out.
	Repeat string `yaml:"repeat,omitempty" jsonschema:"enum=safe,enum=unsafe"`
	// An answer within this time counts as in time; 250ms if left out.
	Aim config.Duration `yaml:"aim,omitempty"`
	// How long clients wait; 1s if left out.
	Deadline config.Duration `yaml:"deadline,omitempty"`
	// Worth of an answer; 1 if left out.
	Worth float64 `yaml:"worth,omitempty"`
	// Customer in whose name it is asked.
	Tenant string `yaml:"tenant,omitempty"`
	// Requests a second that the tenant has bought.
	Quota float64 `yaml:"quota,omitempty"`
}

// Point is a place of a curve.
type Point struct {
	At   config.Duration `yaml:"at"`
	Rate float64         `yaml:"rate"` // as a multiple of the load's
}

// Burst multiplies a rate for a short time, again and again.
type Burst struct {
	Every  config.Duration `yaml:"every"`
	Length config.Duration `yaml:"length"`
	Factor float64         `yaml:"factor"`
}

// Sizes is a distribution with mean 1.
type Sizes struct {
	// constant (also if left out), uniform, exponential, lognormal, pareto or bimodal.
	Kind string `yaml:"kind,omitempty" jsonschema:"enum=constant,enum=uniform,enum=exponential,enum=lognormal,enum=pareto,enum=bimodal"`
	// For uniform: to both sides of the mean, as a part of it.
	Spread float64 `yaml:"spread,omitempty"`
	// For lognormal: the standard deviation of the logarithm.
	Sigma float64 `yaml:"sigma,omitempty"`
	// For pareto: the exponent, over 1. Sizes are cut at 1,000 times the least.
	Alpha float64 `yaml:"alpha,omitempty"`
	// For bimodal: the part of requests that are large, and how many times the work of a small one they take.
	Share  float64 `yaml:"share,omitempty"`
	Factor float64 `yaml:"factor,omitempty"`
}

// Trouble is something that goes wrong at nodes, or with their list.
type Trouble struct {
	// When, from the start of the measuring.
	At config.Duration `yaml:"at"`
	// How long; left out: to the end.
	For config.Duration `yaml:"for,omitempty"`
	// slow (by a factor), neighbour (takes cores), stall (takes requests, answers none until it ends), black-hole (what
	// comes is gone for ever), crash (comes back cold), drain,
	// silent-list (nothing that follows is told) or torn-list (the file is cut).
	Kind string `yaml:"kind" jsonschema:"enum=slow,enum=neighbour,enum=stall,enum=black-hole,enum=crash,enum=drain,enum=silent-list,enum=torn-list"`
	// Names of nodes (group-0) or of groups; for all kinds but those of the list.
	Nodes []string `yaml:"nodes,omitempty"`
	// For slow: work takes so many times longer.
	Factor float64 `yaml:"factor,omitempty"`
	// For neighbour: cores that something else on the machine keeps busy.
	Cores int `yaml:"cores,omitempty"`
}

// Bound is a statement about a figure of one contender.
type Bound struct {
	// p50, p90, p99, p999 (of served requests, ms), in_aim, served, refused, failed (shares of what was asked),
	// per_second, executions (a served request), breaches, cpu_us (a request) or resident_mb.
	Figure string `yaml:"figure"`
	// Whose; olivearch if left out.
	Of string `yaml:"of,omitempty"`
	// The figure is taken as a multiple of this contender's, or of the best among the others (best); left out: as it is.
	Against string `yaml:"against,omitempty"`
	// At most, at least: one of the two. With against, a bound is broken only where the whole interval of confidence is past it.
	Most  *float64 `yaml:"most,omitempty"`
	Least *float64 `yaml:"least,omitempty"`
}
