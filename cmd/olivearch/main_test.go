package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// TestSmoke starts the program, waits until it is healthy, sends SIGHUP with an invalid and with a valid configuration,
// and ends it by SIGTERM. At first, no discovery service answers; after the reload, the new one must get a call.
func TestSmoke(t *testing.T) {
	const limit = 30 * time.Second
	listen := scripted.FreeAddress(t)
	down := scripted.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, fmt.Sprintf(platformConfig, listen, down))
	asked := make(chan struct{}, 100)
	second := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		asked <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	cmd := program(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_DISCOVERY="+down)
	process := startLogged(t, cmd, limit)
	waitUntil(t, limit, "healthy", func() bool { return isHealthy(listen) })

	writeFile(t, path, "{")
	sendSignal(t, cmd, syscall.SIGHUP)
	process.awaitLog(t, "configuration not reloaded")

	writeFile(t, path, fmt.Sprintf(platformConfig, listen, second.Listener.Addr()))
	sendSignal(t, cmd, syscall.SIGHUP)
	select {
	case <-asked:
	case <-time.After(limit):
		t.Fatal("the new discovery service gets no call")
	}

	sendSignal(t, cmd, syscall.SIGTERM)
	process.awaitEnd(t)
}

func TestStartWithoutConfigurationFails(t *testing.T) {
	cmd := program(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "RELAY_CONFIG") {
		t.Errorf("got %v, %s", err, out)
	}
}
