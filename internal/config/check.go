package config

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"olivearch/balancer"
	"olivearch/internal/endpointlist"
	"olivearch/internal/route"
	"olivearch/internal/strictyaml"
)

const (
	// maxFileSize bounds a configuration file, in bytes.
	maxFileSize = 16 << 20
	// reservedDescriptors is what is kept of the descriptors for listeners, logs, lists and connections that are being closed.
	reservedDescriptors = 48
	// memoryPerRequest is the memory that a request may take while a pool holds it: a body each way, and its heads.
	memoryPerRequest = 160 << 10
	// memoryWithoutRequests is what the process takes without requests.
	memoryWithoutRequests = 24 << 20
	// defaultMemory is that of a configuration that names none.
	defaultMemory = 192 << 20
)

// Loaded is a configuration that has been checked, with what was left out filled in. It never changes. Routes and tenants
// are not in the File but in tables, which have what did not change in common with those of the configuration before.
type Loaded struct {
	File
	Table *route.Table
	// Targets are what the table's rules lead to, by their numbers, beside pools.
	Targets []Target
	// Tenants is shared by the settings of all pools.
	Tenants *balancer.Tenants

	targets  map[targetKey]int
	source     *sourceText                     // nil: it was read as a whole
	buffers    *textBuffers                    // of this one and those that it came from
	bufferIndex   int                       // where in texts its text is
	bytesRead     int                       // bytes that were read anew
	fileSize     int                       // of the file, bytes
	memoryLimitError strictyaml.Error          // where it says what memory there is
	routesByClass     map[string]map[string]int // by pool: how many of its routes have each class
	poolSettings     *settingsIdentity                    // of all that pools are told but the tenants
}

// settingsIdentity is the identity of what pools are told: two configurations with one in common tell them the same. It has a size, or all would
// have one address.
type settingsIdentity struct{ _ byte }

// SamePools reports whether pools are told the same by c as by another, but for the tenants. It is certain where c was made of what
// differs from the other; of configurations that were read apart it says no.
func (c *Loaded) SamePools(other *Loaded) bool { return other != nil && c.poolSettings == other.poolSettings }

// Target is what requests of a route meet beside its pools. Most routes have one in common with others.
type Target struct {
	Class     string
	Deadline  Duration
	KeyCookie string
	Body      Body
	Answer    Answer
	Upgrades  []string
	Tunnels   Tunnels // of its first pool
}

// targetKey is a Target that can be compared.
type targetKey struct {
	class, cookie, upgrades string
	deadline                Duration
	body                    Body
	answer                  Answer
	tunnels                 Tunnels
}

// Load reads and checks a file. The error joins one strictyaml.Error for each thing wrong.
func Load(path string) (*Loaded, error) {
	text, err := strictyaml.ReadFile(path, maxFileSize)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse checks the text of a file. Relative paths in it start at the file's folder.
func Parse(path string, text []byte) (*Loaded, error) {
	return parse(path, text, 0)
}

// parse is Parse in a process that holds so many bytes already.
func parse(path string, text []byte, already int64) (*Loaded, error) {
	c, err := parseInSections(path, text, already)
	switch err.(type) {
	case partialDiagnosis, memoryExceeded:
		return nil, err
	}
	if c != nil {
		return c, nil
	}
	return parseWhole(path, text)
}

// parseWhole reads the whole text, and knows the place of each mistake.
func parseWhole(path string, text []byte) (*Loaded, error) {
	c := &Loaded{targets: map[targetKey]int{}, bytesRead: len(text), fileSize: len(text), poolSettings: new(settingsIdentity), buffers: newTextBuffers(), bufferIndex: notBuffered}
	_, at := memoryLimit(path, text, strictyaml.Outline(text))
	c.memoryLimitError = strictyaml.Error{File: path, Position: at}
	d := strictyaml.Decode(path, text, &c.File)
	if err := d.Err(); err != nil { // what could not be read would only bring errors that follow from it
		return nil, err
	}
	k := checker{Doc: d, Loaded: c}
	k.all(filepath.Dir(path))
	if err := d.Err(); err != nil {
		return nil, err
	}
	tenants := make([]balancer.Tenant, 0, len(c.File.Tenants))
	for name, t := range c.File.Tenants {
		tenants = append(tenants, balancer.Tenant{Name: name, Quota: t.Quota})
	}
	c.Tenants, c.File.Tenants = balancer.NewTenants(tenants), nil
	return c, nil
}

// all checks everything and builds the table of routes.
func (k *checker) all(folder string) {
	k.listeners()
	k.limits()
	k.classes()
	k.rules()
	k.pools(folder)
	k.routes()
	if k.Promises != nil {
		k.Promises.check(k.Doc, "promises", folder)
	}
	if k.Failed() {
		return
	}
	k.bulkheads()
	k.Routes = nil
	k.countClasses()
}

// checker goes over a configuration, notes what is wrong and fills in what was left out.
type checker struct {
	*strictyaml.Doc
	*Loaded
	diagnose    func(into any) *strictyaml.Doc // reads the entries that differ once more, for what is wrong with them
	diagnosis error                          // what that is
}

// invalidQuota is what is said of a quota that is not fair.
const invalidQuota = "the quota is a rate of requests a second, 0 or more"

func (k *checker) address(path, text string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		k.Fail(path, "%q is not an IP address and a port, such as 127.0.0.1:8080", text)
	}
	return a, err == nil
}

