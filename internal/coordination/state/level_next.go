//go:build nextlevel

package state

import "olivearch/internal/protomsg"

// NewestFeatureLevel is that of a version to come. Builds with this tag stand for one in tests of an upgrade, during
// which some voters do not know a kind of command yet.
const NewestFeatureLevel = 2

const numberTrial = 1000

// Trial is a kind of command that only such a version knows. It changes nothing but the clock and the revision.
type Trial struct{ Text string }

func init() { commandKinds[numberTrial] = func() Command { return new(Trial) } }

// Check implements Command.
func (c *Trial) Check() error { return checkName("text", c.Text) }

func (*Trial) apply(*State) Result { return Result{} }
func (*Trial) number() uint32      { return numberTrial }
func (*Trial) level() uint32       { return 2 }

const fieldTrialText = 1

func (c *Trial) encode(w *protomsg.Writer) { w.String(fieldTrialText, c.Text) }

func (c *Trial) decode(field protomsg.Field) error {
	if field.Number == fieldTrialText {
		return field.Text(&c.Text, MaxName)
	}
	return nil
}
