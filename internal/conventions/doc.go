// Package conventions has only tests. They check rules of docs/ARCHITECTURE.md and docs/CONTRIBUTING.md that hold for
// all packages: which packages may import which, which packages the balancer's program links, and the form of log
// messages.
package conventions
