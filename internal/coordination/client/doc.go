// Package client is how processes talk to the servers of the coordination cluster: the frames and messages on a
// connection, a Client that proposes commands and reads the state, and a Follower that keeps a copy of the state for a
// process that serves by it. Package server uses the same frames and messages.
//
// A connection carries frames (see WriteFrame) with one message each, in the wire format of Protocol Buffers. Whoever
// opens it sends a Hello, which states the connection's Role, and the server answers with a Welcome. Then a client
// sends Requests and gets Responses, also of later requests before those of earlier ones; a follower gets Updates and
// sends pings.
//
// The package decides nothing and stores nothing but a follower's copy.
package client
