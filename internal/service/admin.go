package service

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"clayladder/internal/live"
)

// admin is the listener for operators.
type admin struct {
	configured string
	address    net.Addr
	server     *http.Server
}

// newAdmin starts it. GET /v1/live answers the live view as JSON.
func newAdmin(address string, view func() live.View) (*admin, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/live", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		if err := out.Encode(view()); err != nil {
			slog.Debug("live view", "err", err) // the reader has gone
		}
	})
	a := &admin{configured: address, address: l.Addr(), server: &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}}
	go func() {
		if err := a.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("admin listener", "err", err)
		}
	}()
	return a, nil
}

func (a *admin) stop() { a.server.Close() }
