package admincmd

import (
	"fmt"
	"strings"
)

// Handler executes commands. Its methods may be called from many goroutines; each must return well within a second.
type Handler interface {
	// Status returns nil if this process is ready to serve, or else an error that says why not.
	Status() error
	// TakeOutOfService takes an upstream out of service until ReturnToService. Once it has returned nil, no new
	// request is sent there. An unknown id is an error. The note, if it is not empty, follows +OK in the answer.
	TakeOutOfService(id string) (note string, err error)
	// ReturnToService undoes TakeOutOfService, however often that was called.
	ReturnToService(id string) (note string, err error)
	// Standby drains the whole balancer.
	Standby() error
	// Active ends a drain.
	Active() error
}

// command is an entry of commands.
type command struct {
	argument string // name of the argument that it takes; empty if it takes none
	run      func(handler Handler, argument string) (note string, err error)
}

// commands has all commands by name. Operators' tools rely on the names and the answers, which must not change.
var commands = map[string]command{
	"status":    {run: withoutArgument(Handler.Status)},
	"maint-on":  {argument: "ID", run: Handler.TakeOutOfService},
	"maint-off": {argument: "ID", run: Handler.ReturnToService},
	"standby":   {run: withoutArgument(Handler.Standby)},
	"active":    {run: withoutArgument(Handler.Active)},
}

func withoutArgument(method func(Handler) error) func(Handler, string) (string, error) {
	return func(handler Handler, _ string) (string, error) { return "", method(handler) }
}

// execute executes the command on a line, and returns the answer without its line end. A line that is not a valid
// command is answered with -ERR and changes nothing.
func execute(handler Handler, line string) string {
	words := strings.Fields(line)
	if len(words) == 0 {
		return "-ERR no call"
	}
	name, arguments := words[0], words[1:]
	requested, ok := commands[name]
	if !ok {
		return fmt.Sprintf("-ERR there is no call %.40q", name)
	}
	wanted := 0
	if requested.argument != "" {
		wanted = 1
	}
	if len(arguments) < wanted {
		return fmt.Sprintf("-ERR %s wants %s", name, requested.argument)
	}
	if len(arguments) > wanted {
		return fmt.Sprintf("-ERR %s: %.40q is too much", name, arguments[wanted])
	}
	note, err := requested.run(handler, strings.Join(arguments, ""))
	if err != nil {
		return "-ERR " + oneLine(err.Error())
	}
	return strings.TrimSpace("+OK " + note)
}

// oneLine replaces line ends and other white space by single spaces, since an answer is one line.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
