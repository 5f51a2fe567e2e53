// Package config reads the file that "olivearch serve" is configured by: its types, how it is read, checked and
// reloaded, what it takes in memory and descriptors, and what each pool's decision module is told of it. It also reads
// the files of the coordination servers. An error about a file's content joins values of type strictyaml.Error, each
// with file, line, column and key, which errors.As finds.
//
// The doc comments of the types with yaml tags are the descriptions of docs/*.schema.json: see the command in schema.
package config

import (
	"olivearch/internal/endpointlist"
)

// File is the configuration of one process.
type File struct {
	// Where clients come in.
	Listeners []Listener `yaml:"listeners"`
	// The live view and other things for operators; left out: none.
	Admin *Admin `yaml:"admin,omitempty"`
	// What the process may use.
	Limits Limits `yaml:"limits,omitempty"`
	// The processes that share the nodes with this one.
	Instances Instances `yaml:"instances,omitempty"`
	// Kinds of request, by name.
	Classes map[string]Class `yaml:"classes"`
	// Customers, by the name in X-Tenant.
	Tenants map[string]Tenant `yaml:"tenants,omitempty"`
	// Worth of what a tenant sends over its quota, as a part of the usual; 0.1 if left out.
	OverQuotaWorth *float64 `yaml:"over_quota_worth,omitempty"`
	// Drain and cold-start rules of all nodes.
	Rules Rules `yaml:"rules,omitempty"`
	// Groups of nodes that serve the same requests, by name.
	Pools map[string]Pool `yaml:"pools"`
	// Which request goes to which pool.
	Routes []Route `yaml:"routes"`
	// The coordination cluster that this process is a client of; left out: none.
	Promises *Promises `yaml:"promises,omitempty"`
}

// Listener is an address at which clients come in.
type Listener struct {
	// Name of the listener, for the log; the address if left out.
	Name string `yaml:"name,omitempty"`
	// IP address and port.
	Address string `yaml:"address"`
	// Connections of clients at most; a share of half the descriptors if left out.
	Connections int `yaml:"connections,omitempty" jsonschema:"minimum=1"`
	// Bytes of a request's head at most; 16KiB if left out.
	Head Size `yaml:"head,omitempty"`
	// Within what time a request's head must have come; 10s if left out.
	Within Duration `yaml:"within,omitempty"`
	// A body that comes slower than so many bytes a second is given up; 8KiB if left out.
	Rate Size `yaml:"rate,omitempty"`
}

// Admin is the listener for operators.
type Admin struct {
	// IP address and port. Only loopback addresses are taken unless open is set.
	Address string `yaml:"address"`
	// Whether an address that others can reach is meant: the live view asks for no password.
	Open bool `yaml:"open,omitempty"`
}

// Limits is what the process may use.
type Limits struct {
	// Memory, such as 192MiB (the default).
	Memory Size `yaml:"memory,omitempty"`
	// File descriptors; 1,024 if left out.
	Descriptors int `yaml:"descriptors,omitempty" jsonschema:"minimum=64"`
	// Connections to one node over all pools of this process; 64 if left out.
	NodeConnections int `yaml:"node_connections,omitempty" jsonschema:"minimum=1"`
	// Memory for bodies that are read ahead, over all requests; an eighth of the memory if left out.
	Bodies Size `yaml:"bodies,omitempty"`
}

// Instances tells of the olivearch processes that share the nodes. They do not talk to each other.
type Instances struct {
	// How many there are; 1 if left out.
	Count int `yaml:"count,omitempty" jsonschema:"minimum=1"`
	// Number of this one among them, from 0.
	Rank int `yaml:"rank,omitempty" jsonschema:"minimum=0"`
	// The zone that this one runs in.
	Zone string `yaml:"zone,omitempty"`
}