func (k *checker) listeners() {
	if len(k.Listeners) == 0 {
		k.Fail("listeners", "at least one listener is wanted")
	}
	names, taken := map[string]bool{}, map[string]bool{}
	for i := range k.Listeners {
		l, at := &k.Listeners[i], fmt.Sprintf("listeners[%d]", i)
		a, ok := k.address(at+".address", l.Address)
		strictyaml.Fill(&l.Name, l.Address)
		if ok && taken[a.String()] {
			k.Fail(at+".address", "two listeners have the address %s", a)
		}
		if names[l.Name] {
			k.Fail(at, "two listeners have the name %q", l.Name)
		}
		names[l.Name], taken[a.String()] = true, true
		if l.Connections < 0 {
			k.Fail(at+".connections", "the number is over 0")
		}
	}
	if k.Admin != nil {
		if a, ok := k.address("admin.address", k.Admin.Address); ok && !a.Addr().IsLoopback() && !k.Admin.Open {
			k.Fail("admin.address", "%s can be reached by others, and the live view asks for no password: if that is meant, add \"open: true\"", a)
		}
	}
}

func (k *checker) limits() {
	l := &k.Limits
	strictyaml.Fill(&l.Memory, defaultMemory)
	strictyaml.Fill(&l.Descriptors, 1024)
	strictyaml.Fill(&l.NodeConnections, 64)
	if l.Memory < 32<<20 {
		k.Fail("limits.memory", "at least 32MiB are needed")
	}
	if l.Descriptors < 64 {
		k.Fail("limits.descriptors", "at least 64 are needed")
	}
	if l.NodeConnections < 1 {
		k.Fail("limits.node_connections", "the number is over 0")
	}
	strictyaml.Fill(&k.Instances.Count, 1)
	if n := k.Instances; n.Count < 1 || n.Rank < 0 || n.Rank >= n.Count {
		k.Fail("instances", "rank goes from 0 to count - 1")
	}
	strictyaml.Fill(&l.Bodies, l.Memory/8)
	if l.Bodies < 0 || l.Bodies >= l.Memory {
		k.Fail("limits.bodies", "it is a part of the memory")
	}
	for i := range k.Listeners {
		x, at := &k.Listeners[i], fmt.Sprintf("listeners[%d]", i)
		strictyaml.Fill(&x.Connections, max(1, l.Descriptors/2/len(k.Listeners)))
		strictyaml.Fill(&x.Head, 16<<10)
		strictyaml.Fill(&x.Within, Duration(10*time.Second))
		strictyaml.Fill(&x.Rate, 8<<10)
		if x.Head < 1<<10 || x.Head > 64<<10 { // perRequest counts two of them
			k.Fail(at+".head", "a head has from 1KiB to 64KiB")
		}
		if x.Within < Duration(time.Second) {
			k.Fail(at+".within", "at least 1s is wanted")
		}
	}
}

