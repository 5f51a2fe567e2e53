// Package proxy routes requests from the client connections of package frontend to the pools of package pool.
//
// It has two routers. RouteTable, which package service uses, has many pools and chooses one by a request's route.
// platformRouter has one pool and accepts the requests of the platform's protocol.
//
// Balancer is the balancer that cmd/olivearch runs as one process for a platform: a frontend server, a platformRouter
// and its pool. It executes operators' commands and applies the overrides that all balancers share. In a hot restart it
// takes over from an old process of the same balancer, or hands over to a new one.
//
// The package decides nothing about attempts: package balancer chooses the upstream of each attempt, and decides
// whether a request is retried.
package proxy
