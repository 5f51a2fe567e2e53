package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"olivearch/internal/route"
	"olivearch/internal/strictyaml"
)

// Target holds the settings of a route's requests other than the pools. Most routes share their Target with others.
type Target struct {
	Class     string
	Deadline  Duration
	KeyCookie string
	Body      Body
	Answer    Answer
	Upgrades  []string
	Tunnels   Tunnels // of the route's first pool
}

// targetKey is a comparable form of a Target.
type targetKey struct {
	class, cookie, upgrades string
	deadline                Duration
	body                    Body
	answer                  Answer
	tunnels                 Tunnels
}

// routes checks the routes and builds their table.
func (k *checker) routes() {
	if len(k.Routes) == 0 {
		k.Fail("routes", "at least one route is wanted")
	}
	rules := make([]route.Rule, 0, len(k.Routes))
	indexes := make(map[string]int, len(k.Routes)) // of routes in the file, by name
	for i := range k.Routes {
		r := &k.Routes[i]
		if _, repeated := indexes[r.Name]; r.Name == "" || repeated {
			k.Fail(routePath(i), "a route needs a unique name; %q is empty or already used", r.Name)
			continue
		}
		if rule, ok := k.route(routePath(i), r); ok {
			indexes[r.Name] = i
			rules = append(rules, rule)
		}
	}
	table, errs := route.Build(rules)
	for _, err := range errs {
		path := "routes"
		if name, ok := routeNamedBy(err); ok {
			path = routePath(indexes[name])
		}
		k.Fail(path, "%v", err)
	}
	k.Table = table
}

// routeNamedBy returns the name of the route that an error of route.Build is about.
func routeNamedBy(err error) (name string, ok bool) {
	var conflict route.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Second, true
	}
	var invalid route.InvalidRuleError
	if errors.As(err, &invalid) {
		return invalid.Name, true
	}
	return "", false
}

// routePath returns the path of a route in the file.
func routePath(index int) string { return "routes[" + strconv.Itoa(index) + "]" }

// route checks one route, fills in default values and returns its rule.
func (k *checker) route(path string, entry *Route) (rule route.Rule, ok bool) {
	k.routeClass(path, entry)
	if (entry.Pool == "") == (len(entry.Pools) == 0) {
		k.Fail(path, "exactly one of pool and pools is wanted")
		return route.Rule{}, false
	}
	if entry.Pool != "" {
		entry.Pools = []WeightedPool{{entry.Pool, 1}}
	}
	k.routeLimits(path, entry)
	k.upgrades(path, entry.Upgrades)
	rule = route.Rule{Name: entry.Name, Hosts: entry.Hosts, Methods: entry.Methods, Class: entry.RequestClass}
	rule.Pools = k.routePools(path, entry)
	k.methods(path, entry.Methods)
	for _, name := range slices.Sorted(maps.Keys(entry.Headers)) {
		rule.Headers = append(rule.Headers, route.Header{Name: name, Value: entry.Headers[name]})
	}
	rule.Kind, rule.Path = k.pathMatch(path, entry.Path)
	rule.To = k.target(entry)
	return rule, true
}

// routeClass checks the class of a route and limits the route's deadline to that of the class.
func (k *checker) routeClass(path string, r *Route) {
	class, known := k.Classes[r.Class]
	if !known {
		k.Fail(path+".class", "%s", unknownName("class", r.Class, slices.Collect(maps.Keys(k.Classes))))
	}
	strictyaml.SetDefault(&r.Deadline, class.Deadline)
	r.Deadline = min(r.Deadline, class.Deadline)
	if r.RequestClass != "" && r.RequestClass != r.Class {
		k.Fail(path+".request_class", "request_class %q and class %q must be the same",
			r.RequestClass, r.Class)
	}
}

