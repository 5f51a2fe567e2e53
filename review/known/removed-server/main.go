//go:build review

// Command removed-server: a balancer that follows a coordination server which operators have removed from the cluster never
// learns of an override that the cluster has confirmed.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"olivearch/review/stand"
)

const (
	known   = time.Second     // within which connected balancers have a confirmed override (docs/operate/promises.md)
	slack   = time.Second     // for this machine
	watched = 8 * time.Second // how long requests are sent from then on
)

func main() { stand.Main(run) }

// balancer is one of the two balancers of the case.
type balancer struct {
	name, listen, management string
	client                   *stand.Client
}

func run(w *stand.World) (int, error) {
	if err := w.StartFleet(3, 20*time.Millisecond); err != nil {
		return 0, err
	}
	cluster, err := w.StartCluster("k1", "k2", "k3", "k4", "k5")
	if err != nil {
		return 0, err
	}
	n1, n2, followed, err := startBalancers(w, cluster)
	if err != nil {
		return 0, err
	}
	w.Line("n1 follows %s", followed)

	if w.Trouble { // operators go from five servers to three
		other := "k1"
		if followed == other {
			other = "k2"
		}
		if err := cluster.Remove(followed, 4); err != nil {
			return 0, err
		}
		if err := cluster.Remove(other, 3); err != nil {
			return 0, err
		}
		time.Sleep(2 * time.Second)
	}
	for range 10 {
		n1.client.Send(0, time.Second)
		n2.client.Send(0, time.Second)
	}
	out := w.Upstreams[0]
	answer := stand.Command(n2.management, "maint-on "+out.ID)
	w.Line("operator: maint-on %s at n2: %s", out.ID, answer)
	if !strings.HasPrefix(answer, "+OK held by") {
		return 0, fmt.Errorf("maint-on was not confirmed: %s", answer)
	}
	confirmed := time.Now()
	for time.Since(confirmed) < known+slack+watched {
		n1.client.Send(0, time.Second)
		n2.client.Send(0, time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	members, _ := cluster.Promises("members")
	w.Line("operator: olivearch promises members:\n%s", members)
	cluster.Promises("list")

	late := out.Arrivals(confirmed.Add(known + slack))
	for _, arrival := range late {
		w.Line("request %s began at %s %v after the +OK", arrival.ID, out.ID, arrival.At.Sub(confirmed).Round(time.Millisecond))
	}
	if len(late) > 0 {
		w.Say("BROKEN: %q to maint-on %s at n2; from %v after that on, n1 sent %d requests there in %v",
			answer, out.ID, known+slack, len(late), watched)
		return stand.RuleBroken, nil
	}
	w.Say("held: %q to maint-on %s at n2, and from %v after that on no request was sent there", answer, out.ID, known+slack)
	return stand.RuleHeld, nil
}

// startBalancers starts the balancers n1 and n2 of one fleet. n1 reaches the coordination servers through relays that
// pass everything on, and count connections: they show which server it follows.
func startBalancers(w *stand.World, cluster *stand.Cluster) (n1, n2 *balancer, followed string, err error) {
	relays, through := map[string]*stand.Relay{}, map[string]string{}
	for name, address := range cluster.Addresses {
		if relays[name], err = stand.StartRelay(address); err != nil {
			return nil, nil, "", err
		}
		through[name] = relays[name].Address
	}
	n1 = &balancer{name: "n1", listen: w.Listen}
	n2 = &balancer{name: "n2", listen: stand.FreeAddress()}
	for rank, b := range []*balancer{n1, n2} {
		instead := through
		if b == n2 {
			instead = nil
		}
		promises := filepath.Join(w.Folder, b.name+"-promises.yaml")
		text := fmt.Sprintf("voters: {%s}\nwithin: 1s\n", cluster.Voters(": ", instead))
		if err := os.WriteFile(promises, []byte(text), 0o600); err != nil {
			return nil, nil, "", err
		}
		config, err := w.Config(b.name, b.listen, w.Discovery.Address, w.Discovery.List(), func(settings map[string]any) {
			settings["balancers"], settings["rank"] = 2, rank
		})
		if err != nil {
			return nil, nil, "", err
		}
		_, b.management, err = w.StartBalancer(b.name, config, "RELAY_PROMISES="+promises)
		if err != nil {
			return nil, nil, "", err
		}
		b.client = stand.NewClient(w.Record, "of "+b.name, b.listen)
	}
	for range 100 {
		for name, relay := range relays {
			if relay.Open.Load() == 1 {
				return n1, n2, name, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, nil, "", fmt.Errorf("n1 follows no server")
}
