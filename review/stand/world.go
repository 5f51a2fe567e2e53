//go:build review

package stand

import (
	"fmt"
	"os"
	"time"
)

// The exit statuses of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	CouldNot   = 2
)

// Main runs a case: the root of the project and the path of record.txt are its arguments. It exits with the status that
// the case returns, and with CouldNot if that returns an error. With TROUBLE=0 the case leaves out the disruption.
func Main(run func(w *World) (status int, err error)) {
	if len(os.Args) != 3 {
		fmt.Println("arguments: ROOT RECORD")
		os.Exit(CouldNot)
	}
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(CouldNot)
	}
	platform, err := NewPlatform(record, os.Args[1])
	if err != nil {
		record.Say("could not run: %v", err)
		os.Exit(CouldNot)
	}
	world := &World{Record: record, Platform: platform, Trouble: os.Getenv("TROUBLE") != "0"}
	record.Line("trouble: %v", world.Trouble)
	status, err := run(world)
	platform.Close()
	if err != nil {
		status = CouldNot
		record.Say("could not run: %v", err)
	}
	record.Close()
	os.Exit(status)
}

// World is what a case runs in.
type World struct {
	*Record
	*Platform
	Trouble   bool
	Upstreams []*Upstream
	Discovery *Discovery
	Listen    string // of the balancer
}

// StartFleet starts upstreams s-00000001 and on, and discovery that lists them.
func (w *World) StartFleet(count int, work time.Duration) error {
	var members []Member
	for i := range count {
		id := fmt.Sprintf("s-%08x", i+1)
		upstream, err := StartUpstream(w.Record, id, work)
		if err != nil {
			return err
		}
		w.Upstreams = append(w.Upstreams, upstream)
		members = append(members, Member{
			ID: id, HostPort: upstream.Address, Locality: "baires", Flavor: "c2-full", Cell: 1, Phase: "up", Size: 1,
		})
	}
	var err error
	w.Discovery, err = StartDiscovery(w.Record, members)
	w.Listen = FreeAddress()
	return err
}

// StartBalancer starts a process of the balancer with a management address of its own, as docs/operate/on-call.md
// says, and waits until that answers status with +OK.
func (w *World) StartBalancer(process, config string, env ...string) (started *Process, management string, err error) {
	management = FreeAddress()
	env = append(env, "RELAY_CONFIG="+config, "RELAY_MANAGEMENT="+management, "TMPDIR="+w.Folder)
	started, err = w.Balancer(process, env...)
	if err != nil {
		return nil, "", err
	}
	if !AwaitStatus(management, 20*time.Second) {
		return nil, "", fmt.Errorf("%s is not ready: %s", process, w.Log(process))
	}
	w.Line("platform: %s answers status with +OK", process)
	return started, management, nil
}
