package service

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/pool"
)

// This file is about the lists of nodes that come from files: reading them at the start, and following them.

// firstList is a pool's list as it was when its source was new.
type firstList struct {
	nodes []endpointlist.Node
	read  endpointlist.Reading
	err   error
}

// readLists reads the files of the pools that are named, on as many goroutines as there are processors.
func readLists(c *config.Loaded, names []string) map[string]firstList {
	read := make([]firstList, len(names))
	var next atomic.Int64
	var readers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(names)) {
		readers.Go(func() {
			for i := next.Add(1) - 1; int(i) < len(names); i = next.Add(1) - 1 {
				l, r, err := endpointlist.Read(c.Pools[names[i]].Nodes.File)
				if err != nil {
					err = fmt.Errorf("pool %s: nodes: %w", names[i], err)
				}
				read[i] = firstList{l.Nodes, r, err}
			}
		})
	}
	readers.Wait()
	lists := make(map[string]firstList, len(names))
	for i, name := range names {
		lists[name] = read[i]
	}
	return lists
}

// CheckLists reads the lists that a configuration names, as a start would, and returns how many nodes there are over all of them and those
// that stand in it.
func CheckLists(c *config.Loaded) (nodes int, err error) {
	var names []string
	for name, x := range c.Pools {
		if nodes += len(x.Nodes.Static); x.Nodes.File != "" {
			names = append(names, name)
		}
	}
	var errs []error
	lists := readLists(c, names)
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		nodes += len(lists[name].nodes)
		errs = append(errs, lists[name].err)
	}
	return nodes, errors.Join(append(errs, c.Bears(nodes))...)
}

// reportWatch says once that the system refuses to tell of changes in lists, and once that it tells of all again.
func reportWatch(refused error) {
	if refused != nil {
		slog.Warn("lists are looked at by time: the system does not tell of changes", "err", refused)
		return
	}
	slog.Info("the system tells of changes in lists again")
}

// follow begins to follow a list's file, if there is one, from how it stood when it was first read.
func (s *Service) follow(name string, x *pool.Pool, source config.NodeSource, read endpointlist.Reading) (stop func()) {
	if source.File == "" {
		return func() {}
	}
	return s.lists.Follow(source.File, read, func(w endpointlist.Word) {
		switch {
		case w.Err != nil:
			slog.Warn("the last list holds", "pool", name, "err", w.Err, "looks_with_another", w.Failed)
			x.ListSourceFailed(w.Err)
		case w.List != nil:
			if w.Failed > 0 {
				slog.Info("the list is good again", "pool", name, "looks_that_failed", w.Failed)
			}
			x.UpdateEndpoints(w.List.Nodes)
		default:
			x.ConfirmEndpoints()
		}
	}).Stop
}
