//go:build review

// Command stand2 plays the cases 6 to 10 of the review: it starts the project's programs as processes, is their
// clients, upstreams and discovery, and judges one rule. Each run.sh of a case calls it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// maxRun ends a case that hangs.
const maxRun = 110 * time.Second

// playFunc plays a case. It returns what broke the rule, one line each, or an error if the case could not run.
type playFunc func(s *stage) (breaks []string, err error)

var plays = map[string]playFunc{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

// run plays a case, with record.txt in the folder, and returns the exit status.
func run(play playFunc, folder string) int {
	played, err := newStage(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer played.close()
	giveUp := func(reason string) {
		played.note("%s", reason)
		played.end()
		played.close()
		os.Exit(couldNot)
	}
	defer time.AfterFunc(maxRun, func() { giveUp("the case hangs and is ended") }).Stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ended
		giveUp("the case is ended by a signal")
	}()
	breaks, err := play(played)
	played.end()
	if err != nil {
		played.note("the case could not run: %v", err)
		return couldNot
	}
	for _, line := range breaks {
		played.note("BROKEN: %s", line)
	}
	if len(breaks) > 0 {
		return ruleBroken
	}
	played.note("the rule held")
	return ruleHeld
}
