//go:build review

// Command restored-cluster: after the coordination servers have lost their folders and operators have restored a
// snapshot, maint-on at a balancer is answered +OK, and the upstream goes on getting requests from that very balancer.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"olivearch/review/stand"
)

const (
	earlier = 20              // pairs of commands that operators have given before
	slack   = time.Second     // for this machine
	watched = 8 * time.Second // how long requests are sent after the +OK
)

func main() { stand.Main(run) }

func run(w *stand.World) (int, error) {
	if err := w.StartFleet(3, 20*time.Millisecond); err != nil {
		return 0, err
	}
	names := []string{"k1", "k2", "k3"}
	cluster, err := w.StartCluster(names...)
	if err != nil {
		return 0, err
	}
	promises := filepath.Join(w.Folder, "promises.yaml")
	text := fmt.Sprintf("voters: {%s}\nwithin: 1s\n", cluster.Voters(": ", nil))
	if err := os.WriteFile(promises, []byte(text), 0o600); err != nil {
		return 0, err
	}
	config, err := w.Config("n1", w.Listen, w.Discovery.Address, w.Discovery.List())
	if err != nil {
		return 0, err
	}
	_, management, err := w.StartBalancer("n1", config, "RELAY_PROMISES="+promises)
	if err != nil {
		return 0, err
	}
	client := stand.NewClient(w.Record, "1", w.Listen)
	send(client, time.Second)

	other := w.Upstreams[2]
	for range earlier { // operators have worked with the cluster for a while
		for _, command := range []string{"maint-on ", "maint-off "} {
			if answer := stand.Command(management, command+other.ID); !strings.HasPrefix(answer, "+OK held by") {
				return 0, fmt.Errorf("%s%s: %s", command, other.ID, answer)
			}
		}
	}
	if _, err := cluster.Promises("set", "share", other.ID, "900"); err != nil {
		return 0, err
	}
	snapshot := filepath.Join(w.Folder, "snapshot")
	if _, err := cluster.Promises("snapshot", snapshot); err != nil {
		return 0, err
	}

	if w.Trouble { // all machines of the cluster are lost with their disks; operators start empty ones, and restore
		for _, name := range names {
			w.Signal(cluster.Server(name), syscall.SIGKILL)
			<-cluster.Server(name).Ended()
			if err := os.RemoveAll(filepath.Join(w.Folder, "data-"+name)); err != nil {
				return 0, err
			}
		}
		w.Line("the machines of k1, k2 and k3 are lost with their disks; three empty ones are started")
		time.Sleep(time.Second)
		for _, name := range names {
			if err := cluster.StartServer(name); err != nil {
				return 0, err
			}
		}
		if err := cluster.AwaitMembers(len(names), 20*time.Second); err != nil {
			return 0, err
		}
		if _, err := cluster.Promises("restore", snapshot); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * time.Second)
	send(client, time.Second)

	out := w.Upstreams[0]
	answer := stand.Command(management, "maint-on "+out.ID)
	w.Line("operator: maint-on %s at n1: %s", out.ID, answer)
	if !strings.HasPrefix(answer, "+OK held by") {
		return 0, fmt.Errorf("maint-on was not confirmed: %s", answer)
	}
	confirmed := time.Now()
	send(client, slack+watched)
	cluster.Promises("list")
	cluster.Promises("members")

	late := out.Arrivals(confirmed.Add(slack))
	for _, arrival := range late {
		w.Line("request %s began at %s %v after the +OK", arrival.ID, out.ID, arrival.At.Sub(confirmed).Round(time.Millisecond))
	}
	if len(late) > 0 {
		w.Say("BROKEN: %q to maint-on %s at n1; from %v after that on, n1 sent %d requests there in %v",
			answer, out.ID, slack, len(late), watched)
		return stand.RuleBroken, nil
	}
	w.Say("held: %q to maint-on %s at n1, and from %v after that on no request was sent there", answer, out.ID, slack)
	return stand.RuleHeld, nil
}

func send(client *stand.Client, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client.Send(0, time.Second)
	}
}
