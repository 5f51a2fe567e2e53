// Package config reads, checks and reloads the configuration file of "olivearch serve", and the files of the
// coordination servers and of their clients. It estimates the memory and file descriptors that a configuration needs,
// and converts it to the settings of each pool's decision module. The commands, internal/service and internal/proxy use
// it; it neither watches files nor opens connections.
//
// An error about the content of a file joins values of type strictyaml.Error, each with file, line, column and key.
// errors.As finds the first of them.
//
// The doc comments of the types with yaml tags are the descriptions of docs/*.schema.json: see the command in schema.
package config

import (
	"olivearch/internal/endpointlist"
)

// File is the configuration of one process.
type File struct {
	// Addresses at which clients connect.
	Listeners []Listener `yaml:"listeners"`
	// The listener for operators, with the live view and the metrics; none if left out.
	Admin *Admin `yaml:"admin,omitempty"`
	// Limits of the whole process.
	Limits Limits `yaml:"limits,omitempty"`
	// The number of olivearch processes that share the endpoints, and the place of this one among them.
	Instances Instances `yaml:"instances,omitempty"`
	// Classes of requests, by name.
	Classes map[string]Class `yaml:"classes"`
	// Tenants, by the name in X-Tenant.
	Tenants map[string]Tenant `yaml:"tenants,omitempty"`
	// Factor on the priority weight of requests over their tenant's quota, from 0 to 1; 0.1 if left out.
	OverQuotaWorth *float64 `yaml:"over_quota_worth,omitempty"`
	// Drain and slow-start rules of all endpoints.
	Rules Rules `yaml:"rules,omitempty"`
	// Groups of endpoints that serve the same requests, by name.
	Pools map[string]Pool `yaml:"pools"`
	// Rules that choose a pool for each request.
	Routes []Route `yaml:"routes"`
	// The coordination cluster that this process is a client of; none if left out.
	Promises *Promises `yaml:"promises,omitempty"`
}

// Listener is an address at which clients connect.
type Listener struct {
	// Name of the listener in the log; its address if left out.
	Name string `yaml:"name,omitempty"`
	// IP address and port.
	Address string `yaml:"address"`
	// Maximum number of client connections; if left out, half the descriptors divided by the number of listeners.
	Connections int `yaml:"connections,omitempty" jsonschema:"minimum=1"`
	// Maximum size of a request's head; 16KiB if left out.
	Head Size `yaml:"head,omitempty"`
	// Time within which the whole head of a request must arrive; 10s if left out.
	Within Duration `yaml:"within,omitempty"`
	// Minimum rate of a request body, per second; a slower upload is aborted. 8KiB if left out.
	Rate Size `yaml:"rate,omitempty"`
}

// Admin is the listener for operators.
type Admin struct {
	// IP address and port. Only loopback addresses are accepted unless open is set.
	Address string `yaml:"address"`
	// Allows an address that is not loopback. The live view has no authentication.
	Open bool `yaml:"open,omitempty"`
}

// Limits bounds what the process may use.
type Limits struct {
	// Memory; 192MiB if left out.
	Memory Size `yaml:"memory,omitempty"`
	// File descriptors; 1,024 if left out.
	Descriptors int `yaml:"descriptors,omitempty" jsonschema:"minimum=64"`
	// Maximum number of connections to one endpoint from all pools of this process; 64 if left out.
	NodeConnections int `yaml:"node_connections,omitempty" jsonschema:"minimum=1"`
	// Memory for the buffered request bodies of all requests; an eighth of the memory if left out.
	Bodies Size `yaml:"bodies,omitempty"`
}

// Instances describes the olivearch processes that share the endpoints. They do not communicate with each other.
type Instances struct {
	// Number of processes; 1 if left out.
	Count int `yaml:"count,omitempty" jsonschema:"minimum=1"`
	// Index of this process, from 0 to count - 1.
	Rank int `yaml:"rank,omitempty" jsonschema:"minimum=0"`
	// Zone of this process.
	Zone string `yaml:"zone,omitempty"`
}

// Class is a class of requests.
type Class struct {
	// Whether a request may be executed more than once: safe (idempotent), keyed (idempotent with an Idempotency-Key, by
	// which endpoints recognise repeats and drop them) or unsafe (not idempotent). unsafe if left out.
	Repeat string `yaml:"repeat,omitempty" jsonschema:"enum=safe,enum=keyed,enum=unsafe"`
	// For keyed classes: the scope within which endpoints drop each other's repeats: all endpoints, one zone or one cell.
	// all if left out.
	Group string `yaml:"group,omitempty" jsonschema:"enum=all,enum=zone,enum=cell"`
	// For keyed classes: the deduplication window, which is how long endpoints remember a key.
	Memory Duration `yaml:"memory,omitempty"`
	// Latency objective: responses within this time count with the full priority weight.
	Aim Duration `yaml:"aim"`
	// Maximum time that clients wait for a response. A shorter X-Deadline-Ms of the request or a shorter deadline of the
	// route takes precedence.
	Deadline Duration `yaml:"deadline"`
	// Priority weight, relative to other classes; 1 if left out.
	Worth *float64 `yaml:"worth,omitempty"`
	// Factor on the priority weight for responses between aim and deadline, from 0 to 1.
	LateWorth float64 `yaml:"late_worth,omitempty" jsonschema:"minimum=0,maximum=1"`
}