func (k *checker) classes() {
	if len(k.Classes) == 0 {
		k.Fail("classes", "at least one class is wanted")
	}
	for name, c := range k.Classes {
		at := "classes." + name
		strictyaml.Fill(&c.Repeat, "unsafe")
		if c.Worth == nil {
			c.Worth = new(1.0)
		}
		_, known := idempotencies[c.Repeat]
		switch {
		case !known:
			k.Fail(at+".repeat", "%q is none of safe, keyed and unsafe", c.Repeat)
		case c.Repeat == "keyed":
			strictyaml.Fill(&c.Group, "all")
			if _, ok := keyScopes[c.Group]; !ok {
				k.Fail(at+".group", "%q is none of all, zone and cell", c.Group)
			}
			if c.Memory == 0 {
				k.Fail(at, "a keyed class needs memory: how long nodes drop repeats")
			}
		case c.Group != "" || c.Memory != 0:
			k.Fail(at, "group and memory belong to keyed classes")
		}
		if c.Aim < Duration(10*time.Millisecond) || c.Deadline < c.Aim {
			k.Fail(at, "aim is at least 10ms, and deadline no shorter than aim")
		}
		if !(*c.Worth >= 0 && *c.Worth <= 1e6) || !(c.LateWorth >= 0 && c.LateWorth <= 1) {
			k.Fail(at, "worth is from 0 to 1,000,000, and late_worth from 0 to 1")
		}
		k.Classes[name] = c
	}
	for name, t := range k.Loaded.File.Tenants {
		if !isValidQuota(t.Quota) {
			k.Fail("tenants."+name+".quota", invalidQuota)
		}
	}
	if k.OverQuotaWorth == nil {
		k.OverQuotaWorth = new(0.1)
	}
	if w := *k.OverQuotaWorth; !(w >= 0 && w <= 1) {
		k.Fail("over_quota_worth", "the part is from 0 to 1")
	}
}

// isValidQuota tells whether a quota is one.
func isValidQuota(quota float64) bool { return quota >= 0 && quota < 1e9 }

func (k *checker) rules() {
	r := &k.Rules
	strictyaml.Fill(&r.DrainGrace, Duration(time.Second))
	strictyaml.Fill(&r.ColdFrom, 0.33)
	strictyaml.Fill(&r.RampTime, Duration(9*time.Second))
	strictyaml.Fill(&r.TipMultiple, 3)
	strictyaml.Fill(&r.TipAfter, Duration(1500*time.Millisecond))
	if !(r.ColdFrom > 0 && r.ColdFrom <= 1) {
		k.Fail("rules.cold_from", "the part is over 0 and at most 1")
	}
	if !(r.TipMultiple >= 1 && r.TipMultiple <= 1000) {
		k.Fail("rules.tip_multiple", "the multiple is from 1 to 1,000")
	}
}

func (k *checker) pools(folder string) {
	if len(k.Pools) == 0 {
		k.Fail("pools", "at least one pool is wanted")
	}
	for _, name := range slices.Sorted(maps.Keys(k.Pools)) {
		p := k.Pools[name]
		k.pool(folder, name, &p)
		k.Pools[name] = p
	}
}

// pool checks one pool and fills in what was left out.
func (k *checker) pool(folder, name string, p *Pool) {
	at, queue, descriptors := "pools."+name, k.Limits.Descriptors, k.Limits.Descriptors-reservedDescriptors
	for _, l := range k.Listeners {
		queue, descriptors = min(queue, l.Connections), descriptors-l.Connections
	}
	strictyaml.Fill(&p.Queue, max(1, queue/len(k.Pools)))
	strictyaml.Fill(&p.Connections, max(1, descriptors/len(k.Pools)))
	strictyaml.Fill(&p.Share, 1)
	strictyaml.Fill(&p.Drains, "any")
	strictyaml.Fill(&p.Rest, "after_stray")
	strictyaml.Fill(&p.Reports, "answers")
	strictyaml.Fill(&p.ConnectTimeout, Duration(500*time.Millisecond))
	strictyaml.Fill(&p.IdleTimeout, Duration(time.Minute))
	strictyaml.Fill(&p.MaxAttempts, 3)
	strictyaml.Fill(&p.MaxRetryAfter, Duration(5*time.Second))
	strictyaml.Fill(&p.Tunnels.Most, max(1, p.Connections/2))
	strictyaml.Fill(&p.Tunnels.PerNode, max(1, k.Limits.NodeConnections/2))
	strictyaml.Fill(&p.Tunnels.Idle, Duration(10*time.Minute))
	strictyaml.Fill(&p.Tunnels.Grace, Duration(10*time.Second))
	if t := p.Tunnels; t.Most < 1 || t.PerNode < 1 || t.Most > p.Connections || t.PerNode > k.Limits.NodeConnections {
		k.Fail(at+".tunnels", "most is from 1 to the pool's connections (%d), per_node from 1 to node_connections (%d)", p.Connections, k.Limits.NodeConnections)
	}
	if p.Queue < 1 || p.Connections < 1 || p.MaxAttempts < 1 {
		k.Fail(at, "queue, connections and max_attempts are over 0")
	}
	if !(p.Share > 0 && p.Share <= 1e6) {
		k.Fail(at+".share", "the share is over 0 and at most 1,000,000")
	}
	if p.Drains != "any" && p.Drains != "own" {
		k.Fail(at+".drains", "%q is neither any nor own", p.Drains)
	}
	if p.Rest != "always" && p.Rest != "after_stray" {
		k.Fail(at+".rest", "%q is neither always nor after_stray", p.Rest)
	}
	if _, ok := reportSources[p.Reports]; !ok {
		k.Fail(at+".reports", "%q is none of answers, probes and none", p.Reports)
	}
	k.nodes(at+".nodes", &p.Nodes, folder)
}

