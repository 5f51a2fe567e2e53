package service

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/frontend"
	"olivearch/internal/live"
	"olivearch/internal/metrics"
)

// clientListener accepts clients' connections at one address.
type clientListener struct {
	*frontend.Server
	name    string
	address net.Addr
}

// updateListeners starts the client listeners that a plan has opened, updates the limits of those that run already and
// stops those that the next configuration lacks. It also stops an admin listener that is no longer configured.
func (s *Service) updateListeners(current *runtimeState, p *plan) {
	next := p.next
	spoolBytes := int64(next.config.Limits.Bodies) / int64(len(next.config.Listeners))
	for _, l := range next.config.Listeners {
		listener := current.listeners[l.Address]
		if listener != nil {
			listener.SetLimits(clientLimits(l))
			listener.SetSpoolBytes(spoolBytes)
		} else {
			listener = s.startListener(l, p.listeners[l.Address], spoolBytes)
		}
		next.listeners[l.Address] = listener
	}
	for address, old := range current.listeners {
		if next.listeners[address] == nil {
			s.retiring.Go(old.Stop)
		}
	}
	if current.admin != nil && current.admin != next.admin {
		current.admin.stop()
	}
}

// transferLimit is how long the end of a listener waits for bodies that are transferred within the limits of their
// routes, which may have none.
const transferLimit = 10 * time.Minute

// startListener starts a goroutine that serves the connections of a socket. The channel of Failed receives the error
// that ends it.
func (s *Service) startListener(l config.Listener, socket net.Listener, spoolBytes int64) *clientListener {
	listener := &clientListener{
		Server:  frontend.New(s.routeTable, socket, clientLimits(l)),
		name:    l.Name,
		address: socket.Addr(),
	}
	listener.SetSpoolBytes(spoolBytes)
	listener.SetTransferLimit(transferLimit)
	go func() {
		err := listener.Serve()
		if err == nil {
			return
		}
		select {
		case s.failed <- fmt.Errorf("listener %s: %w", listener.name, err):
		default: // an earlier error has not been received yet
		}
	}()
	return listener
}

// clientLimits returns the limits that a listener's configuration sets for its clients.
func clientLimits(l config.Listener) frontend.Limits {
	return frontend.Limits{
		Connections:    l.Connections,
		MaxHeadBytes:   int(l.Head),
		RequestTimeout: time.Duration(l.Within),
		MinBodyRate:    int(l.Rate),
		Floor:          true,
		HTTP10:         true,
	}
}

// listenerViews returns the client listeners for the live view, sorted by name.
func (state *runtimeState) listenerViews() []live.Listener {
	views := []live.Listener{}
	for _, l := range state.listeners {
		open, limit := l.Connections()
		views = append(views, live.Listener{
			Name:        l.name,
			Address:     l.address.String(),
			Connections: open,
			Limit:       limit,
		})
	}
	slices.SortFunc(views, func(a, b live.Listener) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

// listenerBudgets returns what the clients of each listener share, in the order of the listeners' names.
func (state *runtimeState) listenerBudgets() (budgets []metrics.Budget) {
	for _, l := range state.listeners {
		memory, places := l.Budgets()
		budgets = append(budgets,
			metrics.Budget{Listener: l.name, Resource: "memory", Usage: memory},
			metrics.Budget{Listener: l.name, Resource: "places", Usage: places})
	}
	slices.SortStableFunc(budgets, func(a, b metrics.Budget) int { return cmp.Compare(a.Listener, b.Listener) })
	return budgets
}
