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

// initialList is the first endpoint list that a pool gets from a new source.
type initialList struct {
	endpoints []endpointlist.Node
	fileState endpointlist.FileState // at the time of the read; later changes are followed
	err       error
}

// readLists reads the list files of the named pools, with one goroutine per processor. The result is keyed by pool
// name.
func readLists(c *config.Loaded, names []string) map[string]initialList {
	results := make([]initialList, len(names))
	var next atomic.Int64
	var readers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(names)) {
		readers.Go(func() {
			for i := next.Add(1) - 1; int(i) < len(names); i = next.Add(1) - 1 {
				results[i] = readList(c, names[i])
			}
		})
	}
	readers.Wait()
	lists := make(map[string]initialList, len(names))
	for i, name := range names {
		lists[name] = results[i]
	}
	return lists
}

func readList(c *config.Loaded, name string) initialList {
	list, fileState, err := endpointlist.Read(c.Pools[name].Nodes.File)
	if err != nil {
		err = fmt.Errorf("pool %s: nodes: %w", name, err)
	}
	return initialList{endpoints: list.Nodes, fileState: fileState, err: err}
}

// CheckLists reads the endpoint list files that a configuration names, as Start would. It returns the number of
// endpoints in these files and in the configuration itself, and the joined errors of all files and of the capacity
// check.
func CheckLists(loaded *config.Loaded) (endpointCount int, err error) {
	var names []string
	for name, settings := range loaded.Pools {
		endpointCount += len(settings.Nodes.Static)
		if settings.Nodes.File != "" {
			names = append(names, name)
		}
	}
	var errs []error
	lists := readLists(loaded, names)
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		endpointCount += len(lists[name].endpoints)
		errs = append(errs, lists[name].err)
	}
	errs = append(errs, loaded.CheckCapacity(endpointCount))
	return endpointCount, errors.Join(errs...)
}

// logWatchState logs that endpoint list files are only polled, since the system refuses change notifications (err), or
// that notifications work again (nil). The watcher calls it once for each such change.
func logWatchState(err error) {
	if err != nil {
		slog.Warn("endpoint lists polled without change notifications", "err", err)
		return
	}
	slog.Info("change notifications of endpoint lists resumed")
}

// followList updates a pool with each change of its list file since the given state of the file. It does nothing if the
// source is no file. Once stop has returned, no further update is made.
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
