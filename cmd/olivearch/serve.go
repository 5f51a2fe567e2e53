package main

import (
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"olivearch/internal/config"
	"olivearch/internal/service"
)

// serve runs a configuration file until SIGTERM or SIGINT.
func serve(args []string, _ io.Writer) error {
	var path string
	flagSet, err := parseFlags("serve", "--config FILE", args, func(f *flag.FlagSet) {
		f.StringVar(&path, "config", "", "the configuration `FILE`, in YAML")
	})
	if err != nil {
		return err
	}
	if path == "" || flagSet.NArg() > 0 {
		return fmt.Errorf("%w: serve wants --config FILE and nothing else", errUsage)
	}
	// One place is enough: a signal that arrives while the same one is waiting adds nothing.
	hangups := make(chan os.Signal, 1)
	terminations := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)

	service.PrepareConfigLoad()
	configuration, err := config.Load(path)
	if err != nil {
		return err
	}
	service.LimitMemory(configuration)
	running, err := service.Start(configuration, version())
	if err != nil {
		return err
	}
	service.FinishConfigLoad(configuration)
	slog.Info("balancer serving",
		"config", path, "pools", len(configuration.Pools), "routes", configuration.Table.Len())
	s := &server{
		service:       running,
		configuration: configuration,
		hangups:       hangups,
		terminations:  terminations,
		reload:        func(current *config.Loaded) (*config.Loaded, error) { return config.Reload(path, current) },
	}
	return s.run()
}

// server is a running service with the signals that reload its configuration or end it. One goroutine uses it.
type server struct {
	service       *service.Service
	configuration *config.Loaded // in force
	hangups       <-chan os.Signal
	terminations  <-chan os.Signal
	reload        func(current *config.Loaded) (*config.Loaded, error)
}

// run serves until a termination signal or a failure, and reloads the configuration at each SIGHUP. A SIGHUP during a
// reload causes another reload after it.
func (s *server) run() error {
	for {
		select {
		case err := <-s.service.Failed():
			s.service.Stop()
			return err
		case received := <-s.terminations:
			slog.Info("balancer stopping", "signal", received)
			s.service.Stop()
			return nil
		case <-s.hangups:
			s.reloadConfiguration()
		}
	}
}

// reloadConfiguration loads and applies the configuration. If it is invalid or can't be applied, the error is logged
// and the current one stays in force.
func (s *server) reloadConfiguration() {
	next, err := s.reload(s.configuration)
	if err == nil {
		err = s.service.Apply(next)
	}
	if err != nil {
		slog.Error("configuration not reloaded", "err", err)
		return
	}
	s.configuration = next
	next.Commit()
	service.LimitMemory(next)
	service.FinishConfigLoad(next)
	slog.Info("configuration reloaded", "pools", len(next.Pools), "routes", next.Table.Len())
}