// routeLimits checks the limits of a route's requests and responses.
func (k *checker) routeLimits(path string, r *Route) {
	strictyaml.SetDefault(&r.KeyCookie, "obj")
	strictyaml.SetDefault(&r.Body.Max, 1<<30)
	strictyaml.SetDefault(&r.Body.Buffer, 1<<20)
	strictyaml.SetDefault(&r.Body.Within, Duration(time.Hour))
	strictyaml.SetDefault(&r.Answer.Max, 1<<40)
	strictyaml.SetDefault(&r.Answer.Idle, Duration(30*time.Second))
	if r.Body.Buffer > k.Limits.Bodies {
		k.Fail(path+".body.buffer", "%d MiB for one request, more than limits.bodies for all requests, which is %d MiB",
			r.Body.Buffer>>20, k.Limits.Bodies>>20)
	}
	if r.Answer.Total != 0 && r.Answer.Total < r.Answer.Idle {
		k.Fail(path+".answer.total", "total must not be shorter than idle")
	}
}

// upgrades checks the protocols to which connections of a route may be upgraded, and converts their names to lower
// case.
func (k *checker) upgrades(path string, protocols []string) {
	for i, name := range protocols {
		protocols[i] = strings.ToLower(name)
		isToken := name != "" && !strings.ContainsAny(name, " ,\t")
		if !isToken || strings.HasPrefix(protocols[i], "h2") {
			k.Fail(path+".upgrades", "%q is not a protocol that a connection may change to, such as websocket", name)
		}
	}
}

// routePools checks the pools of a route.
func (k *checker) routePools(path string, r *Route) []route.WeightedPool {
	pools := make([]route.WeightedPool, 0, len(r.Pools))
	for i, pool := range r.Pools {
		if _, known := k.Pools[pool.Pool]; !known {
			poolPath := path + ".pool"
			if r.Pool == "" {
				poolPath = fmt.Sprintf("%s.pools[%d].pool", path, i)
			}
			k.Fail(poolPath, "%s", unknownName("pool", pool.Pool, slices.Collect(maps.Keys(k.Pools))))
		}
		pools = append(pools, route.WeightedPool(pool))
	}
	return pools
}

// methods checks the methods of a route.
func (k *checker) methods(path string, methods []string) {
	isNotCapital := func(char rune) bool { return char < 'A' || char > 'Z' }
	for _, method := range methods {
		if method == "" || method == "CONNECT" || strings.ContainsFunc(method, isNotCapital) {
			k.Fail(path+".methods", "%q is not a method: names are in capitals, and CONNECT is not served", method)
		}
	}
}

// pathMatch checks and returns the path condition of a route; it matches any path if none of the three forms is given.
func (k *checker) pathMatch(path string, match Path) (kind route.PathKind, text string) {
	forms := [...]string{route.Exact: match.Exact, route.Pattern: match.Pattern, route.Prefix: match.Prefix}
	given := 0
	for i, form := range forms {
		if form != "" {
			given++
			kind = route.PathKind(i)
			text = form
		}
	}
	if given == 0 {
		return route.Prefix, "/"
	}
	if given > 1 {
		k.Fail(path+".path", "at most one of exact, pattern and prefix is wanted")
	}
	return kind, text
}

// target returns the index of a route's target in Targets, and adds the target if it is new.
func (k *checker) target(r *Route) int {
	key := targetKey{
		class: r.Class, cookie: r.KeyCookie, upgrades: strings.Join(r.Upgrades, "\n"),
		deadline: r.Deadline, body: r.Body, answer: r.Answer, tunnels: k.Pools[r.Pools[0].Pool].Tunnels,
	}
	if index, known := k.targets[key]; known {
		return index
	}
	index := len(k.Targets)
	k.Targets = append(k.Targets, Target{
		Class: r.Class, Deadline: r.Deadline, KeyCookie: r.KeyCookie, Body: r.Body, Answer: r.Answer,
		Upgrades: r.Upgrades, Tunnels: key.tunnels,
	})
	k.targets[key] = index
	return index
}

// unknownName returns the text of an error about a name that doesn't exist.
func unknownName(kind, name string, known []string) string {
	if near := strictyaml.Nearest(name, known); near != "" {
		return fmt.Sprintf("there is no %s %q; did you mean %q?", kind, name, near)
	}
	return fmt.Sprintf("there is no %s %q", kind, name)
}
