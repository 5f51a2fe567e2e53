package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"olivearch/balancer"
	"olivearch/internal/config"
	"olivearch/internal/live"
	"olivearch/internal/route"
	"olivearch/internal/service"
)

// serve runs a configuration file until SIGTERM.
func serve(args []string, _ io.Writer) error {
	var path string
	f, err := flags("serve", "--config FILE", args, func(f *flag.FlagSet) {
		f.StringVar(&path, "config", "", "the configuration `FILE`, in YAML")
	})
	if err != nil {
		return err
	}
	if path == "" || f.NArg() > 0 {
		return fmt.Errorf("%w: serve wants --config FILE and nothing else", errUsage)
	}
	hangups, ends := make(chan os.Signal, 1), make(chan os.Signal, 1) // one that waits stands for all that come meanwhile
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	service.BeforeReading()
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	service.LimitMemory(c)
	s, err := service.Start(c, version())
	if err != nil {
		return err
	}
	service.AfterReading(c)
	slog.Info("serving", "config", path, "pools", len(c.Pools), "routes", c.Table.Len())
	return keep(s, c, hangups, ends, func(old *config.Loaded) (*config.Loaded, error) { return config.Reload(path, old) })
}

// keep serves until it is told to end, and reads the configuration again at each hang-up: a signal that comes while it is being read
// or put in force has it read once more after that.
func keep(s *service.Service, c *config.Loaded, hangups, ends <-chan os.Signal, reload func(*config.Loaded) (*config.Loaded, error)) error {
	for {
		select {
		case err := <-s.Failed():
			s.Stop()
			return err
		case x := <-ends:
			slog.Info("stopping", "signal", x)
			s.Stop()
			return nil
		case <-hangups:
			next, err := reload(c)
			if err == nil {
				err = s.Apply(next)
			}
			if err != nil {
				slog.Error("reading the configuration again: the old one stays", "err", err)
				continue
			}
			c = next
			c.Adopted()
			service.LimitMemory(c)
			service.AfterReading(c)
			slog.Info("configuration read again", "pools", len(c.Pools), "routes", c.Table.Len())
		}
	}
}

// loadFrom tells where a pool's readings of utilisation come from, by "reports".
var loadFrom = map[string]string{
	"answers": "load by X-Load in answers; of nodes that send none, an estimate by latency (top tells which)",
	"probes":  "load by GET /load",
	"none":    "load by latency as a part of the aim",
}

// check tells what is wrong with files.
func check(args []string, out io.Writer) error {
	f, err := flags("check", "FILE...", args, func(*flag.FlagSet) {})
	if err != nil {
		return err
	}
	if f.NArg() == 0 {
		return fmt.Errorf("%w: check wants a FILE", errUsage)
	}
	var errs []error
	voters := map[string]*config.Voter{}
	for _, path := range f.Args() {
		if config.OfVoter(path) {
			v, err := config.LoadVoter(path)
			if errs = append(errs, err); err == nil {
				voters[path] = v
				fmt.Fprintf(out, "%s: well: voter %s of %d, at %s\n", path, v.Name, len(v.Voters), v.Listen)
			}
			continue
		}
		c, err := config.Load(path)
		nodes := 0
		if err == nil {
			nodes, err = service.CheckLists(c)
		}
		if err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(out, "%s: well: %d listeners, %d routes, %d pools\n", path, len(c.Listeners), c.Table.Len(), len(c.Pools))
		tellCost(out, c.Cost(nodes))
		var known []use
		for _, name := range slices.Sorted(maps.Keys(c.Pools)) {
			fmt.Fprintf(out, "  pool %s: %s\n", name, loadFrom[c.Pools[name].Reports])
			if c.Instances.Count > 1 {
				if known, err = uses(out, c, name, known); err != nil {
					errs = append(errs, fmt.Errorf("%s: %w", path, err))
				}
			}
		}
		if c.Promises != nil {
			checkPromises(c.Promises, out)
		}
		for _, r := range slices.SortedFunc(c.Table.Rules(), func(x, y *route.Rule) int { return strings.Compare(x.Name, y.Name) }) {
			if to := c.Targets[r.To]; len(to.Upgrades) > 0 {
				fmt.Fprintf(out, "  route %s: clients may change to %s, %d at once, %d to a node\n", r.Name, strings.Join(to.Upgrades, ", "), to.Tunnels.Most, to.Tunnels.PerNode)
			}
		}
	}
	return errors.Join(append(errs, config.AgreeVoters(voters))...)
}

