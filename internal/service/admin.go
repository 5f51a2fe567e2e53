package service

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"olivearch/internal/live"
	"olivearch/internal/metrics"
)

// admin is the listener for operators.
type admin struct {
	configured string
	address    net.Addr
	server     *http.Server
}

// newAdmin starts it. GET /v1/live answers the live view as JSON, all of it or a part; GET /metrics counters and levels, for what gathers them.
func newAdmin(address string, view func(live.Part) (live.View, error), snapshot func() metrics.Snapshot) (*admin, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/live", func(w http.ResponseWriter, r *http.Request) {
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
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		if err := out.Encode(v); err != nil {
			slog.Debug("live view", "err", err) // the reader has gone
		}
	})
	mux.Handle("GET /metrics", metrics.Handler(snapshot))
	a := &admin{configured: address, address: l.Addr(), server: &http.Server{
		Handler: mux, ReadHeaderTimeout: 5 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10,
	}}
	go func() {
		if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("admin listener", "err", err)
		}
	}()
	return a, nil
}

func (a *admin) stop() { a.server.Close() }