func (k *checker) nodes(at string, n *NodeSource, folder string) {
	sources := 0
	for _, set := range []bool{n.File != "", n.Static != nil, n.Discovery != ""} {
		if set {
			sources++
		}
	}
	if sources != 1 {
		k.Fail(at, "exactly one of file, static and discovery says where the nodes come from")
		return
	}
	if n.Keep != "" {
		if !filepath.IsAbs(n.Keep) {
			n.Keep = filepath.Join(folder, n.Keep)
		}
		if n.Discovery == "" {
			k.Fail(at+".keep", "a list is kept for discovery alone: files and lists that stand here are on a disk already")
		} else if info, err := os.Stat(filepath.Dir(n.Keep)); err != nil || !info.IsDir() {
			k.Fail(at+".keep", "there is no folder %s", filepath.Dir(n.Keep))
		}
	}
	switch {
	case n.File != "":
		if !filepath.IsAbs(n.File) {
			n.File = filepath.Join(folder, n.File)
		}
	case n.Discovery != "":
		k.address(at+".discovery", n.Discovery)
	default:
		endpointlist.Check(k.Doc, at+".static", n.Static)
		if n.Hold != 0 {
			k.Fail(at+".hold", "a list that stands here is never silent")
		}
	}
}

func (k *checker) routes() {
	if len(k.Routes) == 0 {
		k.Fail("routes", "at least one route is wanted")
	}
	rules, places := make([]route.Rule, 0, len(k.Routes)), make(map[string]int, len(k.Routes))
	for i := range k.Routes {
		r := &k.Routes[i]
		if _, twice := places[r.Name]; r.Name == "" || twice {
			k.Fail(routePath(i), "a route needs a name of its own; %q is not", r.Name)
			continue
		}
		if rule, ok := k.route(routePath(i), r); ok {
			places[r.Name] = i
			rules = append(rules, rule)
		}
	}
	table, errs := route.Build(rules)
	for _, err := range errs {
		at, tie, bad := "routes", route.Conflict{}, route.Malformed{}
		switch {
		case errors.As(err, &tie):
			at = routePath(places[tie.Second])
		case errors.As(err, &bad):
			at = routePath(places[bad.Name])
		}
		k.Fail(at, "%v", err)
	}
	k.Table = table
}

func routePath(i int) string { return "routes[" + strconv.Itoa(i) + "]" }