// Class is a kind of request.
type Class struct {
	// Whether it may run more than once: safe (any number of times), keyed (nodes drop repeats that carry the same
	// Idempotency-Key) or unsafe (never), which is also meant if it is left out.
	Repeat string `yaml:"repeat,omitempty" jsonschema:"enum=safe,enum=keyed,enum=unsafe"`
	// For keyed classes: which nodes drop each other's repeats (all, zone or cell).
	Group string `yaml:"group,omitempty" jsonschema:"enum=all,enum=zone,enum=cell"`
	// For keyed classes: how long nodes remember a key.
	Memory Duration `yaml:"memory,omitempty"`
	// An answer within this time is worth the most.
	Aim Duration `yaml:"aim"`
	// How long clients wait at most; a shorter X-Deadline-Ms or a shorter limit of the route counts instead.
	Deadline Duration `yaml:"deadline"`
	// Worth of an answer in time, compared with other classes; 1 if left out.
	Worth *float64 `yaml:"worth,omitempty"`
	// Worth of an answer between aim and deadline, as a part of the full worth.
	LateWorth float64 `yaml:"late_worth,omitempty" jsonschema:"minimum=0,maximum=1"`
}

// Tenant is a customer.
type Tenant struct {
	// Requests a second over all instances and for each pool.
	Quota float64 `yaml:"quota" jsonschema:"minimum=0"`
}

// Rules are the drain and cold-start rules.
type Rules struct {
	// Nothing new goes to a node later than this after its drain was told; 1s if left out. It is kept at once.
	DrainGrace Duration `yaml:"drain_grace,omitempty"`
	// The part of its capacity that a node has when it has just started; 0.33 if left out.
	ColdFrom float64 `yaml:"cold_from,omitempty" jsonschema:"exclusiveMinimum=0,maximum=1"`
	// After this time a node is warm; 9s if left out.
	RampTime Duration `yaml:"ramp_time,omitempty"`
	// A cold node that is sent more than this multiple of its present capacity falls over; 3 if left out.
	TipMultiple float64 `yaml:"tip_multiple,omitempty"`
	// ... if that goes on for this long; 1.5s if left out.
	TipAfter Duration `yaml:"tip_after,omitempty"`
}

// Pool is a group of nodes with a decision module, a goroutine and limits of its own.
type Pool struct {
	// Where the list of nodes comes from.
	Nodes NodeSource `yaml:"nodes"`
	// Connections to all its nodes together; an even part of what is left of the descriptors if left out.
	Connections int `yaml:"connections,omitempty" jsonschema:"minimum=1"`
	// Requests that it may hold at once, sent or waiting; one more is refused at once. An even part of the smallest
	// listener's connections if left out.
	Queue int `yaml:"queue,omitempty" jsonschema:"minimum=1"`
	// On nodes that other pools list too: this pool's part of the node's connections and cold budget, compared with
	// theirs; 1 if left out.
	Share float64 `yaml:"share,omitempty" jsonschema:"exclusiveMinimum=0"`
	// Whose word counts on a node that drains: any (every list of this process that has the node; also if left out) or
	// own (only this pool's list, where nodes are moved from pool to pool by draining them in one).
	Drains string `yaml:"drains,omitempty" jsonschema:"enum=any,enum=own"`
	// When a connection rests for 1ms between two requests. Answers in HTTP/1.1 do not name their request: a second
	// copy of one that comes late would pass for the next one's answer, and in a rest it is seen instead. always, or
	// after_stray (also if left out): only for nodes that have once sent what nobody asked for.
	Rest string `yaml:"rest,omitempty" jsonschema:"enum=always,enum=after_stray"`
	// How nodes report their load: answers (an X-Load field in answers; also if left out), probes (GET /load) or none.
	Reports string `yaml:"reports,omitempty" jsonschema:"enum=answers,enum=probes,enum=none"`
	// A connection not up by then counts as failed; 500ms if left out.
	ConnectTimeout Duration `yaml:"connect_timeout,omitempty"`
	// How long nodes keep an idle connection; it is closed here some seconds before. 60s if left out.
	IdleTimeout Duration `yaml:"idle_timeout,omitempty"`
	// Attempts for a request at most, never two at once; 3 if left out.
	MaxAttempts int `yaml:"max_attempts,omitempty" jsonschema:"minimum=1"`
	// The longest time after which a refused client is told to come back; 5s if left out.
	MaxRetryAfter Duration `yaml:"max_retry_after,omitempty"`
	// Connections that have changed their protocol, such as WebSocket.
	Tunnels Tunnels `yaml:"tunnels,omitempty"`
}

