// Package pool forwards requests to the endpoints of one service. internal/service and internal/proxy create pools;
// internal/proxy submits requests to them. The package carries out the decisions of a balancer.Balancer (which endpoint
// gets an attempt, when to retry, what to reject) and makes none of these decisions itself.
//
// Each Pool has an event loop (loop.go): one goroutine that owns the balancer and all mutable state and blocks only
// while it waits for the next event or timer. An event is a type named after an occurrence (requestArrived,
// attemptFinished, endpointsUpdated) and reaches the loop through a mailbox. Endpoint lists, allotments and commands of
// operators are urgent events, which the loop handles before all others.
//
// The state machines are kept apart from the code that acts on them:
//
//   - requests: request_state.go
//   - attempts (an attempt is one try of a request at one endpoint): attempt_state.go
//   - connections after use: connection.go
//   - endpoints: endpoint_state.go
//   - a loop without events to handle: idle_decision.go
//
// Each connection has a goroutine of its own, which writes requests and reads responses. One EndpointRegistry per
// process divides each endpoint that several pools list among them.
package pool
