package conventions

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logMessage is the form of a log message: lower-case letters, digits, spaces and hyphens, with a letter at both ends.
// Variable facts belong in the attributes.
var logMessage = regexp.MustCompile(`^[a-z][a-z0-9 -]*[a-z]$`)

// logKeys are the keys of log attributes. docs/operate/on-call.md describes them.
var logKeys = []string{
	"address", "after", "age", "answer", "arrived", "attempt", "attempts", "class", "classes", "cluster", "code", "config",
	"connection", "count", "endpoint", "endpoints", "err", "event", "failed_reads", "id", "idle", "kept", "kind",
	"late", "line", "lingers", "listen", "name", "newest", "overrides", "path", "pool", "pools", "previous", "reason",
	"received", "replaced", "reported", "request", "revision", "routes", "signal", "stack", "status", "suppressed", "term",
	"type",
	"unsolicited", "upstream", "use", "voters",
}

// uncheckedFolders are the folders whose log messages do not have this form yet. Folders are only removed from this
// list.
var uncheckedFolders = []string{
	"benchmarks", "internal/demo", "internal/experiment", "internal/faulttest", "internal/standin",
}

// logWriter is the file that writes the log lines which a pool's event loop has queued. It is not checked, as the calls
// of logInfo and trace that queue these lines are.
const logWriter = "internal/pool/log.go"

// logCalls are the functions of log/slog that write a log line.
var logCalls = []string{"Debug", "Info", "Warn", "Error"}

func TestLogMessagesAndKeys(t *testing.T) {
	checked := 0
	for _, folder := range []string{"balancer", "benchmarks", "cmd", "internal"} {
		walkSources(t, filepath.Join("..", "..", folder), func(path string) {
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			constants := stringConstants(file)
			ast.Inspect(file, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok {
					return true
				}
				if arguments, ok := logArguments(call); ok {
					checked++
					checkLogCall(t, path, arguments, constants)
				}
				return true
			})
		})
	}
	if checked == 0 {
		t.Error("no log call was found")
	}
}

// walkSources calls visit for each Go file below a folder, except tests, logWriter and files in uncheckedFolders.
func walkSources(t *testing.T, folder string, visit func(path string)) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := strings.TrimPrefix(filepath.ToSlash(path), "../../")
		if entry.IsDir() {
			if slices.Contains(uncheckedFolders, name) {
				return fs.SkipDir
			}
			return nil
		}
		if strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, "_test.go") && name != logWriter {
			visit(path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// stringConstants returns the string constants that a file declares, by name.
func stringConstants(file *ast.File) map[string]string {
	constants := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Names) != len(spec.Values) {
			return true
		}
		for i, name := range spec.Names {
			if text, ok := literal(spec.Values[i]); ok {
				constants[name.Name] = text
			}
		}
		return true
	})
	return constants
}

// literal returns the value of a string literal, and false for any other expression.
func literal(expression ast.Expr) (string, bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(basic.Value)
	return text, err == nil
}

// logArguments returns the message and the attributes of a call that writes a log line with a function of slog, or
// queues one with logInfo or trace; ok is false for any other call.
func logArguments(call *ast.CallExpr) (arguments []ast.Expr, ok bool) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return nil, false
	}
	switch selector.Sel.Name {
	case "logInfo":
		return call.Args, true
	case "trace":
		return call.Args[1:], true // after the limit
	}
	receiver, ok := selector.X.(*ast.Ident)
	return call.Args, ok && receiver.Name == "slog" && slices.Contains(logCalls, selector.Sel.Name)
}

// checkLogCall checks the message and the keys of a log call. A message may be a constant of the file.
func checkLogCall(t *testing.T, path string, arguments []ast.Expr, constants map[string]string) {
	t.Helper()
	message, ok := literal(arguments[0])
	if name, isName := arguments[0].(*ast.Ident); isName {
		message, ok = constants[name.Name]
	}
	if !ok {
		t.Errorf("%s: the message of a log call is not a constant of its file", path)
		return
	}
	if !logMessage.MatchString(message) {
		t.Errorf("%s: log message %q is not of the form %s", path, message, logMessage)
	}
	for i := 1; i < len(arguments); i += 2 {
		key, ok := literal(arguments[i])
		if !ok {
			t.Errorf("%s: log message %q: a key is not a string literal", path, message)
		} else if !slices.Contains(logKeys, key) {
			t.Errorf("%s: log message %q: the key %q is not in logKeys and on-call.md", path, message, key)
		}
	}
}
