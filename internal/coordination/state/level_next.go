//go:build nextlevel

package state

// NewestFeatureLevel is that of a version to come: builds with this tag stand for it, to show what an upgrade of all voters looks like while
// some of them do not know a kind of command yet.
const NewestFeatureLevel = 2

// Trial is a kind of command that only such a version knows. It changes nothing but the revision.
type Trial struct{ Text string }

func init() { known[1000] = func() Command { return new(Trial) } }

// Check implements Command.
func (c *Trial) Check() error { return checkName("text", c.Text) }

func (*Trial) apply(*State) Result { return Result{} }
func (*Trial) number() uint32      { return 1000 }
func (*Trial) level() uint32       { return 2 }
func (c *Trial) encode(w writer)   { w.String(1, c.Text) }

func (c *Trial) decode(f field) error {
	if f.Number == 1 {
		return f.Text(&c.Text, MaxName)
	}
	return nil
}
