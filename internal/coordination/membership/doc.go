// Package membership decides who the voters of the coordination cluster are: when a new cluster is started, and how a
// voter whose disk was lost is replaced. It has no I/O, clock or goroutine: a View of what the leader knows comes in,
// and one Change comes out.
//
// A voter is one incarnation of a data folder. A server whose folder is empty has forgotten what it voted for, and
// must not vote as the member that it was: it gets another id, and takes the place of the earlier one by a change
// that a quorum agrees to.
package membership
