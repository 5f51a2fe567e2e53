package state_test

import (
	"errors"
	"fmt"
	"time"

	"olivearch/internal/coordination/state"
)

// Two balancers lease units of one resource. All copies of the state that apply the same commands return the same
// results.
func ExampleState() {
	s := state.NewState()
	commands := []state.Command{
		&state.SetResource{Name: "connections", Limit: 100},
		&state.AcquireLease{Resource: "connections", Holder: "balancer-1", Units: 70, Duration: time.Minute},
		&state.AcquireLease{Resource: "connections", Holder: "balancer-2", Units: 40, Duration: time.Minute},
	}
	for i, command := range commands {
		revision := uint64(i + 1)
		clock := 1000 * revision // ms
		result, err := s.Apply(revision, clock, command)
		if err != nil {
			fmt.Println(err)
			return
		}
		switch err := result.Err(); {
		case errors.Is(err, state.ErrNoCapacity):
			fmt.Printf("%d free: %v\n", result.Free, err)
		case err != nil:
			fmt.Println(err)
		default:
			fmt.Printf("applied, fencing token %d\n", result.FencingToken)
		}
	}

	// Output:
	// applied, fencing token 0
	// applied, fencing token 2
	// 30 free: refused: of 100 parts of connections 30 are free, and 40 are asked
}
