//go:build nextlevel

package state

import "olivearch/internal/protomsg"

// NewestFeatureLevel is the feature level of a future version. Tests of rolling upgrades use builds with the tag
// nextlevel as that version: they know a kind of command that other voters do not know yet.
const NewestFeatureLevel = 2

const numberNextLevelCommand = 1000

// NextLevelCommand is a kind of command of feature level 2. It changes only the clock and the revision.
type NextLevelCommand struct{ Text string }

func init() { commandKinds[numberNextLevelCommand] = func() Command { return new(NextLevelCommand) } }

// Check implements Command.
func (c *NextLevelCommand) Check() error { return checkName("text", c.Text) }

func (*NextLevelCommand) apply(*State) Result { return Result{} }
func (*NextLevelCommand) number() uint32      { return numberNextLevelCommand }
func (*NextLevelCommand) level() uint32       { return 2 }

const fieldNextLevelCommandText = 1

func (c *NextLevelCommand) encode(w *protomsg.Writer) { w.String(fieldNextLevelCommandText, c.Text) }

func (c *NextLevelCommand) decode(field protomsg.Field) error {
	if field.Number == fieldNextLevelCommandText {
		return field.Text(&c.Text, MaxName)
	}
	return nil
}
