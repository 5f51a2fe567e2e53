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

// initialList is the endpoint list of a pool as it was when its source was new.
type initialList struct {
	endpoints []endpointlist.Node
	reading   endpointlist.FileState // from which a file is followed
	err       error
}

// readLists reads the files of the pools that are named, on as many goroutines as there are processors.
func readLists(c *config.Loaded, names []string) map[string]initialList {
	read := make([]initialList, len(names))
	var next atomic.Int64
	var readers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(names)) {
		readers.Go(func() {
			for i := next.Add(1) - 1; int(i) < len(names); i = next.Add(1) - 1 {
				read[i] = readList(c, names[i])
			}
		})
	}
	readers.Wait()
	lists := make(map[string]initialList, len(names))
	for i, name := range names {
		lists[name] = read[i]
	}
	return lists
}

func readList(c *config.Loaded, name string) initialList {
	list, reading, err := endpointlist.Read(c.Pools[name].Nodes.File)
	if err != nil {
		err = fmt.Errorf("pool %s: nodes: %w", name, err)
	}
	return initialList{endpoints: list.Nodes, reading: reading, err: err}
}

// CheckLists reads the endpoint lists that a configuration names, as a start would. It returns the number of endpoints
// in them and in the configuration itself.
func CheckLists(loaded *config.Loaded) (nodes int, err error) {
	var names []string
	for name, settings := range loaded.Pools {
		nodes += len(settings.Nodes.Static)
		if settings.Nodes.File != "" {
			names = append(names, name)
		}
	}
	var errs []error
	lists := readLists(loaded, names)
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		nodes += len(lists[name].endpoints)
		errs = append(errs, lists[name].err)
	}
	errs = append(errs, loaded.CheckCapacity(nodes))
	return nodes, errors.Join(errs...)
}

// logWatchState logs once that the system refuses to notify of changes in lists, and once (nil) that it does so again.
func logWatchState(refused error) {
	if refused != nil {
		slog.Warn("endpoint lists polled without change notifications", "err", refused)
		return
	}
	slog.Info("change notifications of endpoint lists resumed")
}

// followList gives a pool the changes of its list's file, if it has one, from how the file stood at a reading. It stops
// when stop returns.
func (s *Service) followList(
	name string, target *pool.Pool, source config.NodeSource, since endpointlist.FileState,
) (stop func()) {
	if source.File == "" {
		return func() {}
	}
	return s.listWatcher.Follow(source.File, since, func(update endpointlist.Update) {
		switch {
		case update.Err != nil:
			slog.Warn("endpoint list not updated", "pool", name, "err", update.Err, "failed_reads", update.Failed)
			target.ListSourceFailed(update.Err)
		case update.List != nil:
			if update.Failed > 0 {
				slog.Info("endpoint list recovered", "pool", name, "failed_reads", update.Failed)
			}
			target.UpdateEndpoints(update.List.Nodes)
		default:
			target.ConfirmEndpoints()
		}
	}).Stop
}
