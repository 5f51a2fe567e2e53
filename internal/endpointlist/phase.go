package endpointlist

// Phase is what a list says about the lifecycle of a node.
type Phase string

// The phases of a listed node. A node that is no longer listed is removed.
const (
	PhaseUp       Phase = "up"
	PhaseDraining Phase = "draining" // finishes its requests in flight and gets no new ones
)
