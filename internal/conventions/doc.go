// Package conventions holds tests of the rules that docs/ARCHITECTURE.md and docs/CONTRIBUTING.md state about the whole
// tree: which packages import which, what a balancer's program links, and the form of log messages.
package conventions
