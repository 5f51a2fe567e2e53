// Package client is the client side of the coordination cluster's protocol: the frames and messages on a connection, a
// Client that proposes commands and reads the state, and a Follower that keeps a copy of the state. Balancers and the
// commands of "olivearch promises" use Client and Follower; package server uses the same frames and messages.
//
// A connection carries frames (see WriteFrame) with one message each, in the wire format of Protocol Buffers. The
// process that opens a connection sends a Hello with the connection's Role, and the server answers with a Welcome. A
// client then sends Requests and receives Responses, possibly in another order. A follower receives Updates and sends
// pings.
//
// The package does not decide on grants, and stores nothing but a follower's copy.
package client
