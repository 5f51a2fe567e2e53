// Package proxy routes requests from the client connections of package frontend to pools of upstreams, and holds the
// balancer that a platform runs as one process.
//
// There are two routers. platformRouter has one pool and the request forms of the platform's protocol; RouteTable has
// many pools, found by a request's route. Balancer puts a client server, a platformRouter and its pool together. It
// carries out operators' commands, applies the overrides that all balancers share, and takes over from an old process
// of the same balancer or hands over to a new one.
//
// The package decides nothing about attempts: which upstream a request is sent to, and whether it is sent again, is up
// to package balancer.
package proxy