// tellCost tells what a configuration takes.
func tellCost(out io.Writer, x config.Cost) {
	fmt.Fprintf(out, "  cost: %d pools, %d nodes in lists, %d routes, %d tenants: about %d MiB of memory with all pools in use and no request, %d MiB while a new process reads the file; %d descriptors at rest, %d at most\n",
		x.Pools, x.Nodes, x.Routes, x.Tenants, (x.Resident+1<<20-1)>>20, (x.Reading+1<<20-1)>>20, x.AtRest, x.AtMost)
}

// use is what a balancer with some settings uses, as text.
type use struct {
	settings balancer.Settings
	text     string
}

// uses tells how many nodes of a pool this one of many balancers uses. Pools with the same settings use the same: known has what was found.
func uses(out io.Writer, c *config.Loaded, pool string, known []use) ([]use, error) {
	s := c.Settings(pool)
	s.Limits.MaxInFlight, s.Classes = 0, s.Classes[:1] // these say nothing of it
	at := slices.IndexFunc(known, func(x use) bool { return x.settings.Equal(s) })
	if at < 0 {
		text := fmt.Sprintf("balancer %d of %d uses at first", c.Instances.Rank, c.Instances.Count)
		for i, nodes := range []int{10, 100, 1000} {
			n, err := service.Uses(c.Settings(pool), nodes)
			if err != nil {
				return known, err
			}
			text += fmt.Sprintf("%s %d of %d nodes", []string{"", ",", ","}[i], n, nodes)
		}
		at = len(known)
		known = append(known, use{s, text})
	}
	fmt.Fprintf(out, "  pool %s: %s\n", pool, known[at].text)
	if c.Tenants.Len() == 0 {
		fmt.Fprintf(out, "  pool %s: no tenant has bought anything, so a balancer with more than its part of the traffic is not known to have it\n", pool)
	}
	return known, nil
}

// clear moves a terminal's cursor home and clears what is behind it.
const clear = "\x1b[H\x1b[J"

// top shows the live view until it is interrupted.
func top(args []string, out io.Writer) error {
	var address string
	var every time.Duration
	var once bool
	var part live.Part
	f, err := flags("top", "[--admin ADDRESS] [--every TIME] [--pool NAME]... [--nodes WHICH] [--once]", args, func(f *flag.FlagSet) {
		f.Func("pool", "the pool of this `NAME`; more than once for several; all if left out", func(name string) error {
			part.Pools = append(part.Pools, name)
			return nil
		})
		f.StringVar(&part.Nodes, "nodes", live.AllNodes, "`WHICH` nodes: all, used or none")
		f.StringVar(&address, "admin", "127.0.0.1:8081", "`ADDRESS` of the admin listener")
		f.DurationVar(&every, "every", time.Second, "`TIME` between two looks")
		f.BoolVar(&once, "once", false, "print one table and end")
	})
	if err != nil {
		return err
	}
	if f.NArg() > 0 || every <= 0 {
		return fmt.Errorf("%w: top takes flags only, and a time over 0", errUsage)
	}
	client := &http.Client{Timeout: 5 * time.Second}
	for {
		v, err := look(client, address, part)
		if err != nil {
			return err
		}
		if !once {
			fmt.Fprint(out, clear)
		}
		fmt.Fprintf(out, "olivearch %s, up %s, %d reloads\n", v.Version, time.Duration(v.UptimeMS)*time.Millisecond, v.Reloads)
		if err := v.Write(out); err != nil || once {
			return err
		}
		time.Sleep(every)
	}
}

func look(client *http.Client, address string, part live.Part) (v live.View, err error) {
	resp, err := client.Get("http://" + address + "/v1/live?" + part.Query())
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		why, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return v, fmt.Errorf("the admin listener at %s answers %s: %s", address, resp.Status, bytes.TrimSpace(why))
	}
	return v, json.NewDecoder(resp.Body).Decode(&v)
}