// Tenant is a customer with a quota.
type Tenant struct {
	// Requests a second in each pool, over all instances.
	Quota float64 `yaml:"quota" jsonschema:"minimum=0"`
}

// Rules are the drain and slow-start rules.
type Rules struct {
	// Time after the announcement of a drain from which the endpoint must get no new requests; 1s if left out. The
	// balancer stops sending them as soon as it learns of the drain.
	DrainGrace Duration `yaml:"drain_grace,omitempty"`
	// Share of its capacity that an endpoint has right after its start; 0.33 if left out.
	ColdFrom float64 `yaml:"cold_from,omitempty" jsonschema:"exclusiveMinimum=0,maximum=1"`
	// Time from its start until an endpoint is warm; 9s if left out.
	RampTime Duration `yaml:"ramp_time,omitempty"`
	// Multiple of its current capacity above which an endpoint that is warming up fails, if the load lasts for tip_after;
	// 3 if left out.
	TipMultiple float64 `yaml:"tip_multiple,omitempty"`
	// Time for which the load must exceed tip_multiple; 1.5s if left out.
	TipAfter Duration `yaml:"tip_after,omitempty"`
}

// Pool is a group of endpoints with a decision module, a goroutine and limits of its own.
type Pool struct {
	// Source of the endpoint list.
	Nodes NodeSource `yaml:"nodes"`
	// Maximum number of connections to all its endpoints together; if left out, the descriptors that listeners don't use
	// are divided evenly among the pools.
	Connections int `yaml:"connections,omitempty" jsonschema:"minimum=1"`
	// Maximum number of requests in the pool, in flight or queued; further requests are rejected immediately. If left out,
	// the smallest listener's connections are divided evenly among the pools.
	Queue int `yaml:"queue,omitempty" jsonschema:"minimum=1"`
	// Weight of this pool against other pools of the process that list the same endpoint, when they divide the endpoint's
	// connections and its capacity while it is warming up; 1 if left out.
	Share float64 `yaml:"share,omitempty" jsonschema:"exclusiveMinimum=0"`
	// Endpoint lists that can drain an endpoint of this pool: any (every list of this process that has the endpoint) or
	// own (only this pool's list, for moving endpoints to another pool by draining them in this one). any if left out.
	Drains string `yaml:"drains,omitempty" jsonschema:"enum=any,enum=own"`
	// When a connection stays unused for a while between two requests, or is closed. HTTP/1.1 responses do not name their
	// request, so a late duplicate of a response would pass for the response to the next request. The pause is 1ms as long
	// as every response on the connection would be recognised by its body if it came again, and 100ms after a rejection or
	// an error; any other connection is closed. always, or after_stray: after responses that were passed on, only in the
	// minute after an endpoint of the pool has sent unsolicited bytes. after_stray if left out.
	Rest string `yaml:"rest,omitempty" jsonschema:"enum=always,enum=after_stray"`
	// How endpoints report their load: answers (an X-Load field in responses), probes (GET /load) or none. answers if left
	// out.
	Reports string `yaml:"reports,omitempty" jsonschema:"enum=answers,enum=probes,enum=none"`
	// Time within which a connection must be established; 500ms if left out.
	ConnectTimeout Duration `yaml:"connect_timeout,omitempty"`
	// How long endpoints keep an idle connection open; the balancer closes it a few seconds earlier. 60s if left out.
	IdleTimeout Duration `yaml:"idle_timeout,omitempty"`
	// Maximum number of attempts for a request, which are made one after another; 3 if left out.
	MaxAttempts int `yaml:"max_attempts,omitempty" jsonschema:"minimum=1"`
	// Maximum Retry-After of rejected requests; 5s if left out.
	MaxRetryAfter Duration `yaml:"max_retry_after,omitempty"`
	// Limits of tunnels: connections that have changed their protocol, such as WebSocket.
	Tunnels Tunnels `yaml:"tunnels,omitempty"`
}

