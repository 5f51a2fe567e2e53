package config

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"olivearch/internal/endpointlist"
	"olivearch/internal/strictyaml"
)

// maxPoolShare is the maximum of Pool.Share.
const maxPoolShare = 1e6

// pools checks the pools, in the order of their names.
func (k *checker) pools(folder string) {
	if len(k.Pools) == 0 {
		k.Fail("pools", "at least one pool is wanted")
	}
	for _, name := range slices.Sorted(maps.Keys(k.Pools)) {
		pool := k.Pools[name]
		k.pool(folder, name, &pool)
		k.Pools[name] = pool
	}
}

// pool checks one pool and fills in default values.
func (k *checker) pool(folder, name string, pool *Pool) {
	k.fillPool(pool)
	path := "pools." + name
	k.tunnels(path+".tunnels", pool)
	if pool.Queue < 1 || pool.Connections < 1 || pool.MaxAttempts < 1 {
		k.Fail(path, "queue, connections and max_attempts must be over 0")
	}
	if pool.Share == 0 || !isWithin(pool.Share, 0, maxPoolShare) {
		k.Fail(path+".share", "the share must be over 0 and at most 1,000,000")
	}
	if pool.Drains != "any" && pool.Drains != "own" {
		k.Fail(path+".drains", "%q is neither any nor own", pool.Drains)
	}
	if pool.Rest != "always" && pool.Rest != "after_stray" {
		k.Fail(path+".rest", "%q is neither always nor after_stray", pool.Rest)
	}
	if _, ok := reportSources[pool.Reports]; !ok {
		k.Fail(path+".reports", "%q is none of answers, probes and none", pool.Reports)
	}
	k.nodes(path+".nodes", &pool.Nodes, folder)
}

// fillPool fills in the default values of a pool. Those of queue and connections depend on the listeners and on the
// number of pools.
func (k *checker) fillPool(pool *Pool) {
	queue := k.Limits.Descriptors
	descriptors := k.Limits.Descriptors - reservedDescriptors
	for _, listener := range k.Listeners {
		queue = min(queue, listener.Connections)
		descriptors -= listener.Connections
	}
	strictyaml.SetDefault(&pool.Queue, max(1, queue/len(k.Pools)))
	strictyaml.SetDefault(&pool.Connections, max(1, descriptors/len(k.Pools)))
	strictyaml.SetDefault(&pool.Share, 1)
	strictyaml.SetDefault(&pool.Drains, "any")
	strictyaml.SetDefault(&pool.Rest, "after_stray")
	strictyaml.SetDefault(&pool.Reports, "answers")
	strictyaml.SetDefault(&pool.ConnectTimeout, Duration(500*time.Millisecond))
	strictyaml.SetDefault(&pool.IdleTimeout, Duration(time.Minute))
	strictyaml.SetDefault(&pool.MaxAttempts, 3)
	strictyaml.SetDefault(&pool.MaxRetryAfter, Duration(5*time.Second))
	strictyaml.SetDefault(&pool.Tunnels.Most, max(1, pool.Connections/2))
	strictyaml.SetDefault(&pool.Tunnels.PerNode, max(1, k.Limits.NodeConnections/2))
	strictyaml.SetDefault(&pool.Tunnels.Idle, Duration(10*time.Minute))
	strictyaml.SetDefault(&pool.Tunnels.Grace, Duration(10*time.Second))
}

// tunnels checks the limits of a pool's connections that have changed their protocol.
func (k *checker) tunnels(path string, pool *Pool) {
	fitPool := pool.Tunnels.Most >= 1 && pool.Tunnels.Most <= pool.Connections
	fitNode := pool.Tunnels.PerNode >= 1 && pool.Tunnels.PerNode <= k.Limits.NodeConnections
	if !fitPool || !fitNode {
		k.Fail(path, "most must be from 1 to the pool's connections (%d), and per_node from 1 to node_connections (%d)",
			pool.Connections, k.Limits.NodeConnections)
	}
}

// nodes checks the source of a pool's endpoint list.
func (k *checker) nodes(path string, source *NodeSource, folder string) {
	if source.count() != 1 {
		k.Fail(path, "exactly one of file, static and discovery is wanted as the source of the nodes")
		return
	}
	if source.Keep != "" {
		k.listCache(path+".keep", source, folder)
	}
	switch {
	case source.File != "":
		source.File = absolute(source.File, folder)
	case source.Discovery != "":
		k.address(path+".discovery", source.Discovery)
	default:
		endpointlist.Check(k.Doc, path+".static", source.Static)
		if source.Hold != 0 {
			k.Fail(path+".hold", "a static list has no source that can fail: hold applies to file and discovery")
		}
	}
}

// count returns the number of sources that are set.
func (s *NodeSource) count() int {
	count := 0
	for _, isSet := range []bool{s.File != "", s.Static != nil, s.Discovery != ""} {
		if isSet {
			count++
		}
	}
	return count
}

// listCache checks the file in which the endpoint list is cached.
func (k *checker) listCache(path string, source *NodeSource, folder string) {
	source.Keep = absolute(source.Keep, folder)
	if source.Discovery == "" {
		k.Fail(path, "keep applies only to discovery: file and static lists are on disk already")
		return
	}
	if cacheFolder := filepath.Dir(source.Keep); !isFolder(cacheFolder) {
		k.Fail(path, "there is no folder %s", cacheFolder)
	}
}

// absolute returns a path as an absolute one; a relative path starts at the folder.
func absolute(path, folder string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// isFolder reports whether a path leads to a folder.
func isFolder(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.IsDir()
}
