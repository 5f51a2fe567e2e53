// Package pool runs a balancer for the endpoints of one service. It carries out what the balancer decides, and takes no
// decision of its own about requests.
//
// A Pool has an event loop (loop.go): one goroutine that owns the balancer and all state, and never blocks but for the
// next event. Events are types named by what has happened (requestArrived, attemptFinished, endpointsUpdated), and come
// through a mailbox; those that change what may be sent go before all others.
//
// The states stand in one place each, apart from the code that acts on them:
//
//   - of a request in request_state.go,
//   - of an attempt, one try of a request at one endpoint, in attempt_state.go,
//   - of a connection after use in connection.go,
//   - of an endpoint in endpoint_state.go,
//   - of a loop that has nothing to do in idle_decision.go.
//
// Beside the loops there are the goroutines of connections, which write requests and read responses, and an
// EndpointRegistry for the process, which divides endpoints that several pools list.
package pool