// Tunnels are the limits of connections that have changed their protocol. They also count as connections to their
// endpoint.
type Tunnels struct {
	// Maximum number in the pool; half its connections if left out.
	Most int `yaml:"most,omitempty" jsonschema:"minimum=1"`
	// Maximum number to one endpoint; half of node_connections if left out.
	PerNode int `yaml:"per_node,omitempty" jsonschema:"minimum=1"`
	// Idle timeout: a tunnel is closed after this time without data in either direction; 10m if left out.
	Idle Duration `yaml:"idle,omitempty"`
	// Maximum duration of a tunnel; unlimited if left out.
	Total Duration `yaml:"total,omitempty"`
	// Time that a tunnel has to end once its endpoint is draining, its route is removed or the process stops; 10s if left
	// out.
	Grace Duration `yaml:"grace,omitempty"`
}

// NodeSource is the source of an endpoint list: exactly one of file, static and discovery.
type NodeSource struct {
	// A file with the list, read again whenever it changes. A relative path starts at the configuration's folder.
	File string `yaml:"file,omitempty"`
	// The list itself.
	Static []endpointlist.Node `yaml:"static,omitempty"`
	// IP address and port of a discovery service.
	Discovery string `yaml:"discovery,omitempty"`
	// For discovery: a file that caches the last list, for a process that starts while discovery is down. A relative path
	// starts at the configuration's folder. The file is read when the pool starts.
	Keep string `yaml:"keep,omitempty"`
	// How long the last list is used while its source fails; after that the pool rejects all requests. Unlimited if left
	// out. The live view shows the age of the list.
	Hold Duration `yaml:"hold,omitempty"`
}

// Route sends requests to pools.
type Route struct {
	// Name of the route.
	Name string `yaml:"name"`
	// Host names, or suffixes such as "*.example.org"; any if left out.
	Hosts []string `yaml:"hosts,omitempty"`
	// Paths; any if left out.
	Path Path `yaml:"path,omitempty"`
	// Methods; any if left out.
	Methods []string `yaml:"methods,omitempty"`
	// Header fields that a request must have exactly once, with exactly these values.
	Headers map[string]string `yaml:"headers,omitempty"`
	// The class that a request must name in X-Class to match. If left out, requests match with and without X-Class.
	RequestClass string `yaml:"request_class,omitempty"`
	// The class of its requests. A request that names another class in X-Class is rejected.
	Class string `yaml:"class"`
	// Shortens the class's deadline; a shorter deadline of the request takes precedence.
	Deadline Duration `yaml:"deadline,omitempty"`
	// The pool, if there is only one.
	Pool string `yaml:"pool,omitempty"`
	// Several pools with weights, for shifting traffic gradually from one to another.
	Pools []WeightedPool `yaml:"pools,omitempty"`
	// Limits of request bodies.
	Body Body `yaml:"body,omitempty"`
	// Limits of responses.
	Answer Answer `yaml:"answer,omitempty"`
	// Protocols to which a client may upgrade its connection, such as websocket; none if left out.
	Upgrades []string `yaml:"upgrades,omitempty"`
	// The cookie whose value is the routing key of a request: of several pools, requests with the same key get the same
	// one. "obj" if left out.
	KeyCookie string `yaml:"key_cookie,omitempty"`
}

// Body holds the limits of request bodies.
type Body struct {
	// Maximum size; 1GiB if left out. A request with a larger body is answered with 413.
	Max Size `yaml:"max,omitempty"`
	// How much of a body is buffered before an attempt begins, so that a slow client occupies no endpoint; 1MiB if left
	// out. A request whose body fits in the buffer can be retried if its class allows; a larger body is streamed, and
	// can't be sent to another endpoint once its transmission has begun.
	Buffer Size `yaml:"buffer,omitempty"`
	// Time within which a streamed body must arrive; 1h if left out.
	Within Duration `yaml:"within,omitempty"`
}

// Answer holds the limits of responses.
type Answer struct {
	// Maximum size of a response body; 1024GiB if left out.
	Max Size `yaml:"max,omitempty"`
	// Maximum time without data in the middle of a response; 30s if left out.
	Idle Duration `yaml:"idle,omitempty"`
	// Maximum duration of a response; unlimited if left out.
	Total Duration `yaml:"total,omitempty"`
}

// Path is a condition on the path of a request: at most one of exact, pattern and prefix.
type Path struct {
	// The whole path.
	Exact string `yaml:"exact,omitempty"`
	// The whole path, in which {name} matches any one segment that is not empty.
	Pattern string `yaml:"pattern,omitempty"`
	// The first segments of the path.
	Prefix string `yaml:"prefix,omitempty"`
}

// WeightedPool is a pool and its share of a route's requests.
type WeightedPool struct {
	Pool string `yaml:"pool"`
	// Share of the requests, relative to the weights of the route's other pools; none if 0.
	Weight int `yaml:"weight" jsonschema:"minimum=0"`
}
