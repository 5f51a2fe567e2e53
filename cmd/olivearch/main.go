// Command olivearch is a load balancer for fleets of HTTP servers. "olivearch serve" runs a configuration file. Without
// arguments, the program is configured by a platform through the RELAY_ environment variables.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
)

// Exit statuses of the program; 0 is success.
const (
	exitFailure = 1
	exitUsage   = 2
)

// errUsage is wrapped by errors about the arguments: the program prints a hint at --help and exits with exitUsage.
var errUsage = errors.New("wrong usage")

func main() {
	err := dispatch(os.Args[1:], os.Stdout)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return
	}
	fmt.Fprintln(os.Stderr, "olivearch:", err)
	if errors.Is(err, errUsage) {
		fmt.Fprintln(os.Stderr, `Run "olivearch --help" for the commands.`)
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

// shortRevisionLength is the number of digits to which version shortens a commit's hash.
const shortRevisionLength = 12

// version returns the version that the build has recorded, or the commit of a development build, with the Go release.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	name := info.Main.Version
	for _, setting := range info.Settings {
		isRevision := setting.Key == "vcs.revision" && len(setting.Value) >= shortRevisionLength
		if isRevision && name == "(devel)" {
			name = setting.Value[:shortRevisionLength]
		}
	}
	return name + " " + info.GoVersion
}
