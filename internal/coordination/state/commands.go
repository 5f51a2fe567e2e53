package state

import "errors"

// Command is a change to the state. Each type of this package that implements it is a kind of command.
type Command interface {
	// Check returns an error if the command is invalid in any state.
	Check() error
	// apply changes the state, or returns a rejection and leaves the state unchanged. The command has passed Check.
	apply(state *State) Result
	// number identifies the kind in messages and log entries. It is never reused for another kind.
	number() uint32
	// level is the feature level that introduced the kind.
	level() uint32
	commandCodec
}

// Numbers of the kinds of command. 13 to 19 are reserved for the outcomes of requests with an idempotency key.
const (
	numberSetOverride       = 1
	numberClearOverride     = 2
	numberSetResource       = 3
	numberAcquireLease      = 4
	numberReleaseLease      = 5
	numberReserve           = 6
	numberRaiseFeatureLevel = 7
	numberAddVoter          = 8
	numberRemoveVoter       = 9
	numberAdvanceClock      = 10
	numberRegisterMember    = 11
	numberUnregisterMember  = 12
)

func (*SetOverride) number() uint32       { return numberSetOverride }
func (*ClearOverride) number() uint32     { return numberClearOverride }
func (*SetResource) number() uint32       { return numberSetResource }
func (*AcquireLease) number() uint32      { return numberAcquireLease }
func (*ReleaseLease) number() uint32      { return numberReleaseLease }
func (*Reserve) number() uint32           { return numberReserve }
func (*RaiseFeatureLevel) number() uint32 { return numberRaiseFeatureLevel }
func (*AddVoter) number() uint32          { return numberAddVoter }
func (*RemoveVoter) number() uint32       { return numberRemoveVoter }
func (*AdvanceClock) number() uint32      { return numberAdvanceClock }
func (*RegisterMember) number() uint32    { return numberRegisterMember }
func (*UnregisterMember) number() uint32  { return numberUnregisterMember }

// initialFeatureLevel is the feature level of a new state and of the commands of the first version.
const initialFeatureLevel = 1

func (*SetOverride) level() uint32       { return initialFeatureLevel }
func (*ClearOverride) level() uint32     { return initialFeatureLevel }
func (*SetResource) level() uint32       { return initialFeatureLevel }
func (*AcquireLease) level() uint32      { return initialFeatureLevel }
func (*ReleaseLease) level() uint32      { return initialFeatureLevel }
func (*Reserve) level() uint32           { return initialFeatureLevel }
func (*RaiseFeatureLevel) level() uint32 { return initialFeatureLevel }
func (*AddVoter) level() uint32          { return initialFeatureLevel }
func (*RemoveVoter) level() uint32       { return initialFeatureLevel }
func (*AdvanceClock) level() uint32      { return initialFeatureLevel }
func (*RegisterMember) level() uint32    { return initialFeatureLevel }
func (*UnregisterMember) level() uint32  { return initialFeatureLevel }

// commandKinds holds a constructor for each kind of command that this version knows, by number.
var commandKinds = map[uint32]func() Command{
	numberSetOverride:       func() Command { return new(SetOverride) },
	numberClearOverride:     func() Command { return new(ClearOverride) },
	numberSetResource:       func() Command { return new(SetResource) },
	numberAcquireLease:      func() Command { return new(AcquireLease) },
	numberReleaseLease:      func() Command { return new(ReleaseLease) },
	numberReserve:           func() Command { return new(Reserve) },
	numberRaiseFeatureLevel: func() Command { return new(RaiseFeatureLevel) },
	numberAddVoter:          func() Command { return new(AddVoter) },
	numberRemoveVoter:       func() Command { return new(RemoveVoter) },
	numberAdvanceClock:      func() Command { return new(AdvanceClock) },
	numberRegisterMember:    func() Command { return new(RegisterMember) },
	numberUnregisterMember:  func() Command { return new(UnregisterMember) },
}

// IsServerOnly reports whether only coordination servers may propose a command. They do not accept it from clients.
func IsServerOnly(command Command) bool {
	switch command.(type) {
	case *RaiseFeatureLevel, *AdvanceClock, *RegisterMember, *UnregisterMember:
		return true
	}
	return false
}

// RaiseFeatureLevel raises the feature level to To, so that commands up to that level are applied. The leader proposes
// it once all members know the level. The level never falls.
type RaiseFeatureLevel struct{ To uint32 }

// Check implements Command.
func (c *RaiseFeatureLevel) Check() error {
	if c.To == 0 {
		return errors.New("level: over 0")
	}
	return nil
}

func (c *RaiseFeatureLevel) apply(state *State) Result {
	state.featureLevel = max(state.featureLevel, c.To)
	return Result{}
}

// AdvanceClock changes only the clock, so that entries expire while no other command is proposed.
type AdvanceClock struct{}

// Check implements Command.
func (*AdvanceClock) Check() error { return nil }

func (*AdvanceClock) apply(*State) Result { return Result{} }