// route checks one route, fills in what was left out and returns its rule.
func (k *checker) route(at string, r *Route) (route.Rule, bool) {
	class, ok := k.Classes[r.Class]
	if !ok {
		k.Fail(at+".class", "%s", unknownName("class", r.Class, slices.Collect(maps.Keys(k.Classes))))
	}
	strictyaml.Fill(&r.Deadline, class.Deadline)
	r.Deadline = min(r.Deadline, class.Deadline)
	if r.RequestClass != "" && r.RequestClass != r.Class {
		k.Fail(at+".request_class", "clients that name %q would get the class %q: the two are the same", r.RequestClass, r.Class)
	}
	if (r.Pool == "") == (len(r.Pools) == 0) {
		k.Fail(at, "exactly one of pool and pools is wanted")
		return route.Rule{}, false
	}
	if r.Pool != "" {
		r.Pools = []WeightedPool{{r.Pool, 1}}
	}
	strictyaml.Fill(&r.KeyCookie, "obj")
	strictyaml.Fill(&r.Body.Max, 1<<30)
	strictyaml.Fill(&r.Body.Buffer, 1<<20)
	strictyaml.Fill(&r.Body.Within, Duration(time.Hour))
	strictyaml.Fill(&r.Answer.Max, 1<<40)
	strictyaml.Fill(&r.Answer.Idle, Duration(30*time.Second))
	if r.Body.Buffer > k.Limits.Bodies {
		k.Fail(at+".body.buffer", "%d MiB for one request, and limits.bodies is %d MiB for all", r.Body.Buffer>>20, k.Limits.Bodies>>20)
	}
	if r.Answer.Total != 0 && r.Answer.Total < r.Answer.Idle {
		k.Fail(at+".answer.total", "it is shorter than idle")
	}
	for j, name := range r.Upgrades {
		if r.Upgrades[j] = strings.ToLower(name); name == "" || strings.ContainsAny(name, " ,\t") || strings.HasPrefix(r.Upgrades[j], "h2") {
			k.Fail(at+".upgrades", "%q is not a protocol that a connection may change to, such as websocket", name)
		}
	}
	rule := route.Rule{Name: r.Name, Hosts: r.Hosts, Methods: r.Methods, Class: r.RequestClass}
	for j, p := range r.Pools {
		if _, ok := k.Pools[p.Pool]; !ok {
			where := at + ".pool"
			if r.Pool == "" {
				where = fmt.Sprintf("%s.pools[%d].pool", at, j)
			}
			k.Fail(where, "%s", unknownName("pool", p.Pool, slices.Collect(maps.Keys(k.Pools))))
		}
		rule.Pools = append(rule.Pools, route.WeightedPool(p))
	}
	for _, m := range r.Methods {
		if m == "" || strings.ContainsFunc(m, func(c rune) bool { return c < 'A' || c > 'Z' }) || m == "CONNECT" {
			k.Fail(at+".methods", "%q is not a method that is served, in capitals", m)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		rule.Headers = append(rule.Headers, route.Header{Name: name, Value: r.Headers[name]})
	}
	set := 0
	for kind, text := range [...]string{route.Exact: r.Path.Exact, route.Pattern: r.Path.Pattern, route.Prefix: r.Path.Prefix} {
		if text != "" {
			set++
			rule.Kind, rule.Path = route.PathKind(kind), text
		}
	}
	if set == 0 {
		rule.Kind, rule.Path = route.Prefix, "/"
	} else if set > 1 {
		k.Fail(at+".path", "at most one of exact, pattern and prefix is wanted")
	}
	rule.To = k.target(r)
	return rule, true
}

// target returns the number of what a route leads to.
func (k *checker) target(r *Route) int {
	key := targetKey{r.Class, r.KeyCookie, strings.Join(r.Upgrades, "\n"), r.Deadline, r.Body, r.Answer, k.Pools[r.Pools[0].Pool].Tunnels}
	if n, known := k.targets[key]; known {
		return n
	}
	k.Targets = append(k.Targets, Target{
		Class: r.Class, Deadline: r.Deadline, KeyCookie: r.KeyCookie, Body: r.Body, Answer: r.Answer,
		Upgrades: r.Upgrades, Tunnels: key.tunnels,
	})
	k.targets[key] = len(k.Targets) - 1
	return len(k.Targets) - 1
}

func unknownName(kind, name string, known []string) string {
	if near := strictyaml.Nearest(name, known); near != "" {
		return fmt.Sprintf("there is no %s %q; did you mean %q?", kind, name, near)
	}
	return fmt.Sprintf("there is no %s %q", kind, name)
}

// bulkheads checks that what pools may take together is there, so that no pool can take what is another's.
func (k *checker) bulkheads() {
	connections, queues := reservedDescriptors, 0
	for _, l := range k.Listeners {
		connections += l.Connections
	}
	for _, p := range k.Pools {
		connections, queues = connections+p.Connections, queues+p.Queue
	}
	if connections > k.Limits.Descriptors {
		k.Fail("limits.descriptors", "listeners and pools may take %d with a reserve of %d, more than the %d there are: lower their connections or give more",
			connections, reservedDescriptors, k.Limits.Descriptors)
	}
	for i, l := range k.Listeners {
		if queues > l.Connections {
			k.Fail(fmt.Sprintf("listeners[%d].connections", i), "pools may hold %d requests, more than the %d connections: one that stalls could take up those of others",
				queues, l.Connections)
		}
	}
	if most := int64(memoryWithoutRequests+queues*memoryPerRequest) + int64(k.Limits.Bodies); most > int64(k.Limits.Memory) {
		k.Fail("limits.memory", "pools may hold %d requests, which can take %d MiB with the %d MiB of limits.bodies; lower their queues or give more", queues, (most+1<<20-1)>>20, k.Limits.Bodies>>20)
	}
}
