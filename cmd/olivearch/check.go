package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"olivearch/balancer"
	"olivearch/internal/config"
	"olivearch/internal/route"
	"olivearch/internal/service"
)

// check checks configuration files, describes the valid ones, and returns every error.
func check(args []string, out io.Writer) error {
	flagSet, err := parseFlags("check", "FILE...", args, func(*flag.FlagSet) {})
	if err != nil {
		return err
	}
	if flagSet.NArg() == 0 {
		return fmt.Errorf("%w: check wants a FILE", errUsage)
	}
	c := &checker{out: out, voters: map[string]*config.Voter{}}
	for _, path := range flagSet.Args() {
		if config.IsVoterFile(path) {
			c.checkVoter(path)
		} else {
			c.checkService(path)
		}
	}
	c.errs = append(c.errs, config.CheckVotersAgree(c.voters))
	return errors.Join(c.errs...)
}

// checker checks files and describes the valid ones.
type checker struct {
	out    io.Writer
	voters map[string]*config.Voter // valid ones, by path
	errs   []error                  // some may be nil
}

func (c *checker) fail(err error) { c.errs = append(c.errs, err) }

// checkVoter checks the configuration of a coordination server.
func (c *checker) checkVoter(path string) {
	voter, err := config.LoadVoter(path)
	if err != nil {
		c.fail(err)
		return
	}
	c.voters[path] = voter
	fmt.Fprintf(c.out, "%s: well: voter %s of %d, at %s\n", path, voter.Name, len(voter.Voters), voter.Listen)
}

// checkService checks the configuration of a balancer, with the endpoint lists that it names.
func (c *checker) checkService(path string) {
	configuration, err := config.Load(path)
	if err != nil {
		c.fail(err)
		return
	}
	endpoints, err := service.CheckLists(configuration)
	if err != nil {
		c.fail(err)
		return
	}
	fmt.Fprintf(c.out, "%s: well: %d listeners, %d routes, %d pools\n",
		path, len(configuration.Listeners), configuration.Table.Len(), len(configuration.Pools))
	printCost(c.out, configuration.Cost(endpoints))
	c.describePools(path, configuration)
	if configuration.Promises != nil {
		checkPromises(configuration.Promises, c.out)
	}
	printUpgrades(c.out, configuration)
}

// loadSources describes how a pool learns the utilisation of its upstreams, by the value of the key "reports".
var loadSources = map[string]string{
	"answers": "load from X-Load in answers; for nodes that send none, estimated from latency (top shows which)",
	"probes":  "load from GET /load",
	"none":    "load estimated from latency, relative to the latency objective (aim)",
}

// describePools prints each pool's source of load and, if there are several balancers, the size of its subset.
func (c *checker) describePools(path string, configuration *config.Loaded) {
	subsets := subsetDescriber{configuration: configuration}
	for _, pool := range slices.Sorted(maps.Keys(configuration.Pools)) {
		fmt.Fprintf(c.out, "  pool %s: %s\n", pool, loadSources[configuration.Pools[pool].Reports])
		if configuration.Instances.Count <= 1 {
			continue
		}
		subset, err := subsets.describe(pool)
		if err != nil {
			c.fail(fmt.Errorf("%s: %w", path, err))
			continue
		}
		fmt.Fprintf(c.out, "  pool %s: %s\n", pool, subset)
		if configuration.Tenants.Len() == 0 {
			fmt.Fprintf(c.out, "  pool %s: no tenant has a quota, "+
				"so this balancer can't tell when it gets more than an even share of the traffic\n", pool)
		}
	}
}

// printCost prints the memory and the descriptors that a configuration needs.
func printCost(out io.Writer, cost config.Cost) {
	fmt.Fprintf(out, "  cost: %d pools, %d nodes in lists, %d routes, %d tenants: "+
		"about %d MiB of memory with all pools in use and no request, %d MiB while a new process reads the file; "+
		"%d descriptors at rest, %d at most\n",
		cost.Pools, cost.Nodes, cost.Routes, cost.Tenants,
		mebibytes(cost.ResidentBytes), mebibytes(cost.ReadingBytes),
		cost.IdleDescriptors, cost.MaxDescriptors)
}

// mebibytes returns a number of bytes in MiB, rounded up.
func mebibytes(bytes int64) int64 {
	const mebibyte = 1 << 20
	return (bytes + mebibyte - 1) / mebibyte
}

// printUpgrades prints the protocols to which clients of each route may upgrade.
func printUpgrades(out io.Writer, configuration *config.Loaded) {
	byName := func(a, b *route.Rule) int { return strings.Compare(a.Name, b.Name) }
	for _, rule := range slices.SortedFunc(configuration.Table.Rules(), byName) {
		target := configuration.Targets[rule.To]
		if len(target.Upgrades) == 0 {
			continue
		}
		fmt.Fprintf(out, "  route %s: clients may change to %s, %d at once, %d to a node\n",
			rule.Name, strings.Join(target.Upgrades, ", "), target.Tunnels.Most, target.Tunnels.PerNode)
	}
}

// subsetDescriber describes how many of a pool's upstreams this balancer uses when it is one of many. The description
// is computed once for all pools with the same settings.
type subsetDescriber struct {
	configuration *config.Loaded
	descriptions  []subsetDescription
}

type subsetDescription struct {
	settings balancer.Settings // only those on which the subset depends
	text     string
}

// samplePoolSizes are the numbers of upstreams for which the size of the subset is printed.
var samplePoolSizes = []int{10, 100, 1000}

func (d *subsetDescriber) describe(pool string) (string, error) {
	settings := d.configuration.Settings(pool)
	relevant := settings
	relevant.Limits.MaxInFlight = 0 // the subset depends neither on this nor on any class but the first
	relevant.Classes = settings.Classes[:1]
	for _, description := range d.descriptions {
		if description.settings.Equal(relevant) {
			return description.text, nil
		}
	}
	var sizes []string
	for _, upstreams := range samplePoolSizes {
		used, err := service.SubsetSize(settings, upstreams)
		if err != nil {
			return "", err
		}
		sizes = append(sizes, fmt.Sprintf("%d of %d nodes", used, upstreams))
	}
	instances := d.configuration.Instances
	text := fmt.Sprintf("balancer %d of %d uses at first %s", instances.Rank, instances.Count, strings.Join(sizes, ", "))
	d.descriptions = append(d.descriptions, subsetDescription{settings: relevant, text: text})
	return text, nil
}