// Tunnels are the limits of connections that have changed their protocol. A node's own connections bound them too.
type Tunnels struct {
	// At once in the pool; half its connections if left out.
	Most int `yaml:"most,omitempty" jsonschema:"minimum=1"`
	// At once to one node; half of node_connections if left out.
	PerNode int `yaml:"per_node,omitempty" jsonschema:"minimum=1"`
	// One on which neither side says anything for so long ends; 10m if left out.
	Idle Duration `yaml:"idle,omitempty"`
	// How long one may last; left out: as long as it takes.
	Total Duration `yaml:"total,omitempty"`
	// How long one has to end once its node drains, its route has gone or the process stops; 10s if left out.
	Grace Duration `yaml:"grace,omitempty"`
}

// NodeSource says where a list of nodes comes from: exactly one of file, static and discovery.
type NodeSource struct {
	// A file with a list, read again whenever it changes. A relative path starts at the configuration's folder.
	File string `yaml:"file,omitempty"`
	// The list itself.
	Static []endpointlist.Node `yaml:"static,omitempty"`
	// IP address and port of a discovery service.
	Discovery string `yaml:"discovery,omitempty"`
	// For discovery: a file in which the last list is kept, so that a process that starts while discovery is down
	// begins with it. A relative path starts at the configuration's folder. Looked at when the pool starts.
	Keep string `yaml:"keep,omitempty"`
	// How long the last list holds while its source is silent or bad: from then on the pool refuses what comes. Left
	// out: for ever. Its age is shown in the live view.
	Hold Duration `yaml:"hold,omitempty"`
}

// Route sends requests to pools.
type Route struct {
	// Name of the route.
	Name string `yaml:"name"`
	// Host names, or "*." and a suffix; left out: any.
	Hosts []string `yaml:"hosts,omitempty"`
	// Left out: any path.
	Path Path `yaml:"path,omitempty"`
	// Methods; left out: any.
	Methods []string `yaml:"methods,omitempty"`
	// Fields that a request must have, with exactly these values.
	Headers map[string]string `yaml:"headers,omitempty"`
	// The class that the client must name in X-Class; left out: the client need not name one.
	RequestClass string `yaml:"request_class,omitempty"`
	// The class of its requests. A client that names another in X-Class is turned away.
	Class string `yaml:"class"`
	// Cuts the class's deadline; a client's shorter one still counts.
	Deadline Duration `yaml:"deadline,omitempty"`
	// The pool, if there is one.
	Pool string `yaml:"pool,omitempty"`
	// The pools, if there are several, for a gradual move.
	Pools []WeightedPool `yaml:"pools,omitempty"`
	// Limits of request bodies.
	Body Body `yaml:"body,omitempty"`
	// Limits of answers.
	Answer Answer `yaml:"answer,omitempty"`
	// Protocols that a client may change its connection to, such as websocket; left out: none.
	Upgrades []string `yaml:"upgrades,omitempty"`
	// The cookie whose value is the key of a request: requests with the same key go to the same of several pools. "obj"
	// if left out.
	KeyCookie string `yaml:"key_cookie,omitempty"`
}

// Body is what a request's body may take.
type Body struct {
	// Bytes at most; 1GiB if left out. More is answered 413.
	Max Size `yaml:"max,omitempty"`
	// How much is read before a node is taken, so that a slow client holds none; 1MiB if left out. What is whole within
	// it may be sent again where its class allows; of more, what has gone to a node is bound to that.
	Buffer Size `yaml:"buffer,omitempty"`
	// Within what time a body that goes on as it comes must have come; 1h if left out.
	Within Duration `yaml:"within,omitempty"`
}

// Answer is what an answer may take.
type Answer struct {
	// Bytes at most; 1024GiB if left out.
	Max Size `yaml:"max,omitempty"`
	// How long a node may say nothing in the middle of one; 30s if left out.
	Idle Duration `yaml:"idle,omitempty"`
	// How long one may go on; left out: as long as it takes.
	Total Duration `yaml:"total,omitempty"`
}

// Path is how a path is matched: at most one of the three.
type Path struct {
	// The whole path.
	Exact string `yaml:"exact,omitempty"`
	// The whole path, where {name} stands for any one segment.
	Pattern string `yaml:"pattern,omitempty"`
	// The first segments.
	Prefix string `yaml:"prefix,omitempty"`
}

// WeightedPool is a pool and its part of a route's requests.
type WeightedPool struct {
	Pool string `yaml:"pool"`
	// Part among the weights; 0: none.
	Weight int `yaml:"weight" jsonschema:"minimum=0"`
}
