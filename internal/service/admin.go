package service

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"olivearch/internal/cpushare"
	"olivearch/internal/live"
	"olivearch/internal/metrics"
)

// Limits of the admin listener's connections.
const (
	adminReadHeaderTimeout = 5 * time.Second
	adminWriteTimeout      = 10 * time.Second
	adminIdleTimeout       = time.Minute
	adminMaxHeaderBytes    = 8 << 10
)

// adminListener serves operators: GET /v1/live returns the live view or a part of it as JSON, GET /metrics the counters
// and gauges in Prometheus's text format.
type adminListener struct {
	configuredAddress string
	address           net.Addr // that the socket is bound to
	server            *http.Server
}

// startAdmin listens on an address and serves it in a new goroutine until stop is called.
func startAdmin(
	address string, view func(live.Part) (live.View, error), snapshot func() metrics.Snapshot,
) (*adminListener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/live", liveHandler(view))
	mux.Handle("GET /metrics", metrics.Handler(snapshot))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: adminReadHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		IdleTimeout:       adminIdleTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
	}
	go func() {
		if err := server.Serve(cpushare.NewListener(socket)); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("admin listener failed", "err", err)
		}
	}()
	return &adminListener{configuredAddress: address, address: socket.Addr(), server: server}, nil
}

// liveHandler returns a handler that responds with the part of the live view that the query selects. The status is 400
// for an invalid query and 404 if the query names a pool that does not exist.
func liveHandler(view func(live.Part) (live.View, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		part, err := live.ParsePart(r.URL.RawQuery)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		v, err := view(part)
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(v); err != nil {
			slog.Debug("live view not written", "err", err) // the client has disconnected
		}
	}
}

func (a *adminListener) stop() { a.server.Close() }
