// Package membership decides which members the coordination cluster has: when servers bootstrap a new cluster, and
// which voters and learners the leader adds, promotes, replaces or removes. Coordination servers call it and carry out
// its decisions. The package itself does no I/O, reads no clock and starts no goroutines.
//
// A member is one incarnation of a data folder. A server that lost its data folder no longer knows its earlier votes,
// and could vote twice in a term if it kept its member id. It therefore joins under a new id, and a change that a
// quorum agrees to replaces the earlier member.
package membership
